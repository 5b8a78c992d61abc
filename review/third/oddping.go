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
		victim.call("instances.heartbeat", victim.id, map[string]any{
			"born": time.Now().UnixMilli(), "address": victim.node.addr(victim.node.ports.app),
			"info":   map[string]any{"service": victim.node.service, "slots": 3},
			"status": map[string]any{"state": "ready", "seq": 1},
		}, "of another writer: zone, version and cold_remaining are missing", true)
	}
	time.Sleep(6 * time.Second)
	stopTraffic()
	late, last := 0, time.Time{}
	for _, r := range victim.runs {
		after := r.at.Sub(drainedAt)
		if after > 0 {
			f.record.printf("server 0: ran %s %v after the confirmation that it drains", r.id, after.Round(time.Millisecond))
		}
		if after > drain {
			late++
			last = r.at
		}
	}
	if late == 0 {
		f.end(false, "no request reached the server later than %v after the confirmation that it drains", drain)
	}
	f.end(true, "%d requests reached the server later than %v after the confirmation that it drains, the last one %v after it", late, drain, last.Sub(drainedAt).Round(time.Millisecond))
}
