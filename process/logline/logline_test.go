package logline

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against lines that are lost or reordered when the Writer is stopped.
func TestLinesAreWritten(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	l, flush := New(&b)
	io.WriteString(l, "one\n")
	io.WriteString(l, "two\n")
	flush()
	is.Equal(b.String(), "one\ntwo\n")
}

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Logging must not block while the output does, and dropped lines must be counted.
func TestWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := blockedWriter{release: make(chan struct{})}
	l, flush := New(w)
	const lines = 3 * queueLines
	for range lines {
		n, err := io.WriteString(l, "line\n")
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(l.TakeDropped() >= lines-queueLines-maxBatchBytes/5-maxLinesPerSecond)
	close(w.release)
	flush()
}

// A burst of lines must be cut to the limit per second, and the dropped lines must be
// counted.
func TestVolumeIsLimited(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	l, flush := New(&b)
	for range 4 * maxLinesPerSecond {
		io.WriteString(l, "line\n")
	}
	flush()
	// A new second may begin once while the lines are written.
	is.True(strings.Count(b.String(), "line\n") <= 2*maxLinesPerSecond)
	is.True(l.TakeDropped() > 0 || strings.Contains(b.String(), "log lines dropped"))
}
