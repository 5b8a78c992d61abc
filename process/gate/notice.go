package gate

import (
	"time"

	"github.com/cuminwheel/cuminwheel/request/metadata"
)

// recordNotices records the limit and the leave that a response names.
func (g *Gate) recordNotices(gr grant, id string, t metadata.TargetResponse) {
	if t.InvalidNotice != "" {
		g.options.Logger.Warn("notice of the target ignored", "request", id, "instance", gr.instance, "value", t.InvalidNotice)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if gr.instance != g.target.announced.Instance {
		return
	}
	if t.Leaving && !g.target.namedLeave {
		g.target.namedLeave = true
		g.options.Logger.Info("target named its leave", "request", id, "instance", gr.instance)
	}
	l := &g.target.limiter
	if l.observe(t, gr.startedAt, time.Now()) {
		g.options.Logger.Info("request limit of the target changed", "request", id, "instance", gr.instance,
			"limited", l.knowledge == limited, "per_second", l.perSecond, "sent", g.target.sent)
		g.dispatchWaiters()
	}
}

// RequestLimit returns the limit that the target has named, in requests per second.
// ok is false if it has named none.
func (g *Gate) RequestLimit() (perSecond float64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target.limiter.perSecond, g.target.limiter.knowledge == limited
}
