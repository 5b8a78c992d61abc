package gate

import "github.com/cuminwheel/cuminwheel/request/metadata"

// notices is what the current incarnation of the target has said about itself in its
// responses. Gate.mu guards it.
type notices struct {
	hasLimit bool
	// limit is in requests per second.
	limit   float64
	leaving bool
}

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
	n := &g.target.notices
	if t.Leaving && !n.leaving {
		n.leaving = true
		g.options.Logger.Info("target named its leave", "request", id, "instance", gr.instance)
	}
	if t.HasRequestLimit != n.hasLimit || t.RequestLimit != n.limit {
		n.hasLimit, n.limit = t.HasRequestLimit, t.RequestLimit
		g.options.Logger.Info("request limit of the target changed", "request", id, "instance", gr.instance,
			"limited", n.hasLimit, "per_second", n.limit, "sent", g.target.sent)
	}
}

// RequestLimit returns the limit that the target has named, in requests per second.
// ok is false if it has named none.
func (g *Gate) RequestLimit() (perSecond float64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target.notices.limit, g.target.notices.hasLimit
}
