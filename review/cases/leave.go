package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// crash ends a server at once: its channels are closed, and it sends nothing more.
func (s *server) crash() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.channels {
		c.Close()
	}
}

// leavers is what both cases of leaving servers need: an entry, two gates of a service,
// a sound server beside the second gate, and claims that come all the time.
type leavers struct {
	entry, gate, other *node
	rec                *record
	stop               context.CancelFunc
	claims             sync.WaitGroup
	mu                 sync.Mutex
	statuses           map[int]int
}

const (
	leaveHost   = "jepu9.example"
	drainBound  = 2500 * time.Millisecond
	stableAfter = 4 * time.Second
)

func newLeavers(f *fleet, rec *record) *leavers {
	l := &leavers{rec: rec, statuses: map[int]int{}}
	l.entry = f.newNode("sidecar-bajio-a-1", "bajio-a", "tablero")
	l.gate = f.newNode("sidecar-bajio-a-2", "bajio-a", "reparto")
	l.other = f.newNode("sidecar-bajio-b-1", "bajio-b", "reparto")
	for _, n := range []*node{l.entry, l.other} {
		s := l.server("i-"+n.service, n)
		s.serve()
		go s.ping(context.Background(), n.admin)
	}
	f.publish(configuration(7, []string{"tablero", "reparto"}, []route{{name: "claim", host: leaveHost, prefix: "/puka111/", kind: "non_idempotent",
		service: "reparto", timeout: 1500 * time.Millisecond, latency: 800 * time.Millisecond, attempts: 2}}, nil))
	return l
}

func (l *leavers) server(id string, n *node) *server {
	return &server{id: id, service: n.service, zone: n.zone, address: n.app, slots: 3, work: 130 * time.Millisecond, rec: l.rec}
}

// send sends claims until end is called.
func (l *leavers) send(perSecond int) {
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	l.claims.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for ctx.Err() == nil {
			<-ticker.C
			l.claims.Go(func() {
				id := newID()
				a := send(l.entry.outbound, "POST", leaveHost, "/puka111/claim", id, 1500*time.Millisecond, nil, "shift")
				if a.status != http.StatusOK {
					l.rec.add("claim %s: status %d %v", id, a.status, a.err)
				}
				l.mu.Lock()
				defer l.mu.Unlock()
				l.statuses[a.status]++
			})
		}
	})
}

func (l *leavers) end() {
	l.stop()
	l.claims.Wait()
	l.rec.add("answers by status: %v", l.statuses)
}

// lateRuns returns how many requests a server began after a time.
func lateRuns(s *server, after time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.runs {
		if r.at.After(after) {
			n++
		}
	}
	return n
}

// leave deregisters the server until the node confirms it.
func (l *leavers) leave(s *server) (confirmedAt time.Time) {
	for range 20 {
		if s.tell(l.gate.admin, "leave_call", nil) {
			l.rec.add("the node beside %s has confirmed that it leaves", s.id)
			return time.Now()
		}
		time.Sleep(200 * time.Millisecond)
	}
	panic(skipped{fmt.Errorf("the leave was not confirmed")})
}

// caseLatePing replaces a crashed server at its address by a new lifetime, which leaves
// soon. With trouble, the first ping of the new lifetime arrives 3 s late, after its leave
// has been confirmed; without, it arrives at once.
func caseLatePing(f *fleet, rec *record) (broken bool) {
	l := newLeavers(f, rec)
	first := l.server("i-first", l.gate)
	first.serve()
	ctx, stopPings := context.WithCancel(context.Background())
	go first.ping(ctx, l.gate.admin)
	for _, n := range []*node{l.entry, l.gate, l.other} {
		n.awaitReady()
	}
	time.Sleep(2 * time.Second)
	l.send(32)
	time.Sleep(4 * time.Second)
	stopPings()
	first.crash()
	rec.add("server %s has crashed after %d runs", first.id, len(first.runsOf()))

	time.Sleep(2 * time.Second)
	second := l.server("i-second", l.gate)
	second.serve()
	rec.add("server %s has started at the same address", second.id)
	ping := second.pingBody("ready")
	if trouble {
		time.AfterFunc(3*time.Second, func() {
			second.tell(l.gate.admin, "ping_call", ping)
			rec.add("the first ping of %s, sent 3 s ago, has arrived", second.id)
		})
	} else {
		second.tell(l.gate.admin, "ping_call", ping)
	}
	time.Sleep(1200 * time.Millisecond)
	confirmedAt := l.leave(second)
	// It serves on for the drain time and many seconds, and then exits.
	time.Sleep(drainBound + 10*time.Second)
	second.crash()
	rec.add("server %s has exited", second.id)
	time.Sleep(time.Second)
	l.end()
	return l.judge(second, confirmedAt.Add(drainBound))
}

func (l *leavers) judge(s *server, after time.Time) (broken bool) {
	late := lateRuns(s, after)
	l.rec.add("%d requests reached %s later than allowed", late, s.id)
	fmt.Println(late, "requests reached the leaving server later than allowed")
	return late > 0
}

// caseForgottenLeave restarts a node whose server has left and still serves. With trouble,
// a ping that the server sent before its leave arrives 4 s late; without, it arrives
// before the leave.
func caseForgottenLeave(f *fleet, rec *record) (broken bool) {
	l := newLeavers(f, rec)
	s := l.server("i-first", l.gate)
	s.serve()
	ctx, stopPings := context.WithCancel(context.Background())
	go s.ping(ctx, l.gate.admin)
	for _, n := range []*node{l.entry, l.gate, l.other} {
		n.awaitReady()
	}
	time.Sleep(2 * time.Second)
	l.send(32)
	time.Sleep(4 * time.Second)
	stopPings()
	ping := s.pingBody("ready")
	if trouble {
		time.AfterFunc(4*time.Second, func() {
			s.tell(l.gate.admin, "ping_call", ping)
			rec.add("a ping of %s, sent 4 s ago, has arrived", s.id)
		})
	} else {
		s.tell(l.gate.admin, "ping_call", ping)
	}
	time.Sleep(200 * time.Millisecond)
	confirmedAt := l.leave(s)
	l.gate.process.signal(9)
	<-l.gate.process.done
	rec.add("the node beside %s has been killed", s.id)
	time.Sleep(500 * time.Millisecond)
	l.gate.restart()
	restartedAt := time.Now()
	l.gate.awaitReady()
	time.Sleep(time.Until(confirmedAt.Add(drainBound + 15*time.Second)))
	s.crash()
	rec.add("server %s has exited", s.id)
	time.Sleep(time.Second)
	l.end()
	// Requests count from when the node is in touch again.
	after := confirmedAt.Add(drainBound)
	if t := restartedAt.Add(stableAfter + time.Second); t.After(after) {
		after = t
	}
	return l.judge(s, after)
}
