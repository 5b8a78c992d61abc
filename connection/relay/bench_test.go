package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// BenchmarkSend relays a small answer over a reused connection on loopback.
func BenchmarkSend(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("done"))
	}))
	defer s.Close()
	client, closeClient := NewClient()
	defer closeClient()
	ctx, cancel := context.WithTimeout(b.Context(), time.Hour)
	defer cancel()
	r := Request{Method: http.MethodGet, URI: "/", Header: http.Header{"X-Standin": {"1"}}, ID: "1"}
	b.ReportAllocs()
	for b.Loop() {
		a, err := client.Send(ctx, strings.TrimPrefix(s.URL, "http://"), r)
		if err != nil {
			b.Fatal(err)
		}
		a.Close()
	}
}
