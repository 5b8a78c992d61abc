package ledger

import (
	"encoding/json"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/go-faster/errors"
)

// Snapshot is a State in a form that can be sent to a peer and stored in the
// log. Two readers that folded the same records take equal snapshots.
type Snapshot struct {
	Next    int64                 `json:"next"`
	Version int64                 `json:"version"`
	Entries configuration.Entries `json:"entries"`
	Seats   []Seat                `json:"seats"`
}

// SnapshotPart is the share of an encoded Snapshot that one record carries.
type SnapshotPart struct {
	// Next is the snapshot's own, which ties the parts together.
	Next  int64  `json:"next"`
	Index int    `json:"index"`
	Count int    `json:"count"`
	Data  []byte `json:"data"`
}

// maxPartBytes keeps a record of the log well below a megabyte.
const maxPartBytes = 256 << 10

// Snapshot returns the state in a form that can be sent.
func (s State) Snapshot() Snapshot {
	return Snapshot{
		Next:    s.Next,
		Version: s.Version,
		Entries: s.Configuration.Entries(),
		Seats:   s.Seats(),
	}
}

// State returns the state that the snapshot was taken from.
func (p Snapshot) State() State {
	s := State{
		Next:          p.Next,
		Version:       p.Version,
		Configuration: configuration.FromEntries(p.Entries),
	}
	for _, seat := range p.Seats {
		s.seats = s.seats.With(seat.Key(), seat)
	}
	return s
}

// Parts splits the snapshot for the log.
func (p Snapshot) Parts() ([]SnapshotPart, error) {
	raw, err := json.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	count := (len(raw) + maxPartBytes - 1) / maxPartBytes
	parts := make([]SnapshotPart, 0, count)
	for i := range count {
		end := min(len(raw), (i+1)*maxPartBytes)
		data := raw[i*maxPartBytes : end]
		parts = append(parts, SnapshotPart{Next: p.Next, Index: i, Count: count, Data: data})
	}
	return parts, nil
}

// Assembler joins snapshot parts read from the log, in any order and with
// parts of several snapshots mixed.
type Assembler struct {
	parts map[int64]map[int][]byte
}

// maxParts bounds what a faulty record can make the assembler hold.
const maxParts = 4096

// Add takes one part and returns the snapshot once all its parts are there.
func (a *Assembler) Add(p SnapshotPart) (Snapshot, bool) {
	if p.Count < 1 || p.Count > maxParts || p.Index < 0 || p.Index >= p.Count {
		return Snapshot{}, false
	}
	if a.parts == nil {
		a.parts = map[int64]map[int][]byte{}
	}
	if a.parts[p.Next] == nil {
		a.parts[p.Next] = map[int][]byte{}
	}
	a.parts[p.Next][p.Index] = p.Data
	if len(a.parts[p.Next]) < p.Count {
		return Snapshot{}, false
	}
	var raw []byte
	for i := range p.Count {
		raw = append(raw, a.parts[p.Next][i]...)
	}
	delete(a.parts, p.Next)
	var s Snapshot
	if err := json.Unmarshal(raw, &s); err != nil || s.Next != p.Next {
		return Snapshot{}, false
	}
	return s, true
}
