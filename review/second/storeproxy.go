package main

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
)

// storeProxy stands between the nodes and the project's stand-in of the store, and brings about
// what that cannot: a store that is down partly.
type storeProxy struct {
	mu sync.Mutex
	// downTopics are the topics whose partitions are down.
	downTopics map[string]bool
	server     *http.Server
}

// withStoreProxy makes the nodes that start from now on use the store through a proxy.
func (f *fleet) withStoreProxy() *storeProxy {
	p := &storeProxy{downTopics: map[string]bool{}}
	back, _ := url.Parse("http://" + f.storeAddr)
	proxy := httputil.NewSingleHostReverseProxy(back)
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	l, err := net.Listen("tcp", f.proxyAddr())
	must(err)
	p.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		down := p.downTopics[r.URL.Query().Get("topic")]
		p.mu.Unlock()
		if down {
			w.Header().Set(wire("era"), "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, r)
	})}
	go p.server.Serve(l)
	f.storeForNodes = f.proxyAddr()
	return p
}

func (p *storeProxy) setDown(f *fleet, topic string, down bool) {
	p.mu.Lock()
	p.downTopics[topic] = down
	p.mu.Unlock()
	f.record.say("store: the partition of topic %s is down: %v", topic, down)
}
