package entry

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/standin/rawpeer"
	"github.com/matryer/is"
)

// Guards against a refusal that is not true: what answers at the address of a gate, but not as a
// gate does, may have run the request. One that is not idempotent must not be sent to another
// gate, and its failure must not promise that it has not run.
func TestMalformedAnswerOfAGate(t *testing.T) {
	const end = "Content-Length: 5\r\n\r\nhello"
	tests := []struct{ name, answer string }{
		{"instead of a 100 response", "HTTP/1.1 200 OK\r\nX\x01A: v\r\n" + end},
		{"as the 100 response", "HTTP/1.1 100 Continue\r\nX A: v\r\n\r\nHTTP/1.1 200 OK\r\n" + end},
		{"after the 100 response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX A: v\r\n" + end},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, closePeer, err := rawpeer.Listen(func(conn *net.TCPConn) {
				io.WriteString(conn, test.answer)
				io.Copy(io.Discard, conn)
			})
			is.NoErr(err)
			defer closePeer()
			f := newGateFleet(t, respondOK("sound"))
			sound := f.entry.options.Nodes.(staticNodes)[0]
			// The entry prefers the gate in its own data centre.
			sound.DataCentre = "there"
			broken := membership.Record{ControlAddress: address, GateAddress: address, Service: "s", DataCentre: "here", Region: "r"}
			f.entry = newEntry(t, staticNodes{broken, sound})
			resp := f.call(t, "/claim/x")
			is.Equal(resp.Status, http.StatusBadGateway)
			is.Equal(resp.Header.Get(outcome.HeaderOutcome), string(outcome.Unknown))
			is.Equal(f.bodiesReceived[0].Load(), int64(0))
		})
	}
}
