package logline

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestLinesAreWritten(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	l, flush := New(&b)
	io.WriteString(l, "one\n")
	io.WriteString(l, "two\n")
	flush()
	is.Equal(b.String(), "one\ntwo\n")
}

// stuck never takes a line.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Who logs is never held up, and what is dropped is counted.
func TestWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	s := stuck{release: make(chan struct{})}
	l, flush := New(s)
	const lines = 3 * queueLines
	for range lines {
		n, err := io.WriteString(l, "line\n")
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(l.TakeDropped() >= lines-queueLines-maxBatchBytes/5-linesPerSecond)
	close(s.release)
	flush()
}

func TestVolumeIsBounded(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	l, flush := New(&b)
	for range 4 * linesPerSecond {
		io.WriteString(l, "line\n")
	}
	flush()
	// The second may turn once while the lines are written.
	is.True(strings.Count(b.String(), "line\n") <= 2*linesPerSecond)
	is.True(l.TakeDropped() > 0 || strings.Contains(b.String(), "log lines dropped"))
}
