package claim

import (
	"container/heap"
	"sync"
	"time"
)

// Answer is a kept response.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Step is what a holder does next with a key.
type Step int

// The steps.
const (
	// StepRun begins the key; the caller of Begin must end the Run.
	StepRun Step = iota
	// StepJoin waits for the run that is in progress.
	StepJoin
	// StepKept returns the kept answer.
	StepKept
	// StepUnknown means that the key began and its outcome is not known.
	StepUnknown
	// StepReused means that the key stands for another request.
	StepReused
	// StepFull means that the memory can take no further key for now.
	StepFull
)

// Memory remembers the keys that a holder has begun. It is safe for
// concurrent use and forgets a key once Admits refuses it for its age.
type Memory struct {
	mu       sync.Mutex
	keys     map[string]*Run
	expiries expiryHeap
	maxKeys  int
	bytes    int
	maxBytes int
}

// Run is the record of one key.
type Run struct {
	memory      *Memory
	key         Key
	fingerprint uint64
	done        chan struct{}
	ended       bool
	notRun      bool
	answer      *Answer
	forgetAt    time.Time
}

// forgetMargin keeps a key beyond its Window, against a clock that steps back.
const forgetMargin = time.Minute

// NewMemory returns a memory for at most maxKeys keys and maxBytes of answers.
func NewMemory(maxKeys, maxBytes int) *Memory {
	return &Memory{keys: map[string]*Run{}, maxKeys: maxKeys, maxBytes: maxBytes}
}

// Begin looks the key up and, if it is new, records it before it returns
// StepRun. fingerprint tells two requests under one key apart.
func (m *Memory) Begin(k Key, fingerprint uint64, now time.Time) (*Run, Step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(now)
	if r, known := m.keys[k.text]; known {
		return r, r.step(fingerprint)
	}
	return m.begin(k, fingerprint)
}

// Recall looks up a key that must not begin here. It returns StepUnknown for a
// key that is not remembered.
func (m *Memory) Recall(k Key, fingerprint uint64) (*Run, Step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, known := m.keys[k.text]; known {
		return r, r.step(fingerprint)
	}
	return nil, StepUnknown
}

// step says what to do with a remembered key.
func (r *Run) step(fingerprint uint64) Step {
	switch {
	case r.fingerprint != fingerprint:
		return StepReused
	case !r.ended:
		return StepJoin
	case r.answer != nil:
		return StepKept
	}
	return StepUnknown
}

func (m *Memory) begin(k Key, fingerprint uint64) (*Run, Step) {
	if len(m.keys) >= m.maxKeys {
		return nil, StepFull
	}
	r := &Run{
		memory:      m,
		key:         k,
		fingerprint: fingerprint,
		done:        make(chan struct{}),
		forgetAt:    k.issued.Add(Window + forgetMargin),
	}
	m.keys[k.text] = r
	heap.Push(&m.expiries, r)
	return r, StepRun
}

// Answered ends the run with an answer. An answer over the memory's bound is
// not kept, and a repeat then gets "outcome unknown".
func (r *Run) Answered(a Answer) {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.ended {
		return
	}
	if m.bytes+len(a.Body) <= m.maxBytes {
		m.bytes += len(a.Body)
		r.answer = &a
	}
	r.end()
}

// Unknown ends the run without a known outcome. The key never runs again.
func (r *Run) Unknown() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if !r.ended {
		r.end()
	}
}

// NotRun ends a run that certainly began at no target, so that the caller may
// repeat the key.
func (r *Run) NotRun() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if r.ended {
		return
	}
	delete(r.memory.keys, r.key.text)
	r.notRun = true
	r.end()
}

// WasNotRun reports, after Done, whether the run certainly began at no target.
func (r *Run) WasNotRun() bool {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	return r.notRun
}

// Done is closed when the run ends.
func (r *Run) Done() <-chan struct{} { return r.done }

// Answer returns the kept answer after Done, if there is one.
func (r *Run) Answer() (Answer, bool) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if r.answer == nil {
		return Answer{}, false
	}
	return *r.answer, true
}

// Len returns the number of remembered keys.
func (m *Memory) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.keys)
}

func (r *Run) end() {
	r.ended = true
	close(r.done)
}

// forget drops keys past their time; a run in progress is kept.
func (m *Memory) forget(now time.Time) {
	for len(m.expiries) > 0 && !now.Before(m.expiries[0].forgetAt) {
		r := m.expiries[0]
		if !r.ended {
			r.forgetAt = now.Add(Window)
			heap.Fix(&m.expiries, 0)
			continue
		}
		heap.Pop(&m.expiries)
		if m.keys[r.key.text] != r {
			continue
		}
		delete(m.keys, r.key.text)
		if r.answer != nil {
			m.bytes -= len(r.answer.Body)
		}
	}
}

type expiryHeap []*Run

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].forgetAt.Before(h[j].forgetAt) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(*Run)) }
func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}
