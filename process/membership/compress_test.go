package membership

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// A configuration must survive compression, be much smaller with it, and bytes that
// are not compressed must be reported as an error.
func TestCompressionRoundTrip(t *testing.T) {
	is := is.New(t)
	b := bytes.Repeat([]byte(`{"route":"r","service":"s"}`), 1000)
	compressed, err := compress(b)
	is.NoErr(err)
	is.True(len(compressed) < len(b)/10)
	decompressed, err := decompress(compressed)
	is.NoErr(err)
	is.True(bytes.Equal(decompressed, b))
	_, err = decompress([]byte("no compressed bytes"))
	is.True(err != nil)
}
