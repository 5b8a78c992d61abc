package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The quota of the tenant, its usual traffic and the disruptions of caseAlone: the store is
// down for 4.5 s (platform_down, how busy), and meanwhile all nodes are killed at once
// (herd_kill, how "on core"). The tenant sends 7.5 times its usual for 6.5 s (hot_tenant).
const (
	aloneRate   = 100.0
	aloneBurst  = 20.0
	aloneUsual  = 100
	aloneHot    = 750
	storeOutage = 4500 * time.Millisecond
)

// caseAlone kills all nodes while the store is down. With trouble, each node has the
// configuration from the store's return on, and knows no other node for a while.
func caseAlone(f *fleet, rec *record) (broken bool) {
	const host, key, budget = "jepu9.example", "k-3f0c77ab", 5 * time.Second
	var nodes []*node
	var servers []*server
	for i := range 10 {
		n := f.newNode(fmt.Sprintf("sidecar-bajio-a-%d", i+1), "bajio-a", "reparto")
		s := &server{id: fmt.Sprintf("i-7f3a91c%d", i), service: "reparto", zone: n.zone, address: n.app, slots: 5, work: 20 * time.Millisecond, rec: rec}
		s.serve()
		go s.ping(context.Background(), n.admin)
		nodes, servers = append(nodes, n), append(servers, s)
	}
	f.publish(configuration(7, []string{"reparto"},
		[]route{{name: "claim", host: host, prefix: "/puka111/", kind: "non_idempotent", service: "reparto", timeout: budget, latency: 3 * time.Second, attempts: 2}},
		[]map[string]any{{"name": "t-jornal", wire("keys"): []string{key}, "priority": 0, wire("rate"): aloneRate, "burst": aloneBurst}}))
	for _, n := range nodes {
		n.awaitReady()
	}
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var wg sync.WaitGroup
	sentAt := map[string]time.Time{}
	statuses := map[int]int{}
	sendFor := func(perSecond int, d time.Duration) {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		i := 0
		for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
			i++
			n := nodes[i%len(nodes)]
			wg.Go(func() {
				id := newID()
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				a := send(n.outbound, "POST", host, "/puka111/"+id, id, budget, map[string]string{wire("key"): key}, "shift")
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
			})
		}
	}
	sendFor(aloneUsual, 6*time.Second)
	if trouble {
		f.setOutage(true)
		time.AfterFunc(storeOutage, func() { f.setOutage(false) })
		time.AfterFunc(storeOutage-1100*time.Millisecond, func() {
			for _, n := range nodes {
				n.process.signal(syscall.SIGKILL)
			}
			rec.add("all nodes have been killed")
			time.Sleep(500 * time.Millisecond)
			for _, n := range nodes {
				n.restart()
			}
		})
	}
	sendFor(aloneUsual, storeOutage-300*time.Millisecond)
	rec.add("the tenant sends 7.5 times its usual")
	sendFor(aloneHot, 6500*time.Millisecond)
	wg.Wait()

	var runs []time.Time
	for _, s := range servers {
		s.mu.Lock()
		for _, r := range s.runs {
			runs = append(runs, r.at)
		}
		s.mu.Unlock()
	}
	limit := (aloneRate*quotaWindow.Seconds()+aloneBurst)*(1+quotaOver) + quotaSlack
	most, at := mostInWindow(runs, sentTimes(servers, sentAt))
	rec.add("answers by status: %v", statuses)
	rec.add("%d requests were sent and ran in %v from %.3f s on; %.0f are allowed", most, quotaWindow, at.Sub(rec.started).Seconds(), limit)
	fmt.Printf("%d requests ran in %v, %.0f are allowed; answers by status: %v\n", most, quotaWindow, limit, statuses)
	return float64(most) > limit
}

// setOutage makes the store answer 503 to all calls, or ends that.
func (f *fleet) setOutage(down bool) {
	req, err := http.NewRequest(http.MethodPut, "http://"+f.store+"/faults", bytes.NewBufferString(fmt.Sprintf(`{"outage":%t}`, down)))
	must(err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	must(err)
	resp.Body.Close()
	f.rec.add("the store is down: %t", down)
}
