// Package logline writes log lines without ever blocking who logs. Lines wait in
// a bounded queue; when it is full, or more come in a second than may, lines are
// dropped and their number is told in a line of its own.
package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is how many lines wait to be written.
	queueLines = 2048
	// linesPerSecond bounds the volume: a node serves some tens of requests a
	// second, with three lines each.
	linesPerSecond = 500
)

// Writer takes log lines, one with each Write.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64

	mu     sync.Mutex
	second int64
	count  int
}

// New returns a writer to w, and a function that writes what waits and ends it.
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

// Write queues a line. It never fails and never blocks.
func (l *Writer) Write(p []byte) (int, error) {
	if !l.allowed(time.Now()) {
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

func (l *Writer) allowed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.count = s, 0
	}
	l.count++
	return l.count <= linesPerSecond
}

// TakeDropped returns how many lines have been dropped since the last call.
func (l *Writer) TakeDropped() int64 { return l.dropped.Swap(0) }

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

const maxBatchBytes = 64 << 10

// batch joins a line with those that wait behind it, so that many lines cost
// one system call.
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
