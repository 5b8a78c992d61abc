package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/link"
)

// Kinds of faults.
const (
	faultKill      = "kill"
	faultTerminate = "term"
	faultPause     = "pause"
	faultTarget    = "sick_target"
	faultDrain     = "drain_target"
	faultLink      = "link"
	faultReset     = "reset_links"
	faultStore     = "store"
	faultPublish   = "publish"
	faultKillAll   = "kill_all"
	faultReload    = "sighup"
	faultRevert    = "store_reverts"
	faultLimit     = "limit"
	faultLeave     = "leave"
	faultCrash     = "crashing_request"
	faultRemoveKey = "remove_key"
	faultAddKey    = "add_key"
	faultQuota     = "lower_quota"
	faultSilence   = "silence"
	// lastFaultMargin is the shortest time between the start of a fault and the end
	// of the load.
	lastFaultMargin = 2 * time.Second
)

// event is a fault and the time after the start of the load at which it is
// injected. Only the parameters that its kind needs are used.
type event struct {
	at          time.Duration
	kind        string
	node        int
	duration    time.Duration
	linkMode    link.Mode
	targetFault string
	storeFault  string
	limits      [2]float64
	customer    string
}

func (e event) String() string {
	return fmt.Sprintf("at %5d ms: %s node=%d for=%d ms link=%s target=%s store=%s limits=%v customer=%s",
		e.at.Milliseconds(), e.kind, e.node, e.duration.Milliseconds(), e.linkMode, e.targetFault, e.storeFault, e.limits, e.customer)
}

// Faults that the stand-in targets and the stand-in store can be set to, in JSON.
var (
	targetFaults = []string{
		`{"reset_share":0.85}`, `{"stall":true}`, `{"fail_share":0.7}`, `{"shed_share":0.7}`, `{"truncate":true}`,
		`{"cross":true}`, `{"extra":true}`, `{"slow_factor":10}`,
	}
	storeFaults = []string{
		`{"outage":true}`, `{"silent":true}`, `{"delay_ms":800}`, `{"lose_answers":20}`, `{"forget":true}`,
	}
)

// generateSchedule returns the faults of a seed in the order of their times. A fault
// starts less than 700 ms after the previous one and may last up to 2.7 s, so that
// faults overlap. One schedule in three ends with a kill of all nodes.
func generateSchedule(seed uint64, nodes int, duration time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, 77))
	kinds := []string{
		faultKill, faultTerminate, faultTerminate, faultPause, faultTarget, faultTarget, faultTarget, faultDrain, faultLink, faultLink,
		faultReset, faultStore, faultStore, faultPublish, faultPublish, faultReload,
	}
	var events []event
	at := 300 * time.Millisecond
	for at < duration-lastFaultMargin {
		e := event{
			at: at, kind: kinds[rng.IntN(len(kinds))], node: rng.IntN(nodes),
			duration: time.Duration(200+rng.IntN(2500)) * time.Millisecond,
			linkMode: link.Mode(1 + rng.IntN(3)), targetFault: targetFaults[rng.IntN(len(targetFaults))], storeFault: storeFaults[rng.IntN(len(storeFaults))],
		}
		events = append(events, e)
		at += time.Duration(rng.IntN(700)) * time.Millisecond
	}
	if rng.IntN(3) == 0 {
		events = append(events, event{at: duration - lastFaultMargin, kind: faultKillAll})
	}
	events = insertNotices(insertReversion(events, seed, duration), seed, nodes, duration)
	events = insertOddEntries(insertSilence(events, seed, nodes, duration), seed, nodes, duration)
	return insertStorm(insertCustomerChanges(events, seed, duration), seed, duration)
}

// insertSilence adds connections of all nodes that fall silent, with a version that is
// published afterwards, and targets that repeat their refusals or end in the head of their
// responses. It draws from random numbers of its own, as insertReversion does.
func insertSilence(events []event, seed uint64, nodes int, duration time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, 80))
	for _, e := range []event{
		{kind: faultSilence}, {kind: faultTarget, targetFault: `{"shed_share":0.7,"repeat_share":1}`}, {kind: faultTarget, targetFault: `{"truncate_head":true}`},
	} {
		if rng.IntN(3) == 0 {
			continue
		}
		e.at, e.node = time.Duration(rng.Int64N(int64(duration-lastFaultMargin))), rng.IntN(nodes)
		e.duration = time.Duration(200+rng.IntN(2500)) * time.Millisecond
		if e.kind == faultSilence {
			// Late, since other faults end the silent connections.
			e.at = duration - lastFaultMargin - e.at/8
		}
		events = insertInOrder(events, e)
	}
	return events
}

// Limits that targets name, in requests per second. The second replaces the first in the
// middle of the fault.
var limitPairs = [][2]float64{{0.5, 0.5}, {2, 2}, {5, 1}, {1, 4}, {2, 0}}

// insertNotices adds targets that name limits or their leave, and requests that crash
// targets. It draws from random numbers of its own, as insertReversion does.
func insertNotices(events []event, seed uint64, nodes int, duration time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, 79))
	for _, kind := range []string{faultLimit, faultLimit, faultLeave, faultCrash} {
		if rng.IntN(4) == 0 {
			continue
		}
		e := event{
			at: time.Duration(rng.Int64N(int64(duration / 4))), kind: kind, node: rng.IntN(nodes),
			duration: duration/2 + time.Duration(rng.Int64N(int64(duration/4))), limits: limitPairs[rng.IntN(len(limitPairs))],
		}
		events = insertInOrder(events, e)
	}
	return events
}

func insertInOrder(events []event, e event) []event {
	i, _ := slices.BinarySearchFunc(events, e, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return slices.Insert(events, i, e)
}

// insertReversion adds a return of the store from an older copy to every second
// schedule. It draws from random numbers of its own, which leaves the other faults of
// a seed as they are.
func insertReversion(events []event, seed uint64, duration time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, 78))
	if rng.IntN(2) == 0 {
		return events
	}
	e := event{
		at: time.Duration(rng.Int64N(int64(duration - lastFaultMargin))), kind: faultRevert,
		duration: time.Duration(1000+rng.IntN(4000)) * time.Millisecond,
	}
	return insertInOrder(events, e)
}
