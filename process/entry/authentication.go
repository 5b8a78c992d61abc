package entry

import (
	"context"
	"time"

	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// newVersionWait bounds how long a request with an unknown route or key waits for a
// configuration that other nodes have already. Gossip delivers it within a second of its
// announcement.
const newVersionWait = time.Second

// authenticate sets the route and the customer of the call. An unknown route or key may have
// been added by a configuration that has not arrived yet: if another node is known to have a
// newer one, the request waits for it. If it does not arrive, the request may be a proper
// one, so that it is refused for now and not for good.
func (e *Entry) authenticate(ctx context.Context, c *call) *outcome.Problem {
	current := e.awaitConfiguration(ctx)
	problem := c.resolve(current)
	if e.mayBeResolvedLater(c, problem, current.Version) {
		e.awaitVersionAbove(ctx, current.Version, c.deadline)
		current = e.options.Configurations.Configuration()
		problem = c.resolve(current)
		if e.mayBeResolvedLater(c, problem, current.Version) {
			return outcome.Refused(outcome.CodeNotReady, "%s, but another node has a newer one", problem.Detail).WithRetryAt(time.Now().Add(defaultRetryAfter))
		}
	}
	if problem != nil && problem.Code == outcome.CodeUnauthorized {
		e.options.Logger.Info("request not authenticated", "request", c.id, "route", c.route.Name,
			"configuration", c.configurationVersion, "reason", problem.Detail)
	}
	return problem
}

// mayBeResolvedLater reports whether a newer configuration, which another node is known to
// have, may accept a request that a version rejects. A request without a key cannot become
// valid.
func (e *Entry) mayBeResolvedLater(c *call, p *outcome.Problem, version uint64) bool {
	switch {
	case p == nil || version == 0 || !e.isOutdated(version):
		return false
	case p.Code == outcome.CodeUnauthorized:
		return c.key != ""
	}
	return p.Code == outcome.CodeNoRoute
}

// isOutdated reports whether another node is known to have a newer configuration.
func (e *Entry) isOutdated(version uint64) bool {
	return e.options.KnownVersion != nil && e.options.KnownVersion() > version
}

// refuseKeyRemoved returns the refusal of a request whose key has been removed since it
// was authenticated.
func refuseKeyRemoved() *outcome.Problem {
	return outcome.Refused(outcome.CodeUnauthorized, "%v", errKeyRemoved)
}

// awaitVersionAbove waits until a configuration above the version is active and no newer
// one is known, for at most newVersionWait and until the deadline, unless that is zero.
func (e *Entry) awaitVersionAbove(ctx context.Context, version uint64, deadline time.Time) {
	until := time.Now().Add(newVersionWait)
	if !deadline.IsZero() && deadline.Before(until) {
		until = deadline
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		changed := e.options.Configurations.Changed()
		if active := e.options.Configurations.Configuration().Version; active > version && !e.isOutdated(active) {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
