package gate

import (
	"context"
	"time"

	"github.com/cuminwheel/cuminwheel/process/judgement"
	"github.com/cuminwheel/cuminwheel/process/roster"
)

// Announcement is what a target says of itself to the node beside it.
type Announcement struct {
	Service string `json:"service"`
	// Address is the target's own, host:port.
	Address string `json:"address"`
	// Slots is how many requests the target takes at once.
	Slots int `json:"slots"`
	// Draining asks for no new work while requests in progress end.
	Draining bool `json:"draining,omitempty"`
	// LeaseMillis is how long the announcement holds unless renewed.
	LeaseMillis int `json:"lease_ms,omitempty"`
}

// target is an announced target. The pool's mutex guards it.
type target struct {
	announced  Announcement
	leaseUntil time.Time
	busy       int
	flights    map[*Slot]time.Time
	judge      *judgement.Judge
	standing   judgement.Standing
	bidding    bool
	// attendAt is when the target may be attended to again.
	attendAt time.Time
}

// Lengths of a target's lease.
const (
	defaultLease = 3 * time.Second
	maxLease     = 10 * time.Second
)

func newTarget(a Announcement, d judgement.Dial) *target {
	return &target{announced: a, judge: judgement.New(d), flights: map[*Slot]time.Time{}}
}

func (t *target) renew(a Announcement, now time.Time) {
	lease := defaultLease
	if a.LeaseMillis > 0 {
		lease = min(maxLease, time.Duration(a.LeaseMillis)*time.Millisecond)
	}
	t.announced = a
	t.leaseUntil = now.Add(lease)
}

// isServing reports whether the target takes new work at all.
func (t *target) isServing(now time.Time) bool {
	return !t.announced.Draining && now.Before(t.leaseUntil) && t.standing.Phase(now) != judgement.PhaseEjected
}

// isFree reports whether the target can begin a request now. A target on
// trial takes one idempotent request at a time.
func (t *target) isFree(now time.Time, idempotent bool) bool {
	if !t.isServing(now) {
		return false
	}
	if t.standing.Phase(now) == judgement.PhaseTrial {
		return idempotent && t.busy == 0
	}
	return t.busy < t.announced.Slots
}

// isHealthy reports whether the target counts as healthy capacity.
func (t *target) isHealthy(now time.Time) bool {
	return t.isServing(now) && t.standing.Phase(now) == judgement.PhaseServing && !t.judge.IsSuspected()
}

func (t *target) state(now time.Time) roster.TargetState {
	switch {
	case t.announced.Draining || !now.Before(t.leaseUntil):
		return roster.TargetDraining
	case t.standing.Phase(now) == judgement.PhaseEjected:
		return roster.TargetEjected
	}
	return roster.TargetServing
}

// youngestAge returns the age of the request that began last.
func (t *target) youngestAge(now time.Time) time.Duration {
	youngest := time.Duration(-1)
	for _, began := range t.flights {
		if age := now.Sub(began); youngest < 0 || age < youngest {
			youngest = age
		}
	}
	return max(0, youngest)
}

// Slot is the right to run one request at a target. End must be called once.
type Slot struct {
	pool   *Pool
	target *target
	work   judgement.Work
	began  time.Time
	cancel context.CancelCauseFunc
	idem   bool
}

// Address returns the target's address.
func (s *Slot) Address() string { return s.target.announced.Address }
