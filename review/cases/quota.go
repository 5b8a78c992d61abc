package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The quota of the tenant, and the bounds of the site file by which it is checked.
const (
	quotaRate   = 160.0
	quotaBurst  = 240.0
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20.0
	// freezeDuration is how long one node of ten stands still (node_freeze, share .1).
	freezeDuration = 5 * time.Second
	// The tenant sends usualPerSecond, and then 7.5 times as much (hot_tenant) for
	// hotTime, from hotLead before the end of the freeze on.
	usualPerSecond = 64
	hotPerSecond   = 480
	hotTime        = 6500 * time.Millisecond
	hotLead        = 800 * time.Millisecond
)

// caseQuota sends a few requests of a tenant, and then many times its quota. With trouble,
// the node that grants the tenant's requests stands still before that, and wakes while
// they come.
func caseQuota(f *fleet, rec *record) (broken bool) {
	const host, key, budget = "hulo84.example", "k-3f0c77ab", 5 * time.Second
	var nodes []*node
	var servers []*server
	for i := range 10 {
		service := []string{"reparto", "tablero"}[i%2]
		n := f.newNode(fmt.Sprintf("sidecar-bajio-a-%d", i+1), "bajio-a", service)
		s := &server{id: fmt.Sprintf("i-7f3a91c%d", i), service: service, zone: n.zone, address: n.app, slots: 5, work: 10 * time.Millisecond, rec: rec}
		s.serve()
		go s.ping(context.Background(), n.admin)
		nodes, servers = append(nodes, n), append(servers, s)
	}
	f.publish(configuration(7, []string{"reparto", "tablero"},
		[]route{{name: "board", host: host, prefix: "/leny950/", kind: "safe", service: "reparto", timeout: budget, latency: 3 * time.Second, attempts: 2}},
		[]map[string]any{{"name": "t-jornal", wire("keys"): []string{key}, "priority": 0, wire("rate"): quotaRate, "burst": quotaBurst}}))
	for _, n := range nodes {
		n.awaitReady()
	}
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var wg sync.WaitGroup
	sentAt := map[string]time.Time{}
	statuses := map[int]int{}
	request := func(n *node) {
		id := newID()
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		a := send(n.outbound, "GET", host, "/leny950/"+id, id, budget, map[string]string{wire("key"): key}, "")
		mu.Lock()
		defer mu.Unlock()
		statuses[a.status]++
	}
	var home *node
	for try := 0; home == nil; try++ {
		if try == 20 {
			panic(skipped{fmt.Errorf("no node grants the requests of the tenant")})
		}
		for range 20 {
			wg.Go(func() { request(nodes[0]) })
		}
		time.Sleep(50 * time.Millisecond)
		home = homeOf(nodes, "t-jornal")
	}
	rec.add("node %s grants the requests of the tenant", home.name)
	var entries []*node
	for _, n := range nodes {
		if n != home {
			entries = append(entries, n)
		}
	}
	// sendFor sends requests at some entries in turn.
	sendFor := func(perSecond int, d time.Duration) {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		i := 0
		for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
			i++
			n := entries[i%4]
			wg.Go(func() { request(n) })
		}
	}
	sendFor(usualPerSecond, 8*time.Second)
	if trouble {
		home.process.signal(syscall.SIGSTOP)
		rec.add("node %s stands still", home.name)
		time.AfterFunc(freezeDuration, func() {
			home.process.signal(syscall.SIGCONT)
			rec.add("node %s goes on", home.name)
		})
	}
	sendFor(usualPerSecond, freezeDuration-hotLead)
	rec.add("the tenant sends more than its quota")
	sendFor(hotPerSecond, hotTime)
	wg.Wait()

	var runs []time.Time
	for _, s := range servers {
		s.mu.Lock()
		for _, r := range s.runs {
			runs = append(runs, r.at)
		}
		s.mu.Unlock()
	}
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	most, at := mostInWindow(runs, sentTimes(servers, sentAt))
	rec.add("answers by status: %v", statuses)
	rec.add("%d requests were sent and ran in %v from %.3f s on; %.0f are allowed", most, quotaWindow, at.Sub(rec.started).Seconds(), limit)
	fmt.Printf("%d requests ran in %v, %.0f are allowed; answers by status: %v\n", most, quotaWindow, limit, statuses)
	return float64(most) > limit
}

// homeOf returns the node whose status lists the customer, or nil.
func homeOf(nodes []*node, customer string) *node {
	for _, n := range nodes {
		resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/status", n.ports[1]))
		must(err)
		var status struct {
			Quotas []map[string]any `json:"quotas"`
		}
		must(json.NewDecoder(resp.Body).Decode(&status))
		resp.Body.Close()
		for _, q := range status.Quotas {
			for _, v := range q {
				if v == customer {
					return n
				}
			}
		}
	}
	return nil
}

// sentTimes returns when each run was sent, in the order of the runs of all servers.
func sentTimes(servers []*server, sentAt map[string]time.Time) []time.Time {
	var times []time.Time
	for _, s := range servers {
		for _, r := range s.runs {
			times = append(times, sentAt[r.id])
		}
	}
	return times
}

// mostInWindow returns the highest number of requests that were both sent and run in a
// window, and its start.
func mostInWindow(runs, sent []time.Time) (most int, at time.Time) {
	starts := slices.SortedFunc(slices.Values(sent), time.Time.Compare)
	for _, from := range starts {
		n := 0
		for i := range runs {
			if !sent[i].Before(from) && runs[i].Before(from.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, at = n, from
		}
	}
	return most, at
}
