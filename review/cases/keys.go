package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the disruptions: one tenant sends 7.5 times its usual for 6.5 s (hot_tenant),
// and one of its keys is taken away meanwhile (revoke, count 1).
const (
	usualRate   = 2.2
	hotFactor   = 7.5
	hotDuration = 6500 * time.Millisecond
)

// caseKeys has members of one tenant read a few shift boards, half of them with an old key
// and half with a new one. The tenant then sends many times its usual. With trouble, the
// old key is removed meanwhile. The new key is in every configuration.
func caseKeys(f *fleet, rec *record) (broken bool) {
	const host, oldKey, newKey = "hulo84.example", "k-old-3f0c", "k-new-77ab"
	const boards, budget = 4, 5 * time.Second
	entry := f.newNode("sidecar-bajio-a-1", "bajio-a", "reparto")
	gate := f.newNode("sidecar-bajio-a-2", "bajio-a", "tablero")
	for _, n := range []*node{entry, gate} {
		s := &server{id: "i-" + n.service, service: n.service, zone: n.zone, address: n.app, slots: 5, work: 560 * time.Millisecond, rec: rec}
		s.serve()
		go s.ping(context.Background(), n.admin)
	}
	routes := []route{{name: "board", host: host, prefix: "/leny950/", kind: "safe", service: "tablero", timeout: budget, latency: 3 * time.Second, attempts: 2}}
	tenant := func(keys ...string) []map[string]any {
		return []map[string]any{{"name": "t-jornal", wire("keys"): keys, "priority": 0, wire("rate"): 0, "burst": 0}}
	}
	f.publish(configuration(7, []string{"tablero", "reparto"}, routes, tenant(oldKey, newKey)))
	entry.awaitReady()
	gate.awaitReady()
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var removed, isHot bool
	total, denied := 0, 0
	statuses := map[string]int{}
	var wg sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	wg.Go(func() {
		for member := 0; ctx.Err() == nil; member++ {
			mu.Lock()
			rate := usualRate
			if isHot {
				rate *= hotFactor
			}
			mu.Unlock()
			time.Sleep(time.Duration(float64(time.Second) / rate))
			key := newKey
			mu.Lock()
			if member%2 == 0 && !removed {
				key = oldKey
			}
			mu.Unlock()
			wg.Go(func() {
				id := newID()
				a := send(entry.outbound, "GET", host, fmt.Sprintf("/leny950/board/%d", member/2%boards), id, budget, map[string]string{wire("key"): key}, "")
				mu.Lock()
				defer mu.Unlock()
				total++
				statuses[fmt.Sprintf("%s %d", key, a.status)]++
				rec.add("request %s with %s: %d", id, key, a.status)
				if key == newKey && a.status == http.StatusUnauthorized {
					denied++
					rec.add("DENIED: request %s with the valid key was answered 401: %s", id, a.body)
				}
			})
		}
	})
	setHot := func(hot bool) {
		mu.Lock()
		defer mu.Unlock()
		isHot = hot
	}
	time.Sleep(3 * time.Second)
	setHot(true)
	time.Sleep(hotDuration / 2)
	if trouble {
		f.publish(configuration(9, []string{"tablero", "reparto"}, routes, tenant(newKey)))
	}
	mu.Lock()
	removed = true
	mu.Unlock()
	time.Sleep(hotDuration / 2)
	setHot(false)
	time.Sleep(2 * time.Second)
	stop()
	wg.Wait()
	allowed := 5 + total/500
	rec.add("%d requests %v; %d with the valid key were denied, %d are allowed", total, statuses, denied, allowed)
	fmt.Println(total, statuses, denied, "denied, allowed", allowed)
	return denied > allowed
}
