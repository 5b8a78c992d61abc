package main

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

func ipsOf(n int) []string {
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.7.%d", 11+i))
	}
	return ips
}

func init() {
	cases["quota-alone"] = quotaAlone
	addresses["quota-alone"] = ipsOf(10)
}

// load sends requests at a rate to each of the nodes, open loop, until stop is closed.
func load(f *fleet, vms []*vm, perSecond float64, key string, out *[]sent, mu *sync.Mutex, stop <-chan struct{}, wg *sync.WaitGroup) {
	for _, v := range vms {
		q := &requester{addr: v.addr(f.p.outbound)}
		wg.Add(1)
		go func() {
			defer wg.Done()
			var inner sync.WaitGroup
			n := 0
			start := time.Now()
			for {
				next := start.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
				n++
				select {
				case <-stop:
					inner.Wait()
					q.close()
					return
				case <-time.After(time.Until(next)):
				}
				inner.Add(1)
				go func() {
					defer inner.Done()
					s := q.do("GET", "trips.example", fmt.Sprintf("/search/%x", nextID.Load()), key, "", 4*time.Second)
					mu.Lock()
					*out = append(*out, s)
					mu.Unlock()
				}()
			}
		}()
	}
}

// worstWindow returns the most requests that were both sent and began to run within 5 s.
func worstWindow(requests []sent, runs []arrival) (int, time.Time) {
	sentAt := map[string]time.Time{}
	for _, s := range requests {
		sentAt[s.id] = s.at
	}
	first := map[string]time.Time{}
	for _, a := range runs {
		if at, ok := first[a.id]; !ok || a.at.Before(at) {
			first[a.id] = a.at
		}
	}
	type span struct{ from, to time.Time }
	var spans []span
	for id, at := range first {
		if s, ok := sentAt[id]; ok {
			spans = append(spans, span{s, at})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.from.Compare(b.from) })
	most, when := 0, time.Time{}
	for i, w := range spans {
		end := w.from.Add(5 * time.Second)
		n := 0
		for _, s := range spans[i:] {
			if s.from.After(end) {
				break
			}
			if !s.to.After(end) {
				n++
			}
		}
		if n > most {
			most, when = n, w.from
		}
	}
	return most, when
}

func quotaAlone(f *fleet) string {
	const rate, burst, hot = 50, 50, 235.0
	l := &ledger{}
	store := f.withStoreProxy()
	add := func(i int, bootstrap bool) *vm {
		v := f.addVM(fmt.Sprintf("n%d", i+1), addresses["quota-alone"][i], []string{"za", "zb"}[i%2], "ra", "rides")
		v.startNode(bootstrap)
		return v
	}
	for i := range 8 {
		add(i, true)
	}
	f.publish(withTenants([]string{tenantOf("hot", "keyhot1111111111", fmt.Sprint(rate)), tenantOf("calm", "keycalm222222222", fmt.Sprint(burst))}))
	for i, v := range f.vms {
		f.await("readiness of "+v.name, v.isReady)
		v.startTarget(fmt.Sprintf("i-%08x", 0x62b11c00+i), 5, 40*time.Millisecond, l)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		store.setDown(f, wire("nodes_topic"), true)
	}
	time.Sleep(200 * time.Millisecond)
	for i := 8; i < 10; i++ {
		v := add(i, false)
		f.await("admin of "+v.name, func() bool { return canConnect(v.addr(f.p.admin)) })
		v.startTarget(fmt.Sprintf("i-%08x", 0x62b11c00+i), 5, 40*time.Millisecond, l)
	}
	for _, v := range f.vms[8:] {
		f.await("readiness of "+v.name, v.isReady)
		f.record.say("platform: node %s is ready", v.name)
	}
	time.Sleep(time.Until(f.vms[8].startedAt.Add(5100 * time.Millisecond)))
	var requests []sent
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := make(chan struct{})
	f.record.say("requesters: tenant hot sends %.0f requests a second, as many at each node", hot)
	load(f, f.vms, hot/float64(len(f.vms)), "keyhot1111111111", &requests, &mu, stop, &wg)
	time.Sleep(2600 * time.Millisecond)
	if trouble {
		store.setDown(f, wire("nodes_topic"), false)
	}
	time.Sleep(3900 * time.Millisecond)
	close(stop)
	wg.Wait()
	return judgeQuota(f, requests, l, rate, burst)
}

// recordSent writes what was sent and answered.
func recordSent(f *fleet, requests []sent) {
	for _, s := range requests {
		f.record.add("sent %s at %.3f to %s: %d %s", s.id, s.at.Sub(f.record.start).Seconds(), s.to, s.status, s.err)
	}
}

// judgeQuota writes what was sent and run, and checks the rule of quotas for tenant hot.
func judgeQuota(f *fleet, requests []sent, l *ledger, rate, burst float64) string {
	recordSent(f, requests)
	perSecond := map[int]map[string]int{}
	for _, a := range l.all() {
		f.record.add("ran %s at %.3f by %s for %s", a.id, a.at.Sub(f.record.start).Seconds(), a.instance, a.tenant)
		s := int(a.at.Sub(f.record.start).Seconds())
		if perSecond[s] == nil {
			perSecond[s] = map[string]int{}
		}
		perSecond[s][a.instance]++
	}
	for s := range 60 {
		n := 0
		for _, k := range perSecond[s] {
			n += k
		}
		if n > 0 {
			f.record.say("second %d: %d ran, by server %v", s, n, perSecond[s])
		}
	}
	most, when := worstWindow(requests, l.all())
	limit := (rate*5+burst)*1.1 + 20
	f.record.say("most requests of tenant hot in a window of 5 s: %d, from %.3f; the rule allows %.0f", most, when.Sub(f.record.start).Seconds(), limit)
	if float64(most) > limit {
		return fmt.Sprintf("QUOTA: %d requests of a tenant were sent and run within 5 s; the rule allows %.0f", most, limit)
	}
	return ""
}

func canConnect(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	c.Close()
	return true
}
