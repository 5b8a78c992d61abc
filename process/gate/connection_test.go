package gate

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// signedHeaders reads every response as one of the target.
type signedHeaders struct{ noHeaders }

func (signedHeaders) ParseTargetHeaders(int, http.Header) metadata.TargetResponse {
	return metadata.TargetResponse{Signed: true}
}

// Requests without an ID must not share a connection to the target: a late second response
// to one of them would be taken for the response to the next.
func TestRequestsWithoutIDShareNoConnection(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	g := newGate()
	g.options.Headers = signedHeaders{}
	announceAt(t, g, strings.TrimPrefix(server.URL, "http://"))
	listener, closeGate, err := http1.Listen("127.0.0.1:0", g.Serve, func() http1.Limits {
		return http1.Limits{MaxHeaderBytes: 1 << 14, MaxBodyBytes: 1 << 14, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	}, hclog.NewNullLogger())
	is.NoErr(err)
	defer closeGate()
	for range 3 {
		sendThroughGate(t, listener.Address(), "/a")
	}
	is.Equal(conns.Load(), int32(3))
}
