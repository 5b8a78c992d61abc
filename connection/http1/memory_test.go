package http1

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against responses of a sound peer that are lost, after their requests have run, because
// another peer's responses without end have used up the memory for bodies.
func TestSoundResponsesBesideEndlessOnes(t *testing.T) {
	const (
		budget   = 8 << 20
		endless  = 8
		duration = time.Second
	)
	get := Request{Method: http.MethodGet, URI: "/", Host: "h"}
	block := bytes.Repeat([]byte("b"), 64<<10)
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", len(block), block))
	tests := []struct {
		name, head string
		block      []byte
		pause      time.Duration
	}{
		{"body until close", "HTTP/1.1 200 OK\r\n\r\n", block, 0},
		{"body until close, paced", "HTTP/1.1 200 OK\r\n\r\n", block, 2 * time.Millisecond},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, 0},
		{"chunks, paced", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, 2 * time.Millisecond},
	}
	sound := map[string]string{
		"length":           fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(block), block),
		"chunked":          fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", chunk),
		"body until close": fmt.Sprintf("HTTP/1.1 200 OK\r\n\r\n%s", block),
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := NewBodyBudget(budget)
			ctx, cancel := context.WithTimeout(t.Context(), duration)
			defer cancel()
			var callers sync.WaitGroup
			defer callers.Wait()
			endlessPeer := servePeer(t, func(conn *net.TCPConn) {
				_, err := io.WriteString(conn, test.head)
				for err == nil {
					time.Sleep(test.pause)
					conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
					_, err = conn.Write(test.block)
				}
			})
			for range endless {
				callers.Go(func() {
					for ctx.Err() == nil {
						if _, err := exchange(ctx, endlessPeer, b, get); err == nil {
							t.Error("a body without end has ended")
						}
					}
				})
			}
			for name, response := range sound {
				peer := servePeer(t, func(conn *net.TCPConn) { io.WriteString(conn, response) })
				callers.Go(func() {
					n, lost := 0, 0
					for ; ctx.Err() == nil; n++ {
						res, err := exchange(ctx, peer, b, get)
						switch {
						case errors.Is(err, ErrBodyMemory):
							lost++
						case err == nil:
							if !bytes.Equal(res.Body, block) {
								t.Errorf("%s: body of %d bytes", name, len(res.Body))
							}
							res.release()
						case ctx.Err() == nil && !errors.Is(err, ErrNotSent): // the dialer may see the deadline first
							t.Errorf("%s: %v", name, err)
						}
					}
					if lost > 0 {
						t.Errorf("%s: %d of %d responses lost", name, lost, n)
					}
				})
			}
			callers.Wait()
			is.Equal(b.Used(), int64(0))
		})
	}
}

// A body that has to give way must be the longest of those whose length was not announced, and
// longer than the one that it makes room for, unless that one's length was announced. It must
// make room for all that is needed.
func TestWhichBodyGivesWay(t *testing.T) {
	const budget = 100
	tests := []struct {
		name string
		// held are the bytes of bodies that are being read without a length, fixed those of
		// bodies with one, own those that the growing body has.
		held       []int64
		fixed, own int64
		hasLength  bool
		needed     int64
		want       []bool
		wantErr    error
	}{
		{"there is room", []int64{30, 40}, 0, 10, false, 20, []bool{false, false}, nil},
		{"the longest one", []int64{30, 40}, 0, 10, false, 21, []bool{false, true}, nil},
		{"no longer one", []int64{30, 40}, 0, 25, false, 20, []bool{false, false}, ErrBodyMemory},
		{"a shorter one, to one with a length", []int64{30, 40}, 0, 25, true, 20, []bool{false, true}, nil},
		{"too short", []int64{10, 15}, 50, 25, true, 20, []bool{false, false}, ErrBodyMemory},
		{"only ones with a length", nil, 90, 0, false, 20, nil, ErrBodyMemory},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := NewBodyBudget(budget)
			is.NoErr(b.newReservation(true).grow(test.fixed))
			var ends []func() bool
			stopped := make([]bool, len(test.held))
			for i, n := range test.held {
				r := b.newReservation(false)
				is.NoErr(r.grow(n))
				ends = append(ends, r.makePreemptible(func() { stopped[i] = true }))
			}
			growing := b.newReservation(test.hasLength)
			is.NoErr(growing.grow(test.own))
			if !test.hasLength {
				end := growing.makePreemptible(func() { t.Error("gives way to itself") })
				defer end()
			}
			used := b.Used()
			is.Equal(growing.grow(test.needed), test.wantErr)
			is.True(b.Used() <= budget)
			if test.wantErr != nil {
				is.Equal(b.Used(), used)
			}
			for i, end := range ends {
				is.Equal(end(), test.want[i])
				is.Equal(stopped[i], test.want[i])
			}
		})
	}
}
