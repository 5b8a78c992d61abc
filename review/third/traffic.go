package main

import (
	"fmt"
	"sync"
	"time"
)

// drain is the bound of the same name in the settings.
const drain = 3 * time.Second

// traffic sends requests to the nodes in turn until the returned function is called. A third
// of them is not idempotent.
func (f *fleet) traffic(nodes []*node, perSecond int) (stop func()) {
	ended := make(chan struct{})
	var pending sync.WaitGroup
	pending.Add(1)
	go func() {
		defer pending.Done()
		start := time.Now()
		for i := 0; ; {
			for due := int(time.Since(start).Seconds() * float64(perSecond)); i < due; i++ {
				method, path := "GET", "/ledger/safe/x"
				if i/len(nodes)%3 == 0 {
					method, path = "POST", "/ledger/non_idempotent/x"
				}
				n, unique := nodes[i%len(nodes)], fmt.Sprintf("?n=%d", i)
				pending.Go(func() {
					a := n.send(method, "roster.example", path+unique, "", 2*time.Second, nil)
					if a.status != 200 || a.err != nil {
						f.record.printf("requester: %s at node %d answered %d %s", a.id, n.index, a.status, trim(a.err))
					}
				})
			}
			select {
			case <-ended:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() {
		close(ended)
		pending.Wait()
	}
}

// judgeLeave ends the case: it is broken if requests reached the server later than drain after
// the confirmation that it leaves.
func (f *fleet) judgeLeave(t *target, confirmedAt time.Time) {
	late, last := 0, time.Time{}
	t.mu.Lock()
	for _, r := range t.runs {
		after := r.at.Sub(confirmedAt)
		if after > 0 {
			f.record.printf("server %d: ran %s %v after the confirmation", t.node.index, r.id, after.Round(time.Millisecond))
		}
		if after > drain {
			late++
			last = r.at
		}
	}
	t.mu.Unlock()
	if late == 0 {
		f.end(false, "no request reached the server later than %v after the confirmation that it leaves", drain)
	}
	f.end(true, "%d requests reached the server later than %v after the confirmation that it leaves, the last one %v after it",
		late, drain, last.Sub(confirmedAt).Round(time.Millisecond))
}
