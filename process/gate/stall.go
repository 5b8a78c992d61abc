package gate

import (
	"net/http"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
)

// run is the state of a granted request. Gate.mu guards it.
type run struct {
	// isSent means that the request was sent to the target.
	isSent   bool
	hasEnded bool
	// isStalled means that the request has exceeded its stall limit.
	isStalled bool
	// stallTimer fires at the stall limit.
	stallTimer *time.Timer
}

// maxTimerDelay is how late a stall timer may fire. If it fires later, the node
// itself was paused, and the response may have arrived without being read yet.
const maxTimerDelay = 30 * time.Millisecond

// watchForStall records a stall and calls onStall if the request, which is sent to
// the target at sentAt, exceeds the stall limit of its route. charged reports whether
// its retry at another target has been charged to this gate. Gate.release ends the
// watch.
func (g *Gate) watchForStall(gr grant, req hopheader.Request, sentAt time.Time, onStall func(charged bool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	dueAt := sentAt.Add(g.target.durations.stallLimit(req.RouteHash, req.SoftDeadline.Sub(sentAt)))
	if !dueAt.Before(req.Deadline) {
		return
	}
	onTimer := func() {
		if g.recordStall(gr, time.Now()) {
			onStall(req.CanRetry && g.chargeRetry(req))
		}
	}
	gr.run.stallTimer = time.AfterFunc(time.Until(dueAt), func() {
		if time.Since(dueAt) <= maxTimerDelay {
			onTimer()
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if !gr.run.hasEnded {
			gr.run.stallTimer = time.AfterFunc(maxTimerDelay, onTimer)
		}
	})
}

// recordStall records that a request has stalled, unless it has ended or is one of an
// earlier incarnation of the target.
func (g *Gate) recordStall(gr grant, now time.Time) (recorded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gr.run.hasEnded || gr.instance != g.target.announced.Instance {
		return false
	}
	gr.run.isStalled = true
	if gr.isTrial {
		g.target.breaker.EndTrial()
	}
	wasSuspected := g.target.breaker.IsSuspected(now)
	g.target.breaker.RecordStall(now, g.target.lastSuccessStart.After(gr.startedAt))
	g.logSuspicion(gr, wasSuspected, now, "stalled")
	g.dispatchWaiters()
	return true
}

// reportStall tells the entry that its request has stalled, so that it may send
// the request to another target.
func (g *Gate) reportStall(in *http1.IncomingRequest, gr grant, id string, charged bool) {
	now := time.Now()
	state := g.State()
	g.options.Logger.Info("request stalled", "request", id, "instance", gr.instance, "trial", gr.isTrial,
		"suspect", state.Suspected, "pays_repeat", charged, "took_ms", now.Sub(gr.startedAt).Milliseconds())
	h := http.Header{}
	hopheader.Response{State: state, RetryCharged: charged}.Inject(h, now)
	if err := in.SendInterim(h); err != nil {
		g.options.Logger.Warn("stall not reported to the entry", "request", id, "reason", err)
	}
}

// hasStalled reports whether the request has been recorded as stalled.
func (g *Gate) hasStalled(gr grant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return gr.run.isStalled
}
