package membership

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestCompression(t *testing.T) {
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
