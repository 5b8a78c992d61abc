package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// target is a server beside a node. It behaves as PROTOCOL.md says of servers.
type target struct {
	node  *node
	slots int
	work  func(r *http.Request) time.Duration
	// reads reads the body of a request at which the server is at work; nil reads it at once.
	reads func(r *http.Request) ([]byte, error)

	mu       sync.Mutex
	id       string
	born     int64
	state    string
	seq      int
	slotFree chan struct{}
	runs     []run
	server   *http.Server
	stopPing chan struct{}
	// isHeldUp means that pings don't arrive for now; heldUp are those that were sent since.
	isHeldUp bool
	heldUp   []heldPing
}

// heldPing is a ping that has been sent and has not arrived yet.
type heldPing struct {
	body   map[string]any
	sentAt time.Time
}

// run is a request that the server began to work on.
type run struct {
	id, path, tenant string
	at               time.Time
	born             int64
}

// addTarget starts a server beside the node.
func (n *node) addTarget(slots int, work time.Duration) *target {
	t := &target{node: n, slots: slots, work: func(*http.Request) time.Duration { return work }}
	n.target = t
	t.start(fmt.Sprintf("i-%s-%d", n.fleet.run, n.index), time.Now().UnixMilli())
	return t
}

// start begins a lifetime of the server.
func (t *target) start(id string, born int64) {
	t.mu.Lock()
	t.id, t.born, t.state, t.seq = id, born, "ready", 0
	t.slotFree = make(chan struct{}, t.slots)
	stop := make(chan struct{})
	t.stopPing = stop
	t.mu.Unlock()
	l, err := net.Listen("tcp", t.node.addr(t.node.ports.app))
	t.node.fleet.must(err, "start a server")
	t.server = &http.Server{Handler: t}
	go t.server.Serve(l)
	t.node.fleet.record.printf("server %d: lifetime id=%s born=%d begins", t.node.index, id, born)
	go t.pingRegularly(stop)
}

// endPings ends the pings of the lifetime.
func (t *target) endPings() {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.stopPing:
	default:
		close(t.stopPing)
	}
}

// setHeldUp sets whether pings are held up from now on.
func (t *target) setHeldUp(isHeldUp bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isHeldUp = isHeldUp
}

// crash ends the lifetime without a word.
func (t *target) crash() {
	t.endPings()
	t.server.Close()
	t.node.fleet.record.printf("server %d: crashes", t.node.index)
}

func (t *target) pingRegularly(stop chan struct{}) {
	for {
		t.ping()
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// ping sends a heartbeat and reports whether it was confirmed.
func (t *target) ping() bool {
	t.mu.Lock()
	t.seq++
	body := map[string]any{
		"born": t.born, "address": t.node.addr(t.node.ports.app),
		"info":   map[string]any{"service": t.node.service, "version": "v1", "zone": t.node.zone, "slots": t.slots},
		"status": map[string]any{"state": t.state, "seq": t.seq, "cold_remaining": "0ms"},
	}
	id, state, seq, isHeldUp := t.id, t.state, t.seq, t.isHeldUp
	if isHeldUp {
		t.heldUp = append(t.heldUp, heldPing{body, time.Now()})
	}
	t.mu.Unlock()
	if isHeldUp {
		t.node.fleet.record.printf("server %d: ping state=%s seq=%d is sent and held up", t.node.index, state, seq)
		return false
	}
	return t.call(wire("heartbeat"), id, body, fmt.Sprintf("state=%s seq=%d", state, seq), state != "ready")
}

// held returns the pings that are held up.
func (t *target) held() []heldPing {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.heldUp)
}

// call makes a call to the admin address of the node.
func (t *target) call(name, id string, body map[string]any, what string, logged bool) bool {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	c := http.Client{Timeout: time.Second}
	resp, err := c.Post("http://"+t.node.addr(t.node.ports.admin)+wire("rpc_call")+name+"&of="+id, "application/json", bytes.NewReader(b))
	status := 0
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		status = resp.StatusCode
	}
	if logged {
		t.node.fleet.record.printf("server %d: %s id=%s %s -> %d %s", t.node.index, name, id, what, status, trim(err))
	}
	return status >= 200 && status < 300
}

// leave deregisters, without a body as "fleetbench wire" shows it, and reports whether that was
// confirmed.
func (t *target) leave() bool {
	t.mu.Lock()
	id := t.id
	t.mu.Unlock()
	t.endPings()
	return t.call(wire("deregister"), id, nil, "without a body", true)
}

// ServeHTTP runs requests.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	id, born, slotFree := t.id, t.born, t.slotFree
	t.mu.Unlock()
	h := w.Header()
	rid := r.Header.Get(wire("request_id"))
	if rid != "" {
		h.Set(wire("request_id"), rid)
	}
	if expected := r.Header.Get(wire("expected_instance")); expected != "" && expected != id {
		h.Set(wire("not_executed"), "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if rid == "" {
		h.Set(wire("not_executed"), "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case slotFree <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-slotFree }()
	now := time.Now()
	t.mu.Lock()
	t.runs = append(t.runs, run{id: rid, path: r.URL.Path, tenant: r.Header.Get(wire("tenant")), at: now, born: born})
	t.mu.Unlock()
	readBody := t.reads
	if readBody == nil {
		readBody = func(r *http.Request) ([]byte, error) { return io.ReadAll(r.Body) }
	}
	body, err := readBody(r)
	if err != nil {
		t.node.fleet.record.printf("server %d: reading the body of %s failed after %v: %v", t.node.index, rid, time.Since(now).Round(time.Millisecond), err)
		return
	}
	select {
	case <-time.After(t.work(r)):
	case <-r.Context().Done():
		return
	}
	h.Set(wire("signature"), fmt.Sprintf("proof.%s.%d", rid, len(body)))
	h.Set(wire("load"), fmt.Sprintf("%d,0,%d", len(slotFree), t.slots))
	h.Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "answer to %s", rid)
}

// allRuns returns the requests that all servers ran.
func (f *fleet) allRuns() []run {
	var all []run
	for _, n := range f.nodes {
		if n.target == nil {
			continue
		}
		n.target.mu.Lock()
		all = append(all, n.target.runs...)
		n.target.mu.Unlock()
	}
	return all
}

// configuration returns a small configuration.
func configuration(version int, tenants []any, services ...string) map[string]any {
	var list, paths []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_check_path": "/healthz", "max_connections": 360})
		for _, kind := range []string{"safe", "non_idempotent"} {
			paths = append(paths, map[string]any{
				"name": s + "-" + kind, "prefix": "/" + s + "/" + kind + "/", "kind": kind, "timeout": "4s", "target_latency": "1s",
				"priority": 0, "attempts": 2, "service": s,
			})
		}
	}
	c := map[string]any{
		"version": fmt.Sprintf("r%d", version), "services": list,
		"limits":      map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout": "3s", "idle_timeout": "15s"},
		wire("hosts"): []any{map[string]any{"host": "roster.example", "paths": paths}},
	}
	if tenants != nil {
		c[wire("customers")] = tenants
	}
	return c
}
