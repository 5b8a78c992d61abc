package distribution

import (
	"cmp"
	"slices"
	"time"
)

const (
	// readDelay is how long a node that reads the store itself waits for it before it asks
	// another node for a version.
	readDelay = 300 * time.Millisecond
	// remoteDelay is how long a node waits for a near holder before it asks one of another
	// region.
	remoteDelay = 300 * time.Millisecond
	// avoidance is how long a holder is not asked after a failure.
	avoidance = 2 * time.Second
	// maxHolders bounds the holders that are remembered.
	maxHolders = 8
)

// Holder is a node that is said to have a version.
type Holder struct {
	Address string
	Version uint64
	// IsNear means that it is of the own region.
	IsNear bool
	// AskAt is when the holder may be asked.
	AskAt time.Time
}

// Holders knows nodes that have newer versions than the own one. It is immutable; the zero
// value knows of none.
type Holders struct {
	known []Holder
	// avoided are holders that failed, and until when they are not asked.
	avoided []avoidedHolder
}

type avoidedHolder struct {
	address string
	until   time.Time
}

// With returns Holders that know of another one. readsStore means that the node itself
// reads the store.
func (h Holders) With(address string, version uint64, isNear, readsStore bool, now time.Time) Holders {
	if slices.ContainsFunc(h.avoided, func(a avoidedHolder) bool { return a.address == address && now.Before(a.until) }) {
		return h
	}
	added := Holder{Address: address, Version: version, IsNear: isNear, AskAt: now}
	if readsStore {
		added.AskAt = added.AskAt.Add(readDelay)
	}
	if !isNear {
		added.AskAt = added.AskAt.Add(remoteDelay)
	}
	known := slices.Clone(h.known)
	i := slices.IndexFunc(known, func(k Holder) bool { return k.Address == address })
	switch {
	case i >= 0:
		added.Version = max(version, known[i].Version)
		added.AskAt = known[i].AskAt
		known[i] = added
	case len(known) < maxHolders:
		known = append(known, added)
	default:
		known[worst(known)] = added
	}
	h.known = known
	return h
}

// worst returns the index of the holder that is asked last.
func worst(known []Holder) int {
	at := 0
	for i := range known {
		if isBefore(known[at], known[i]) {
			at = i
		}
	}
	return at
}

// isBefore reports whether a is asked before b: near ones first, then newer versions.
func isBefore(a, b Holder) bool {
	if a.IsNear != b.IsNear {
		return a.IsNear
	}
	return a.Version > b.Version
}

// WithFailure returns Holders that do not ask a holder for some time.
func (h Holders) WithFailure(address string, now time.Time) Holders {
	h.known = slices.DeleteFunc(slices.Clone(h.known), func(k Holder) bool { return k.Address == address })
	h.avoided = slices.DeleteFunc(slices.Clone(h.avoided), func(a avoidedHolder) bool {
		return a.address == address || !now.Before(a.until)
	})
	h.avoided = append(h.avoided, avoidedHolder{address, now.Add(avoidance)})
	return h
}

// WithAsked returns Holders that ask a holder again only at a later time.
func (h Holders) WithAsked(address string, again time.Time) Holders {
	h.known = slices.Clone(h.known)
	for i := range h.known {
		if h.known[i].Address == address {
			h.known[i].AskAt = again
		}
	}
	return h
}

// WithOwn returns Holders without those of versions that the node has.
func (h Holders) WithOwn(version uint64) Holders {
	h.known = slices.DeleteFunc(slices.Clone(h.known), func(k Holder) bool { return k.Version <= version })
	return h
}

// Newest returns the holder of the newest version.
func (h Holders) Newest() (Holder, bool) {
	if len(h.known) == 0 {
		return Holder{}, false
	}
	return slices.MaxFunc(h.known, func(a, b Holder) int { return cmp.Compare(a.Version, b.Version) }), true
}

// Next returns the holder that is asked first, which may be later than now.
func (h Holders) Next(now time.Time) (Holder, bool) {
	if len(h.known) == 0 {
		return Holder{}, false
	}
	return slices.MinFunc(h.known, func(a, b Holder) int {
		aDue, bDue := !now.Before(a.AskAt), !now.Before(b.AskAt)
		switch {
		case aDue != bDue && aDue:
			return -1
		case aDue != bDue:
			return 1
		case !aDue:
			return a.AskAt.Compare(b.AskAt)
		case isBefore(a, b):
			return -1
		case isBefore(b, a):
			return 1
		}
		return 0
	}), true
}
