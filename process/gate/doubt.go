package gate

import "time"

// A gate that has restarted doubts its target if nobody could tell which leaves it had
// confirmed before: all nodes that knew were killed. An announcement may have been sent
// before a leave and arrive late, but a target that has left sends no more. So a target that
// is older than the gate's process gets requests only while it announces itself regularly.
const (
	// gapFactor times the interval of announcements is the longest time between two
	// regular ones, and paceFactor times the interval the shortest.
	gapFactor  = 1.5
	paceFactor = 0.75
	// resumeTime is how long a target must have announced itself regularly if it has not
	// done so since the gate started.
	resumeTime = 4 * time.Second
	// proofTime is how long a target must have announced itself, at whatever pace, to be
	// doubted no more. No announcement arrives so late.
	proofTime = 10 * time.Second
)

// regularity is how an incarnation of the target has announced itself; zero before its first
// announcement. Gate.mu guards it.
type regularity struct {
	// lastAt is the time of the last announcement, and steadySince is from when on there was
	// no gap.
	lastAt, steadySince time.Time
	// at and sequence are those of the last regular announcement, and since is from when on
	// there was no gap between regular ones; the start of the gate if there was none ever.
	at, since time.Time
	sequence  int64
	isProven  bool
}

// with returns the regularity after another announcement. Announcements that come faster than
// a target sends them have been held up on their way, and are not regular.
func (r regularity) with(now time.Time, sequence int64, interval time.Duration) regularity {
	if now.Sub(r.lastAt) > maxGap(interval) {
		r.steadySince = now
	}
	r.lastAt = now
	r.isProven = r.isProven || now.Sub(r.steadySince) >= proofTime
	if now.Sub(r.at) < time.Duration(paceFactor*float64(interval)*float64(sequence-r.sequence)) {
		return r
	}
	if now.Sub(r.at) > maxGap(interval) {
		r.since = now
	}
	r.at, r.sequence = now, sequence
	return r
}

// maxGap returns the longest time between two regular announcements.
func maxGap(interval time.Duration) time.Duration {
	return time.Duration(gapFactor * float64(interval))
}

// isDoubted reports whether the target may have left before the gate started. The caller
// holds mu.
func (g *Gate) isDoubted(now time.Time) bool {
	t := &g.target
	// Targets name their start in whole milliseconds.
	isYounger := !t.announced.StartedAt.Before(g.startedAt.Truncate(time.Millisecond))
	if !g.hasDoubts || !t.isKnown || t.regularity.isProven || isYounger {
		return false
	}
	if now.Sub(t.regularity.at) > maxGap(g.options.AnnouncementInterval) {
		return true
	}
	return t.regularity.since.After(g.startedAt) && now.Sub(t.regularity.since) < resumeTime
}

// recordRegularity notes an announcement of the target. The caller holds mu.
func (g *Gate) recordRegularity(now time.Time) {
	t := &g.target
	if t.regularity.lastAt.IsZero() {
		t.regularity = regularity{at: g.startedAt, since: g.startedAt, sequence: t.announced.Sequence}
	}
	t.regularity = t.regularity.with(now, t.announced.Sequence, g.options.AnnouncementInterval)
	if g.hasDoubts && !t.regularity.isProven {
		g.watchDoubt(now)
	}
}

// watchDoubt refuses the waiters once the target is doubted for want of announcements. The
// caller holds mu.
func (g *Gate) watchDoubt(now time.Time) {
	if g.doubtTimer != nil {
		g.doubtTimer.Stop()
	}
	g.doubtTimer = time.AfterFunc(time.Until(now.Add(maxGap(g.options.AnnouncementInterval)+timerResolution)), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.isDoubted(time.Now()) {
			g.options.Logger.Info("target doubted: it does not announce itself regularly, and nobody knows whether it has left",
				"instance", g.target.announced.Instance, "born", g.target.announced.StartedAt, "regular_since", g.target.regularity.since)
			g.dispatchWaiters()
		}
	})
}

// BeginDoubt makes the gate doubt a target that is older than the gate, since nobody could
// tell which leaves the gate had confirmed before it restarted.
func (g *Gate) BeginDoubt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasDoubts = true
	g.watchDoubt(time.Now())
}

// EndDoubt ends the doubts: the gate has learned what others know.
func (g *Gate) EndDoubt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasDoubts = false
	g.dispatchWaiters()
}
