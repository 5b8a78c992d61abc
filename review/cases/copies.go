package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of the disruption, at most those of the site file and of "kinds": a server that
// rejects a share of its requests (srv_grey, how shed: 6.5 s, x 0.45), and that sends a
// second copy of a few of its answers, late (garble, how extra late: 5 s, x 0.03).
const (
	shedShare     = 0.33
	copyShare     = 0.03
	episodeLength = 5 * time.Second
	episodePause  = 500 * time.Millisecond
)

// caseCopies sends claims to a service with one server, one of seven in the fleet. In
// episodes, the server rejects a share of the claims as not executed, and sends a second,
// late copy of a few of its answers.
func caseCopies(f *fleet, rec *record) (broken bool) {
	const host, budget = "jepu9.example", 1500 * time.Millisecond
	const rate, length = 13, 105 * time.Second
	var entry, gate *node
	var nodes []*node
	services := []string{"tablero", "nomina", "cuadrillas", "reparto"}
	for i, service := range []string{"tablero", "nomina", "cuadrillas", "reparto", "tablero", "nomina", "cuadrillas"} {
		n := f.newNode(fmt.Sprintf("sidecar-bajio-a-%d", i+1), "bajio-a", service)
		nodes = append(nodes, n)
		switch {
		case i == 0:
			entry = n
		case service == "reparto":
			gate = n
		}
	}
	var mu sync.Mutex
	var startedAt time.Time
	// draw reports whether a fault with the given share happens now.
	draw := func(share float64) bool {
		mu.Lock()
		defer mu.Unlock()
		inEpisode := !startedAt.IsZero() && time.Since(startedAt)%(episodeLength+episodePause) < episodeLength
		return trouble && inEpisode && rand.Float64() < share
	}
	var faulty *server
	for i, n := range nodes {
		s := &server{id: fmt.Sprintf("i-7f3a91c%d", i), service: n.service, zone: n.zone, address: n.app, slots: 3, work: 130 * time.Millisecond, rec: rec}
		if n == gate {
			faulty = s
			s.sheds = func(string) bool { return draw(shedShare) }
			s.repeats = func(string) time.Duration {
				if !draw(copyShare) {
					return 0
				}
				return time.Duration(5+rand.IntN(60)) * time.Millisecond
			}
		}
		s.serve()
		go s.ping(context.Background(), n.admin)
	}
	f.publish(configuration(7, services, []route{{name: "claim", host: host, prefix: "/puka111/", kind: "non_idempotent",
		service: "reparto", timeout: budget, latency: 800 * time.Millisecond, attempts: 3}}, nil))
	for _, n := range nodes {
		n.awaitReady()
	}
	time.Sleep(2 * time.Second)

	mu.Lock()
	startedAt = time.Now()
	mu.Unlock()
	statuses := map[string]int{}
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / rate)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		id := newID()
		wg.Go(func() {
			a := send(entry.outbound, "POST", host, "/puka111/claim", id, budget, nil, "shift "+id)
			rec.add("claim %s: status %d %v", id, a.status, a.err)
			mu.Lock()
			statuses[id] = a.status
			mu.Unlock()
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	runs := faulty.runsOf()
	count := map[string]int{}
	for id, status := range statuses {
		count[fmt.Sprintf("status %d", status)]++
		if runs[id] > 1 {
			count["run twice"]++
			rec.add("TWICE: claim %s ran %d times and was answered %d", id, runs[id], status)
		}
		if (status == 429 || status == 503) && runs[id] > 0 {
			count["refused and run"]++
			rec.add("REFUSED: claim %s was answered %d and ran %d times", id, status, runs[id])
		}
	}
	rec.add("%d claims: %v", len(statuses), count)
	fmt.Println(len(statuses), "claims:", count)
	return count["run twice"]+count["refused and run"] > 0
}
