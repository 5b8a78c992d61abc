package entry

import (
	"context"
	"time"

	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// newKeyWait bounds how long a request with an unknown key waits for a configuration that
// other nodes have already. Gossip delivers it within a second of its announcement.
const newKeyWait = time.Second

// authenticate sets the route and the customer of the call. An unknown key may have been
// added by a configuration that has not arrived yet: if another node is known to have a
// newer one, the request waits for it.
func (e *Entry) authenticate(ctx context.Context, c *call) *outcome.Problem {
	current := e.awaitConfiguration(ctx)
	problem := c.resolve(current)
	if problem == nil || problem.Code != outcome.CodeUnauthorized {
		return problem
	}
	if c.key != "" && e.isOutdated(current.Version) {
		e.awaitVersionAbove(ctx, current.Version, c.deadline)
		problem = c.resolve(e.options.Configurations.Configuration())
	}
	if problem != nil && problem.Code == outcome.CodeUnauthorized {
		e.options.Logger.Info("request not authenticated", "request", c.id, "route", c.route.Name,
			"configuration", c.configurationVersion, "reason", problem.Detail)
	}
	return problem
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
// one is known, for at most newKeyWait and until the deadline, unless that is zero.
func (e *Entry) awaitVersionAbove(ctx context.Context, version uint64, deadline time.Time) {
	until := time.Now().Add(newKeyWait)
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
