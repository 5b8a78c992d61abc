package gate

import (
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/request/metadata"
)

// restrictions holds what an incarnation of the target has said about itself in its
// responses. Gate.mu guards it.
type restrictions struct {
	// identity is that of the incarnation, see Announcement.identity.
	identity uint64
	limiter  limiter
	leaving  bool
}

// incarnation identifies the incarnation among those at the gate's address, in few bytes.
func (r *restrictions) incarnation() uint32 { return uint32(r.identity) }

// notice returns what entries are told, and return with their requests.
func (r *restrictions) notice(isTargetKnown bool) hopheader.Notice {
	if !isTargetKnown {
		return hopheader.Notice{}
	}
	return hopheader.Notice{
		IsKnown: r.limiter.isHeard || r.leaving, Incarnation: r.incarnation(),
		HasLimit: r.limiter.knowledge == limited, Limit: r.limiter.perSecond, Leaving: r.leaving,
	}
}

// namingGrace is how long after a target's first limit its requests may exceed it.
// A gate that started less than this after its target hears of the limit in time.
const namingGrace = 3 * time.Second

// startProbation makes the limit unknown if nothing is known of it yet and the target was
// running long before the gate started. The caller holds mu.
func (g *Gate) startProbation() {
	l := &g.target.restrictions.limiter
	if *l == (limiter{}) && g.target.announced.StartedAt.Before(g.startedAt.Add(-namingGrace)) {
		l.knowledge = limitUnknown
	}
}

// learnNotice applies what an entry remembers of the target, as far as the gate does not
// know better. The caller holds mu.
func (g *Gate) learnNotice(n hopheader.Notice, now time.Time) {
	r := &g.target.restrictions
	if !g.target.isKnown || !n.IsKnown || n.Incarnation != r.incarnation() {
		return
	}
	if n.Leaving && !r.leaving {
		r.leaving = true
		g.options.Logger.Info("leave of the target learned from an entry", "instance", g.target.announced.Instance)
		g.dispatchWaiters()
	}
	if n.HasLimit && !r.limiter.isHeard && r.limiter.name(n.Limit, now) {
		g.options.Logger.Info("request limit of the target learned from an entry", "instance", g.target.announced.Instance,
			"per_second", r.limiter.perSecond)
	}
}

// recordNotices records the limit and the leave that a response names.
func (g *Gate) recordNotices(gr grant, id string, t metadata.TargetResponse) {
	if t.InvalidNotice != "" {
		g.options.Logger.Warn("notice of the target ignored", "request", id, "instance", gr.instance, "value", t.InvalidNotice)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.target.restrictions
	if gr.identity != r.identity {
		return
	}
	g.dropLosses(gr.startedAt)
	if t.Leaving && !r.leaving {
		r.leaving = true
		g.target.departures = g.target.departures.with(departureOf(g.target.announced.Instance, g.target.announced.StartedAt))
		g.options.Logger.Info("target named its leave", "request", id, "instance", gr.instance)
		g.dispatchWaiters()
	}
	if r.limiter.observe(t, gr.startedAt, time.Now()) {
		g.options.Logger.Info("request limit of the target changed", "request", id, "instance", gr.instance,
			"limited", r.limiter.knowledge == limited, "per_second", r.limiter.perSecond, "sent", g.target.sent)
		g.dispatchWaiters()
	}
}

// RequestLimit returns the limit that the target has named, in requests per second.
// ok is false if it has named none.
func (g *Gate) RequestLimit() (perSecond float64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := &g.target.restrictions.limiter
	return l.perSecond, l.knowledge == limited
}
