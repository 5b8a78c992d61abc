package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kinds of faults.
const (
	faultKill     = "kill"
	faultTerm     = "term"
	faultPause    = "pause"
	faultSick     = "sick_target"
	faultDrain    = "drain_target"
	faultLink     = "link"
	faultReset    = "reset_links"
	faultStore    = "store"
	faultPublish  = "publish"
	faultKillAll  = "kill_all"
	faultSighup   = "sighup"
	lastFaultKept = 2 * time.Second
)

// event is a fault that is injected at a time after the start of the load.
type event struct {
	at    time.Duration
	kind  string
	node  int
	lasts time.Duration
	mode  mode
	sick  string
	store string
}

func (e event) String() string {
	return fmt.Sprintf("at %5d ms: %s node=%d for=%d ms link=%s target=%s store=%s",
		e.at.Milliseconds(), e.kind, e.node, e.lasts.Milliseconds(), e.mode, e.sick, e.store)
}

// Faults of targets and of the store, as the stand-ins take them.
var (
	sicknesses = []string{
		`{"reset_share":0.85}`, `{"stall":true}`, `{"fail_share":0.7}`, `{"shed_share":0.7}`, `{"truncate":true}`,
		`{"cross":true}`, `{"extra":true}`, `{"slow_factor":10}`,
	}
	storeFaults = []string{
		`{"outage":true}`, `{"silent":true}`, `{"delay_ms":800}`, `{"lose_answers":20}`, `{"forget":true}`,
	}
)

// draw returns the faults of a seed, in the order of their times. They come in
// series and overlap.
func draw(seed uint64, nodes int, length time.Duration) []event {
	r := rand.New(rand.NewPCG(seed, 77))
	kinds := []string{
		faultKill, faultTerm, faultTerm, faultPause, faultSick, faultSick, faultSick, faultDrain, faultLink, faultLink,
		faultReset, faultStore, faultStore, faultPublish, faultPublish, faultSighup,
	}
	var events []event
	at := 300 * time.Millisecond
	for at < length-lastFaultKept {
		e := event{
			at: at, kind: kinds[r.IntN(len(kinds))], node: r.IntN(nodes),
			lasts: time.Duration(200+r.IntN(2500)) * time.Millisecond,
			mode:  mode(1 + r.IntN(3)), sick: sicknesses[r.IntN(len(sicknesses))], store: storeFaults[r.IntN(len(storeFaults))],
		}
		events = append(events, e)
		at += time.Duration(r.IntN(700)) * time.Millisecond
	}
	if r.IntN(3) == 0 {
		events = append(events, event{at: length - lastFaultKept, kind: faultKillAll})
	}
	return events
}
