package ledger

import (
	"context"
	"sync"
)

// Journal holds the newest State of a process and the records that peers may
// still ask for. It is safe for concurrent use.
type Journal struct {
	mu        sync.Mutex
	state     State
	first     int64
	records   [][]byte
	bytes     int
	decisions map[string]Decision
	order     []string
	grown     chan struct{}
	ready     bool
}

// Bounds of what a Journal keeps for its peers.
const (
	maxRetainedBytes = 8 << 20
	maxDecisions     = 4096
)

// NewJournal returns a journal that has folded nothing and knows nothing.
func NewJournal() *Journal {
	return &Journal{
		decisions: map[string]Decision{},
		grown:     make(chan struct{}),
	}
}

// State returns the newest state.
func (j *Journal) State() State {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state
}

// IsReady reports whether the state has once caught up with the log or with a
// peer. A state that is still catching up is older than what is in force.
func (j *Journal) IsReady() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ready
}

// Install replaces the state by a newer one. An older one is ignored, so that
// a late snapshot never reverts what has been accepted since.
func (j *Journal) Install(s State) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s.Next <= j.state.Next {
		return false
	}
	j.state = s
	j.first = s.Next
	j.records = nil
	j.bytes = 0
	j.wake()
	return true
}

// CaughtUp marks the journal as ready.
func (j *Journal) CaughtUp() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ready = true
}

// Fold applies the records that start at offset. Records that are folded
// already are skipped; a gap folds nothing.
func (j *Journal) Fold(offset int64, raw [][]byte) []Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	if offset > j.state.Next {
		return nil
	}
	var made []Decision
	for i, r := range raw {
		if offset+int64(i) < j.state.Next {
			continue
		}
		var d Decision
		j.state, d = j.state.With(r)
		j.retain(r)
		j.decide(d)
		made = append(made, d)
	}
	if len(made) > 0 {
		j.wake()
	}
	return made
}

// Since returns the retained records from offset on, up to maxBytes. It
// reports false when the records from offset are no longer retained, so that
// the reader needs a snapshot.
func (j *Journal) Since(offset int64, maxBytes int) ([][]byte, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if offset < j.first {
		return nil, false
	}
	var list [][]byte
	for i := offset - j.first; i < int64(len(j.records)); i++ {
		maxBytes -= len(j.records[i])
		if maxBytes < 0 && len(list) > 0 {
			break
		}
		list = append(list, j.records[i])
	}
	return list, true
}

// Wait returns once the state has passed offset or ctx is done.
func (j *Journal) Wait(ctx context.Context, offset int64) {
	for {
		j.mu.Lock()
		next, grown := j.state.Next, j.grown
		j.mu.Unlock()
		if next > offset {
			return
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return
		}
	}
}

// Decision returns what became of the record with the given id. It remembers
// the newest few thousand.
func (j *Journal) Decision(id string) (Decision, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d, ok := j.decisions[id]
	return d, ok
}

func (j *Journal) wake() {
	close(j.grown)
	j.grown = make(chan struct{})
}

func (j *Journal) retain(raw []byte) {
	j.records = append(j.records, raw)
	j.bytes += len(raw)
	for j.bytes > maxRetainedBytes && len(j.records) > 1 {
		j.bytes -= len(j.records[0])
		j.records = j.records[1:]
		j.first++
	}
}

// decide keeps the first decision on an id: a second record with the same id
// is a repeated append of the first.
func (j *Journal) decide(d Decision) {
	if _, known := j.decisions[d.ID]; known || d.ID == "" {
		return
	}
	j.decisions[d.ID] = d
	j.order = append(j.order, d.ID)
	if len(j.order) > maxDecisions {
		delete(j.decisions, j.order[0])
		j.order = j.order[1:]
	}
}
