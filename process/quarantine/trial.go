package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
)

// A quarantined request gets trials, since nothing else can show that it only ran beside
// the request that crashed the targets. Trials are rationed for the whole fleet: each has
// its time after the last crash, and few gates may run it.
const (
	// maxTrials bounds the crashes after the third.
	maxTrials = 2
	// trialDelay is the time from the last crash to the first trial of a request that
	// targets had completed before. It lets the evidence reach all nodes.
	trialDelay = time.Second
	// unprovenTrialDelay replaces trialDelay for a request without a known success. Most
	// such requests are those that crash targets.
	unprovenTrialDelay = time.Minute
	// trialDelayFactor is the growth of the delay from one trial to the next.
	trialDelayFactor = 4
	// trialWindow is how long the elected gates alone have the right to a trial. It covers
	// the time in which a popular request comes to many entries.
	trialWindow = 2 * time.Second
	// trialRetryDelay is when a request that is refused beside a trial may come again.
	trialRetryDelay = 250 * time.Millisecond
	// roundBits is the size of the part of a round that counts the windows since the trial
	// became due; the other part counts the crashes.
	roundBits = 32
)

// nextTrialAt returns when the next trial may begin; ok is false if there is none.
func (e *entry) nextTrialAt() (at time.Time, ok bool) {
	trials := len(e.crashes) - Threshold
	if trials >= maxTrials {
		return time.Time{}, false
	}
	delay := unprovenTrialDelay
	if e.hasHistory {
		delay = trialDelay
	}
	for range trials {
		delay *= trialDelayFactor
	}
	return e.expiresAt.Add(delay - Retention), true
}

// TrialDue returns the round of the trial that may run now. The round is an argument of
// ElectGates.
func (t *Table) TrialDue(r fingerprint.Fingerprint, now time.Time) (round uint64, isDue bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[r]
	if !ok || !e.isQuarantined() {
		return 0, false
	}
	return e.trialDue(now)
}

func (e *entry) trialDue(now time.Time) (round uint64, isDue bool) {
	at, ok := e.nextTrialAt()
	if !ok || now.Before(at) {
		return 0, false
	}
	return uint64(len(e.crashes))<<roundBits | uint64(now.Sub(at)/trialWindow), true
}

// BeginTrial claims the trial of a quarantined request for the gate of this node. isElected
// reports whether the gate is among those of a round. end must be called when the trial has
// ended, after a success has been recorded.
func (t *Table) BeginTrial(r fingerprint.Fingerprint, now time.Time, isElected func(round uint64) bool) (end func(), ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[r]
	if !ok || !e.isQuarantined() || e.inTrial {
		return nil, false
	}
	if round, isDue := e.trialDue(now); !isDue || !isElected(round) {
		return nil, false
	}
	e.inTrial = true
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		e.inTrial = false
	}, true
}

// ElectGates returns the indexes of the gates that may run a trial of a request in a round,
// in order of preference by rendezvous hashing of their addresses. Nodes with the same view
// elect the same gates. Their number doubles with each round, so that gates which are down
// or cut off delay a trial only for some rounds, and a node that is cut off by itself
// elects its own gate in the end.
func ElectGates(gates []string, r fingerprint.Fingerprint, round uint64) []int {
	var suffix [16]byte
	binary.LittleEndian.PutUint64(suffix[:8], uint64(r))
	binary.LittleEndian.PutUint64(suffix[8:], round>>roundBits)
	sums := make([]uint64, len(gates))
	order := make([]int, len(gates))
	for i, address := range gates {
		d := xxhash.New()
		d.WriteString(address)
		d.Write(suffix[:])
		sums[i], order[i] = d.Sum64(), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(sums[b], sums[a]) })
	windows := round & (1<<roundBits - 1)
	if windows < 16 {
		order = order[:min(len(order), 1<<windows)]
	}
	return order
}
