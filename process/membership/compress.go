package membership

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
)

// maxConfigurationBytes limits the decompressed size of a peer's configuration.
// The limit is well above 28 MB, the size of 28,000 routes of 1 KB.
const maxConfigurationBytes = 64 << 20

// ErrTooLarge means that a peer's configuration exceeds maxConfigurationBytes.
var ErrTooLarge = errors.New("the decompressed configuration exceeds 64 MiB")

func compress(b []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decompress(b []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(b))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, maxConfigurationBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(out) > maxConfigurationBytes {
		return nil, ErrTooLarge
	}
	return out, nil
}
