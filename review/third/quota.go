package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"sync"
	"syscall"
	"time"
)

// Figures of the quota case. The bounds are those of the deployment in demands/.
const (
	quotaRate    = 100.0
	quotaBurst   = 300.0
	quotaWindow  = 5 * time.Second
	quotaOver    = 0.1
	quotaSlack   = 20.0
	freezeLength = 5 * time.Second
)

func init() { cases["quota"] = quotaCase }

// quotaCase freezes the node that holds a tenant's quota for some seconds.
func quotaCase(f *fleet) {
	f.startStore()
	for range 6 {
		f.addNode("ledger")
	}
	f.publish(configuration(1, []any{map[string]any{
		"name": "acme", wire("keys"): []string{"k-acme"}, "priority": 0, wire("rate"): quotaRate, "burst": quotaBurst,
	}}, "ledger"))
	for _, n := range f.nodes {
		n.start(true)
	}
	for _, n := range f.nodes {
		n.addTarget(5, 10*time.Millisecond)
	}
	f.awaitReady()
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var answers []answer
	var pending sync.WaitGroup
	send := func(n *node) {
		pending.Add(1)
		go func() {
			defer pending.Done()
			a := n.send("GET", "roster.example", "/ledger/safe/x", "k-acme", 3*time.Second, nil)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		}()
	}
	// The tenant's usual traffic comes through all machines.
	for i := range 24 {
		send(f.nodes[i%len(f.nodes)])
		time.Sleep(40 * time.Millisecond)
	}
	pending.Wait()
	home := f.quotaHome("acme")
	var others []*node
	for _, n := range f.nodes {
		if n != home {
			others = append(others, n)
		}
	}
	f.record.printf("node %d grants the quota of the tenant", home.index)
	rate := func(perSecond int, d time.Duration) {
		end := time.Now().Add(d)
		start := time.Now()
		for i := 0; time.Now().Before(end); {
			for due := int(time.Since(start).Seconds() * float64(perSecond)); i < due; i++ {
				send(others[i%len(others)])
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	// Idle enough for the burst to be whole again.
	rate(5, 6*time.Second)
	if f.trouble {
		home.signal(syscall.SIGSTOP)
	}
	frozenAt := time.Now()
	rate(5, freezeLength-400*time.Millisecond)
	f.record.printf("the tenant sends many times its usual")
	hot := time.Now()
	go func() {
		time.Sleep(time.Until(frozenAt.Add(freezeLength)))
		if f.trouble {
			home.signal(syscall.SIGCONT)
		}
	}()
	rate(800, 6*time.Second)
	pending.Wait()

	sent := map[string]time.Time{}
	statuses := map[int]int{}
	for _, a := range answers {
		sent[a.id] = a.sentAt
		statuses[a.status]++
		f.record.printf("requester: %s sent at %.3f answered %d %s", a.id, a.sentAt.Sub(f.startedAt).Seconds(), a.status, trim(a.err))
	}
	type span struct{ sent, ran time.Time }
	var spans []span
	for _, r := range f.allRuns() {
		if at, ok := sent[r.id]; ok && r.tenant == "acme" {
			spans = append(spans, span{at, r.at})
			f.record.printf("server: %s ran at %.3f", r.id, r.at.Sub(f.startedAt).Seconds())
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].sent.Before(spans[j].sent) })
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	most, mostAt := 0, time.Time{}
	for _, first := range spans {
		n := 0
		for _, s := range spans {
			if !s.sent.Before(first.sent) && !s.ran.After(first.sent.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, mostAt = n, first.sent
		}
	}
	f.end(float64(most) > limit, "%d requests of the tenant were sent and ran within %v (from %.3f s on; hot from %.3f s); the rule allows %.0f; answers by status: %v",
		most, quotaWindow, mostAt.Sub(f.startedAt).Seconds(), hot.Sub(f.startedAt).Seconds(), limit, statuses)
}

// quotaHome returns the node that alone shows the tenant's quota as used in three successive
// looks, each after some requests.
func (f *fleet) quotaHome(tenant string) *node {
	var home *node
	same := 0
	f.await(10*time.Second, "one node shows the tenant's quota", func() bool {
		var pending sync.WaitGroup
		for i := range 40 {
			pending.Go(func() {
				f.nodes[i%len(f.nodes)].send("GET", "roster.example", "/ledger/safe/x", "k-acme", 3*time.Second, nil)
			})
		}
		pending.Wait()
		var shown []*node
		for _, n := range f.nodes {
			if n.showsQuota(tenant) {
				shown = append(shown, n)
			}
		}
		switch {
		case len(shown) != 1:
			same = 0
		case shown[0] == home:
			same++
		default:
			home, same = shown[0], 1
		}
		return same == 3
	})
	return home
}

// showsQuota reports whether the node's status shows the tenant's quota as used.
func (n *node) showsQuota(tenant string) bool {
	resp, err := http.Get("http://" + n.addr(n.ports.metrics) + "/status")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var s struct {
		Quotas []struct {
			Customer string `json:"customer"`
		} `json:"quotas"`
	}
	json.NewDecoder(resp.Body).Decode(&s)
	return slices.ContainsFunc(s.Quotas, func(q struct {
		Customer string `json:"customer"`
	}) bool {
		return q.Customer == tenant
	})
}
