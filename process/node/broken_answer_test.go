package node_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/rawpeer"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/matryer/is"
)

// A caller must get no answer that its target has broken off or that is no HTTP, through the
// whole path, and no promise that its request has not run.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\n" + target.SignatureLine
	tests := []struct {
		name, answer string
		upload       int
		resets       bool
		// attempts is how many requests the target gets. One that is suspected gets only
		// idempotent ones.
		attempts int64
		path     string
	}{
		{"reset during an upload", signed + "\r\npart", 4 << 20, true, 5, "/read/x"},
		{"blank in the name of a field", signed + "X A: v\r\nContent-Length: 5\r\n\r\nhello", 0, false, 1, "/claim/x"},
		{"blank after the name of the transfer encoding", signed + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 0, false, 1, "/claim/x"},
		{"status 000", "HTTP/1.1 000 OK\r\n" + target.SignatureLine + "Content-Length: 5\r\n\r\nhello", 0, false, 1, "/claim/x"},
		{"encoded body", signed + "Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nhello", 0, false, 1, "/claim/x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, 0)
			f.publish(1)
			// requests counts those that have reached the target.
			var requests atomic.Int64
			address, closeTarget, err := rawpeer.Listen(func(conn *net.TCPConn) {
				requests.Add(1)
				io.WriteString(conn, test.answer)
				// The gate reads the answer before the connection ends.
				time.Sleep(20 * time.Millisecond)
				if test.resets {
					conn.SetLinger(0)
				}
			})
			is.NoErr(err)
			defer closeTarget()
			v := f.addVMWithTarget(func(v *vm) { v.settings.Target = address })
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			announcer := &target.Announcer{AdminAddress: v.settings.Admin, Instance: "i", Service: "s", Address: v.settings.Target, Slots: 3, StartedAt: time.Now()}
			go announcer.Run(ctx)
			f.awaitStatus(v, `"nodes":1,"gate_open":true`)
			for requests.Load() < test.attempts && ctx.Err() == nil {
				before := requests.Load()
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.settings.Entry+test.path, bytes.NewReader(make([]byte, test.upload)))
				is.NoErr(err)
				req.Host = "h"
				res, err := http.DefaultClient.Do(req)
				is.NoErr(err)
				res.Body.Close()
				if requests.Load() > before {
					is.True(res.StatusCode == http.StatusBadGateway || res.StatusCode == http.StatusGatewayTimeout)
				} else {
					is.Equal(res.StatusCode, http.StatusServiceUnavailable)
					time.Sleep(100 * time.Millisecond)
				}
			}
			is.Equal(requests.Load(), test.attempts)
		})
	}
}
