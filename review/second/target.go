package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a target began to run.
type arrival struct {
	id, instance, tenant, path string
	at                         time.Time
}

// ledger keeps what targets ran.
type ledger struct {
	mu   sync.Mutex
	list []arrival
}

func (l *ledger) add(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
}

func (l *ledger) all() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival(nil), l.list...)
}

// target is a server of the users: it announces itself to the node on its VM and runs requests.
type target struct {
	v        *vm
	instance string
	born     time.Time
	slots    int
	queue    int
	work     time.Duration
	ledger   *ledger
	listener net.Listener
	server   *http.Server
	slot     chan struct{}
	waiting  atomic.Int64
	seq      atomic.Int64
	mu       sync.Mutex
	state    string
	silent   bool
	stopped  chan struct{}
	once     sync.Once
	// handle, if not nil, may serve a request in another way; it reports whether it did.
	handle func(w http.ResponseWriter, r *http.Request) bool
}

func (v *vm) startTarget(instance string, slots int, work time.Duration, l *ledger) *target {
	return v.startTargetBorn(instance, time.Now(), slots, work, l)
}

func (v *vm) startTargetBorn(instance string, born time.Time, slots int, work time.Duration, l *ledger) *target {
	t := &target{v: v, instance: instance, born: born, slots: slots, queue: 24, work: work, ledger: l, state: "ready", stopped: make(chan struct{})}
	t.slot = make(chan struct{}, slots)
	var err error
	t.listener, err = net.Listen("tcp", v.addr(v.f.p.app))
	must(err)
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go t.server.Serve(t.listener)
	v.target = t
	v.f.record.say("target: %s starts at %s, born %d", instance, v.addr(v.f.p.app), born.UnixMilli())
	go t.announce()
	return t
}

func (t *target) close() {
	t.once.Do(func() {
		close(t.stopped)
		t.server.Close()
	})
}

// announce sends a heartbeat now and then each 1.5 s.
func (t *target) announce() {
	for {
		t.mu.Lock()
		silent := t.silent
		t.mu.Unlock()
		if !silent {
			t.beat()
		}
		select {
		case <-t.stopped:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// beat sends one heartbeat and reports whether it was confirmed.
func (t *target) beat() bool {
	t.mu.Lock()
	state := t.state
	t.mu.Unlock()
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"cold_remaining":"0ms"}}`,
		t.v.addr(t.v.f.p.app), t.born.UnixMilli(), t.v.service, t.v.zone, t.slots, state, t.seq.Add(1))
	return t.call(wire("heartbeat"), body, state)
}

func (t *target) deregister() bool {
	return t.call(wire("deregister"), fmt.Sprintf(`{"born":%d}`, t.born.UnixMilli()), "")
}

// leave deregisters until that is confirmed, and returns when it was.
func (t *target) leave() time.Time {
	for range 10 {
		if t.deregister() {
			t.v.f.record.say("target: the deregistration of %s is confirmed", t.instance)
			return time.Now()
		}
		time.Sleep(300 * time.Millisecond)
	}
	panic(cannotRun{"the deregistration was not confirmed"})
}

func (t *target) call(name, body, state string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+t.v.addr(t.v.f.p.admin)+wire("rpc_call")+name+"&of="+t.instance, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		t.v.f.record.add("target: %s %s %s: no answer", t.instance, name, state)
		return false
	}
	b, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	t.v.f.record.add("target: %s %s %s: status %d %s", t.instance, name, state, resp.StatusCode, bytes.TrimSpace(b))
	return resp.StatusCode/100 == 2
}

func (t *target) setState(s string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = s
}

func (t *target) reject(w http.ResponseWriter, id string, status int) {
	w.Header().Set(wire("request_id"), id)
	w.Header().Set(wire("not_executed"), "1")
	w.WriteHeader(status)
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire("request_id"))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_ = body
	if r.URL.Path == "/healthz" {
		w.Header().Set(wire("instance_id"), t.instance)
		return
	}
	if want := r.Header.Get(wire("expected_instance")); want != "" && want != t.instance {
		w.Header().Set(wire("instance_id"), t.instance)
		t.v.f.record.add("target: %s answers 421 to %s, which expects %s", t.instance, id, want)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		t.reject(w, id, 400)
		return
	}
	if t.handle != nil && t.handle(w, r) {
		return
	}
	select {
	case t.slot <- struct{}{}:
	default:
		if t.waiting.Add(1) > int64(t.queue) {
			t.waiting.Add(-1)
			t.reject(w, id, 503)
			return
		}
		select {
		case t.slot <- struct{}{}:
			t.waiting.Add(-1)
		case <-r.Context().Done():
			t.waiting.Add(-1)
			return
		}
	}
	defer func() { <-t.slot }()
	t.ledger.add(arrival{id: id, instance: t.instance, tenant: r.Header.Get(wire("tenant")), path: r.URL.Path, at: time.Now()})
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
		return
	}
	t.answer(w, id, "served "+id+"\n")
}

// answer sends a success with the server's proof.
func (t *target) answer(w http.ResponseWriter, id, body string) {
	w.Header().Set(wire("request_id"), id)
	w.Header().Set(wire("signature"), "sig."+t.instance+"."+id)
	io.WriteString(w, body)
}
