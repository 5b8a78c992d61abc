package distribution

// Position is a place in the log in which the store keeps the published configurations.
type Position struct {
	// Era is the era of the log; an offset has no meaning in another one. Zero stands for
	// any.
	Era    uint64
	Offset int64
}

// IsAfter reports whether p is after q.
func (p Position) IsAfter(q Position) bool {
	if p.Era != q.Era {
		return p.Era > q.Era
	}
	return p.Offset > q.Offset
}

// Reading is a position up to which some node has read the store, and the version that was
// the newest there. A node that has this version or a later one need not read what comes
// before.
type Reading struct {
	Version uint64
	Next    Position
}
