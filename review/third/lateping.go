package main

import (
	"fmt"
	"time"
)

func init() { cases["late-ping"] = latePingCase }

// latePingCase lets the first ping of a server, which has started again under its id, arrive some
// seconds late, after the server has left with a confirmation.
func latePingCase(f *fleet) {
	f.startStore()
	for range 6 {
		f.addNode("ledger")
	}
	f.publish(configuration(1, nil, "ledger"))
	for _, n := range f.nodes {
		n.start(true)
	}
	for _, n := range f.nodes {
		n.addTarget(3, 40*time.Millisecond)
	}
	f.awaitReady()
	stopTraffic := f.traffic(f.nodes, 120)
	time.Sleep(7 * time.Second)

	victim := f.nodes[0].target
	victim.crash()
	time.Sleep(300 * time.Millisecond)
	victim.isHeldUp = true
	victim.start(victim.id, time.Now().UnixMilli())
	f.await(time.Second, "the first ping is sent", func() bool { return len(victim.held()) == 1 })
	time.Sleep(time.Second)
	if !victim.leave() {
		f.must(fmt.Errorf("no confirmation"), "the server leaves")
	}
	leftAt := time.Now()
	time.Sleep(1500 * time.Millisecond)
	if f.trouble {
		ping := victim.held()[0]
		victim.call("instances.heartbeat", victim.id, ping.body, fmt.Sprintf("born=%v state=ready seq=1, %v late", ping.body["born"], time.Since(ping.sentAt).Round(100*time.Millisecond)), true)
	}
	time.Sleep(8 * time.Second)
	stopTraffic()
	late, last := 0, time.Time{}
	for _, r := range victim.runs {
		after := r.at.Sub(leftAt)
		if after > 0 {
			f.record.printf("server 0: ran %s %v after the confirmation of its leave", r.id, after.Round(time.Millisecond))
		}
		if after > drain {
			late++
			last = r.at
		}
	}
	if late == 0 {
		f.end(false, "no request reached the server later than %v after the confirmation of its leave", drain)
	}
	f.end(true, "%d requests reached the server later than %v after the confirmation of its leave, the last one %v after it", late, drain, last.Sub(leftAt).Round(time.Millisecond))
}
