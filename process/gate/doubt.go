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

// regularity is how an incarnation of the target has announced itself. Gate.mu guards it.
type regularity struct {
	// at and sequence are those of the last regular announcement.
	at       time.Time
	sequence int64
	// since is from when on the announcements have been regular; the start of the gate if
	// they have been ever since. steadySince is the same for announcements at any pace.
	since, steadySince time.Time
	isProven           bool
}

// newRegularity returns the regularity after the first announcement, at a gate that started
// at startedAt.
func newRegularity(startedAt, now time.Time, sequence int64, maxGap time.Duration) regularity {
	r := regularity{at: now, sequence: sequence, since: startedAt, steadySince: now}
	if now.Sub(startedAt) > maxGap {
		r.since = now
	}
	return r
}

// with returns the regularity after another announcement; lastAt is the time of the one
// before it. Announcements that come faster than a target sends them have been held up on
// their way, and are not regular.
func (r regularity) with(now, lastAt time.Time, sequence int64, interval time.Duration) regularity {
	maxGap := time.Duration(gapFactor * float64(interval))
	if now.Sub(lastAt) > maxGap {
		r.steadySince = now
	}
	r.isProven = r.isProven || now.Sub(r.steadySince) >= proofTime
	if now.Sub(r.at) < time.Duration(paceFactor*float64(interval)*float64(sequence-r.sequence)) {
		return r
	}
	if now.Sub(r.at) > maxGap {
		r.since = now
	}
	r.at, r.sequence = now, sequence
	return r
}

// maxGap returns the longest time between two regular announcements.
func (g *Gate) maxGap() time.Duration {
	return time.Duration(gapFactor * float64(g.options.AnnouncementInterval))
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
	if now.Sub(t.regularity.at) > g.maxGap() {
		return true
	}
	return t.regularity.since.After(g.startedAt) && now.Sub(t.regularity.since) < resumeTime
}

// recordRegularity notes an announcement of the target. lastAt is the time of the one
// before it; zero if the incarnation is new. The caller holds mu.
func (g *Gate) recordRegularity(now, lastAt time.Time) {
	t := &g.target
	if lastAt.IsZero() {
		t.regularity = newRegularity(g.startedAt, now, t.announced.Sequence, g.maxGap())
	} else {
		t.regularity = t.regularity.with(now, lastAt, t.announced.Sequence, g.options.AnnouncementInterval)
	}
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
	g.doubtTimer = time.AfterFunc(time.Until(now.Add(g.maxGap()+timerResolution)), func() {
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
