package soak

import (
	"context"
	"time"
)

// watchVersions polls all nodes and records a violation when one reverts to an older
// configuration, and when one in touch does not have a version that has been complete.
// Only polls of the same process are compared; a restarted node loads its configuration
// anew.
func (f *fleet) watchVersions(ctx context.Context) {
	previous := make([]status, len(f.nodes))
	reported := make([]uint64, len(f.nodes))
	for ctx.Err() == nil {
		for i := range f.nodes {
			due := f.dueVersion(i, time.Now())
			s, err := f.fetchStatus(ctx, i)
			if err != nil {
				continue
			}
			if s.StartedMillis == previous[i].StartedMillis && s.ConfigurationVersion < previous[i].ConfigurationVersion {
				f.recordViolation("node %d reverted from configuration version %d to %d", i, previous[i].ConfigurationVersion, s.ConfigurationVersion)
			}
			if s.ConfigurationVersion < due && reported[i] < due {
				reported[i] = due
				f.recordViolation("node %d has configuration version %d, version %d is due", i, s.ConfigurationVersion, due)
			}
			previous[i] = s
		}
		time.Sleep(pollInterval)
	}
}

// dueVersion returns the newest version that the node must have at the time; zero if it is
// out of touch.
func (f *fleet) dueVersion(node int, at time.Time) (version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.history.isInTouch(node, at) {
		return 0
	}
	for i, p := range f.history.publications {
		if f.history.isComplete(p, at) {
			version = uint64(i + 1)
		}
	}
	return version
}
