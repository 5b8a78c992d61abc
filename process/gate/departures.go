package gate

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxDepartures is the number of incarnations whose leave a gate remembers. Announcements
// arrive some seconds late at most, and few incarnations leave in that time.
const MaxDepartures = 4

// departures identifies the incarnations of the target that have announced that they drain
// or leave, the earliest first. None of them gets requests again, although announcements
// from before its leave may still arrive. The list outlives the gate, which reads it back
// from the other nodes and the store when it starts.
type departures []uint64

// departureOf returns a hash of an incarnation. Its start time is zero if the target has
// deregistered without naming it; the hash then stands for each start under its name.
func departureOf(instance string, startedAt time.Time) uint64 {
	start := "?"
	if !startedAt.IsZero() {
		start = strconv.FormatInt(startedAt.UnixMilli(), 36)
	}
	return xxhash.Sum64String(instance + "/" + start)
}

// with returns the list with further incarnations, without the earliest if there are too
// many.
func (d departures) with(added ...uint64) departures {
	list := slices.Clone(d)
	for _, id := range added {
		if !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list[max(0, len(list)-MaxDepartures):]
}

// includes reports whether the announcement is one of an incarnation on the list.
func (d departures) includes(a Announcement) bool {
	return slices.Contains(d, departureOf(a.Instance, a.StartedAt))
}

// mayInclude reports whether it may be one, since only the name of an incarnation on the
// list is known.
func (d departures) mayInclude(a Announcement) bool {
	return slices.Contains(d, departureOf(a.Instance, time.Time{}))
}

// Departures identifies the incarnations of the target whose leave the gate knows, the
// earliest first.
func (g *Gate) Departures() []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.target.departures)
}

// LearnDepartures adds leaves that this gate confirmed before it restarted. If the current
// incarnation is among them, it gets no new requests.
func (g *Gate) LearnDepartures(list []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &g.target
	// Those that the gate has seen itself are later.
	all := departures(list).with(t.departures...)
	if len(all) == len(t.departures) {
		return
	}
	t.departures = all
	if !t.isKnown {
		// An incarnation of which only the name is known may replace this one once it has
		// announced itself for long enough.
		t.lastAnnouncedAt = time.Now()
		return
	}
	if t.departures.includes(t.announced) && !t.isLeaving() {
		t.announced.Draining = true
		g.options.Logger.Info("leave of the target learned from other nodes", "instance", t.announced.Instance, "born", t.announced.StartedAt)
		g.dispatchWaiters()
	}
}

// reportProber reports a node that queries the gate's state, which may know what the gate
// has confirmed.
func (g *Gate) reportProber(node string) {
	g.mu.Lock()
	isRecovering := g.isRecovering
	g.mu.Unlock()
	if isRecovering && node != "" && g.options.OnProbe != nil {
		g.options.OnProbe(node)
	}
}

// EndRecovery ends the time in which a restarted gate admits nothing because it may have
// confirmed the leave of its target before.
func (g *Gate) EndRecovery() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isRecovering = false
}
