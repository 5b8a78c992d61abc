// Package logline writes log lines asynchronously, so that logging never blocks.
//
// A Writer queues lines, and one goroutine writes them in batches. Lines are
// dropped when the queue is full or when more arrive in a second than the limit
// allows; their number is then logged in a line of its own. The command puts a
// Writer between the logger of a node and its output.
package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the capacity of the queue.
	queueLines = 2048
	// maxLinesPerSecond limits the volume. A node serves some tens of requests per
	// second and logs three lines for each.
	maxLinesPerSecond = 500
)

// Writer queues log lines. Each Write must contain one line.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64

	mu sync.Mutex
	// second is the Unix time of the last Write, and count the number of lines in
	// that second.
	second int64
	count  int
}

// New returns a Writer to w, and a function that writes the queued lines and stops
// the Writer.
func New(w io.Writer) (*Writer, func()) {
	l := &Writer{lines: make(chan []byte, queueLines)}
	done := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(done)
		l.run(w, stop)
	}()
	return l, func() {
		close(stop)
		<-done
	}
}

// Write queues a copy of the line, or drops it. It never fails and never blocks.
func (l *Writer) Write(p []byte) (int, error) {
	if !l.isWithinRate(time.Now()) {
		l.dropped.Add(1)
		return len(p), nil
	}
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// isWithinRate counts a line and reports whether the limit per second allows it.
func (l *Writer) isWithinRate(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.count = s, 0
	}
	l.count++
	return l.count <= maxLinesPerSecond
}

// TakeDropped returns the number of lines dropped since the last call.
func (l *Writer) TakeDropped() int64 { return l.dropped.Swap(0) }

// run writes queued lines until stop is closed, and then those that are left.
func (l *Writer) run(w io.Writer, stop <-chan struct{}) {
	for {
		select {
		case line := <-l.lines:
			w.Write(l.batch(line))
			if n := l.TakeDropped(); n > 0 {
				fmt.Fprintf(w, "log lines dropped: count=%d\n", n)
			}
		case <-stop:
			for len(l.lines) > 0 {
				w.Write(l.batch(<-l.lines))
			}
			return
		}
	}
}

// maxBatchBytes is the size from which no more lines are added to a batch.
const maxBatchBytes = 64 << 10

// batch joins a line with the queued lines behind it, so that many lines take one
// system call.
func (l *Writer) batch(line []byte) []byte {
	for len(line) < maxBatchBytes {
		select {
		case next := <-l.lines:
			line = append(line, next...)
		default:
			return line
		}
	}
	return line
}
