package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["starved"] = starved
	addresses["starved"] = ipsOf(9)
}

// starved loses one of nine machines for good and counts what is served of each tenant, all of
// which stay below their quotas.
func starved(f *fleet) string {
	const tenants, lost, period = 40, 1, 2500 * time.Millisecond
	var list []string
	for i := range tenants {
		list = append(list, tenantOf(fmt.Sprintf("tenant%02d", i), fmt.Sprintf("key%013d", i), "20"))
	}
	l := &ledger{}
	for i, ip := range addresses["starved"] {
		f.addVM(fmt.Sprintf("n%d", i+1), ip, []string{"za", "zb"}[i%2], "ra", "rides").startNode(true)
	}
	f.publish(withTenants(list))
	for i, v := range f.vms {
		f.await("readiness of "+v.name, v.isReady)
		v.startTarget(fmt.Sprintf("i-%08x", 0x62b11c00+i), 5, 40*time.Millisecond, l)
	}
	time.Sleep(4 * time.Second)
	alive := f.vms
	if trouble {
		alive = f.vms[lost:]
		for _, v := range f.vms[:lost] {
			v.signal(syscall.SIGKILL)
			v.target.close()
		}
		f.record.say("platform: %d machines are lost for good", lost)
	}
	// The bound of recover.
	time.Sleep(15 * time.Second)
	f.record.say("requesters: each of %d tenants sends a request about every %v, of a quota of 20 a second", tenants, period)
	var wg sync.WaitGroup
	var mu sync.Mutex
	all := make([][]sent, tenants)
	end := time.Now().Add(40 * time.Second)
	for i := range tenants {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				time.Sleep(time.Duration((0.9 + 0.2*rand.Float64()) * float64(period)))
				q := &requester{addr: alive[rand.IntN(len(alive))].addr(f.p.outbound)}
				r := q.do("GET", "trips.example", fmt.Sprintf("/search/%x", nextID.Load()), fmt.Sprintf("key%013d", i), "", 4*time.Second)
				q.close()
				mu.Lock()
				all[i] = append(all[i], r)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	served, total, shares := 0, 0, make([]float64, tenants)
	for i, requests := range all {
		n := 0
		codes := map[int]int{}
		for _, s := range requests {
			f.record.add("sent %s by tenant%02d to %s at %.3f: %d %s", s.id, i, s.to, s.at.Sub(f.record.start).Seconds(), s.status, s.err)
			codes[s.status]++
			if s.status == 200 {
				n++
			}
		}
		served, total, shares[i] = served+n, total+len(requests), float64(n)/float64(len(requests))
		f.record.say("tenant%02d: %.2f served, by status %v", i, shares[i], codes)
	}
	of := float64(served) / float64(total)
	hungry := len(slices.DeleteFunc(slices.Clone(shares), func(s float64) bool { return s >= of/4 }))
	f.record.say("all: %.2f served; tenants that are served less than a quarter as often: %d", of, hungry)
	if hungry > 0 {
		return fmt.Sprintf("Starved: %d of %d tenants are served less than a quarter as often as all", hungry, tenants)
	}
	return ""
}
