package main

import (
	"fmt"
	"time"
)

func init() { cases["odd-ping"] = oddPingCase }

// oddPingCase lets a ping of another writer, in which fields are missing, arrive after a
// server has drained with a confirmation.
func oddPingCase(f *fleet) {
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
	victim.mu.Lock()
	victim.state = "draining"
	victim.mu.Unlock()
	if !victim.ping() {
		f.must(fmt.Errorf("no confirmation"), "the server drains")
	}
	drainedAt := time.Now()
	time.Sleep(3 * time.Second)
	if f.trouble {
		// No zone, no version, no cold_remaining; the writer's own time stands for the start.
		victim.call(wire("heartbeat"), victim.id, map[string]any{
			"born": time.Now().UnixMilli(), "address": victim.node.addr(victim.node.ports.app),
			"info":   map[string]any{"service": victim.node.service, "slots": 3},
			"status": map[string]any{"state": "ready", "seq": 1},
		}, "of another writer: zone, version and cold_remaining are missing", true)
	}
	time.Sleep(6 * time.Second)
	stopTraffic()
	f.judgeLeave(victim, drainedAt)
}
