package main

import (
	"fmt"
	"time"
)

func init() { cases["earlier-start"] = earlierStartCase }

// earlierStartCase lets the last two pings of a lifetime of a server, which were held up, arrive
// after the next lifetime under the same id has left with a confirmation.
func earlierStartCase(f *fleet) {
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
	time.Sleep(6500 * time.Millisecond)

	victim := f.nodes[0].target
	victim.setHeldUp(true)
	f.await(5*time.Second, "two pings are held up", func() bool { return len(victim.held()) == 2 })
	victim.crash()
	time.Sleep(300 * time.Millisecond)
	victim.setHeldUp(false)
	victim.start(victim.id, time.Now().UnixMilli())
	born := victim.born
	time.Sleep(700 * time.Millisecond)
	confirmed := victim.call(wire("deregister"), victim.id, map[string]any{"born": born}, fmt.Sprintf("born=%d", born), true)
	victim.endPings()
	if !confirmed {
		f.must(fmt.Errorf("no confirmation"), "the server leaves")
	}
	leftAt := time.Now()
	time.Sleep(4600 * time.Millisecond)
	for _, ping := range victim.held() {
		if f.trouble {
			victim.call(wire("heartbeat"), victim.id, ping.body, fmt.Sprintf("born=%v state=ready, %v late", ping.body["born"], time.Since(ping.sentAt).Round(100*time.Millisecond)), true)
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	stopTraffic()
	f.judgeLeave(victim, leftAt)
}
