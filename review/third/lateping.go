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
	victim.setHeldUp(true)
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
		victim.call(wire("heartbeat"), victim.id, ping.body, fmt.Sprintf("born=%v state=ready seq=1, %v late", ping.body["born"], time.Since(ping.sentAt).Round(100*time.Millisecond)), true)
	}
	time.Sleep(8 * time.Second)
	stopTraffic()
	f.judgeLeave(victim, leftAt)
}
