// Package odd makes entries that no sound writer leaves: records of nodes with values out of
// range, and calls of targets that must be rejected. The soak writes them.
package odd

import (
	"fmt"
	"math"
	"strings"
)

// RecordTopic is the topic of the nodes' records in the store.
const RecordTopic = "keyed.nodes"

// Records returns odd records for RecordTopic, by key. One has the key of the node at the given
// addresses, whose sound record it replaces.
func Records(own, gate, service string) map[string]string {
	record := func(node, gate string, issue any) string {
		return fmt.Sprintf(`{"node":%q,"gate":%q,"service":%q,"data_centre":"d0","region":"r0","issue":%v}`, node, gate, service, issue)
	}
	nested := strings.Repeat("[", 400_000)
	return map[string]string{
		own:               record(own, gate, math.MaxInt64),
		"127.0.0.1:70000": record("127.0.0.1:70000", "127.0.0.1:70001", 5),
		"127.0.0.9:1":     record("127.0.0.9:1", "127.0.0.9:-1", 5),
		"127.0.0.9:2":     record("127.0.0.9:2", "nowhere", 5),
		"127.0.0.9:3":     record("127.0.0.9:3", "127.0.0.9:4", "9223372036854775808"),
		"127.0.0.9:5":     record("127.0.0.9:5", "127.0.0.9:6", strings.Repeat("9", 400)),
		"127.0.0.9:7":     `{"node":"127.0.0.9:7","departures":` + nested,
		"127.0.0.9:8":     "null", "127.0.0.9:9": "\xff\xfe", "": "{}",
	}
}

// Call is an odd call of a target to the admin address of a node.
type Call struct{ Path, Body string }

// Calls returns odd announcements and deregistrations for the target at an address.
func Calls(address, service string) []Call {
	ping := func(born, seq, slots any, state, warmup string) string {
		return fmt.Sprintf(`{"address":%q,"born":%v,"info":{"service":%q,"slots":%v},"status":{"state":%q,"seq":%v,"cold_remaining":%q}}`,
			address, born, service, slots, state, seq, warmup)
	}
	const heartbeat, deregister = "/cuminwheel/rpc?call=instances.heartbeat&of=odd", "/cuminwheel/rpc?call=instances.deregister&of=odd"
	return []Call{
		{heartbeat, ping(math.MaxInt64, 1, 3, "ready", "0ms")}, {heartbeat, ping("9223372036854775808", 1, 3, "ready", "0ms")},
		{heartbeat, ping(5, int64(math.MaxInt64), 3, "ready", "0ms")}, {heartbeat, ping(5, 1, int64(math.MaxInt64), "ready", "0ms")},
		{heartbeat, ping(5, 1, 3, "ready", "2000000h")}, {heartbeat, ping(5, 1, 3, strings.Repeat("x", 5000), "0ms")},
		{heartbeat, strings.Repeat(`{"a":`, 10_000)}, {heartbeat, "null"}, {heartbeat, "\xff\xfe"},
		{deregister, `{"born":9223372036854775807}`}, {deregister, `{"born":-1}`}, {deregister, strings.Repeat("[", 60_000)},
	}
}
