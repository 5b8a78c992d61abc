package choice

import (
	"math/rand/v2"
	"time"
)

// Set is the immutable list of a service's candidates.
type Set struct {
	tiers [tierCount][]*Candidate
}

// Pick is a chosen candidate and why it was chosen.
type Pick struct {
	Candidate *Candidate
	Reason    Reason
	// Weighed is the number of candidates in the tier.
	Weighed int
}

// Reason tells how a candidate was chosen.
type Reason string

// The reasons.
const (
	ReasonBetterOfTwo Reason = "better_of_two"
	ReasonOnlyOne     Reason = "only_one_usable"
	ReasonAllAvoided  Reason = "all_are_avoided"
)

// Tried lists the candidates that a request has been sent to already.
type Tried []*Candidate

// with returns the set with one more candidate.
func (s *Set) with(c *Candidate) *Set {
	next := *s
	old := s.tiers[c.Tier]
	next.tiers[c.Tier] = append(old[:len(old):len(old)], c)
	return &next
}

// without returns the set without a candidate.
func (s *Set) without(gone *Candidate) *Set {
	next := *s
	var kept []*Candidate
	for _, c := range s.tiers[gone.Tier] {
		if c != gone {
			kept = append(kept, c)
		}
	}
	next.tiers[gone.Tier] = kept
	return &next
}

// Len returns the number of candidates.
func (s *Set) Len() int {
	n := 0
	for _, t := range s.tiers {
		n += len(t)
	}
	return n
}

// Choose picks a candidate that has not been tried. remote says whether paid
// links may be used. Avoided candidates are chosen only when no other is left,
// so that a service is never starved by avoidance.
func (s *Set) Choose(now time.Time, random *rand.Rand, tried Tried, remote bool) (Pick, bool) {
	last := TierRegion
	if remote {
		last = TierRemote
	}
	for t := TierNode; t <= last; t++ {
		if p, ok := s.chooseIn(t, now, random, tried); ok {
			return p, true
		}
	}
	return s.chooseAvoided(last, tried)
}

func (s *Set) chooseIn(t Tier, now time.Time, random *rand.Rand, tried Tried) (Pick, bool) {
	list := s.tiers[t]
	if len(list) == 0 {
		return Pick{}, false
	}
	i := random.IntN(len(list))
	k := random.IntN(len(list))
	a, b := list[i], list[k]
	usableA := isUsable(a, now, tried)
	usableB := i != k && isUsable(b, now, tried)
	switch {
	case usableA && usableB:
		if b.cost() < a.cost() {
			a = b
		}
		return Pick{Candidate: a, Reason: ReasonBetterOfTwo, Weighed: len(list)}, true
	case usableB:
		a = b
	case !usableA:
		a = firstUsable(list, i, now, tried)
	}
	if a == nil {
		return Pick{}, false
	}
	return Pick{Candidate: a, Reason: ReasonOnlyOne, Weighed: len(list)}, true
}

// chooseAvoided picks the candidate whose avoidance ends first.
func (s *Set) chooseAvoided(last Tier, tried Tried) (Pick, bool) {
	var best *Candidate
	weighed := 0
	for t := TierNode; t <= last; t++ {
		for _, c := range s.tiers[t] {
			weighed++
			if tried.has(c) {
				continue
			}
			if best == nil || c.avoidUntil.Load() < best.avoidUntil.Load() {
				best = c
			}
		}
	}
	return Pick{Candidate: best, Reason: ReasonAllAvoided, Weighed: weighed}, best != nil
}

func firstUsable(list []*Candidate, start int, now time.Time, tried Tried) *Candidate {
	for i := range list {
		c := list[(start+i)%len(list)]
		if isUsable(c, now, tried) {
			return c
		}
	}
	return nil
}

func isUsable(c *Candidate, now time.Time, tried Tried) bool {
	return !c.IsAvoided(now) && !tried.has(c)
}

func (t Tried) has(c *Candidate) bool {
	for _, o := range t {
		if o == c {
			return true
		}
	}
	return false
}
