package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cuminwheel/cuminwheel/request/field"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/hashicorp/go-hclog"
)

const (
	// Threshold is the number of crashed incarnations from which a request is refused.
	Threshold = 3
	// Retention is how long a record is kept after its last crash.
	Retention = time.Hour
	// maxRecords bounds the records of a table, about 100 bytes each.
	maxRecords = 1024
	// maxCrashes bounds the incarnations that a record names.
	maxCrashes = 2 * Threshold
	// maxExchanged bounds the records that two nodes exchange at a time.
	maxExchanged = 64
	// maxQueued bounds the updates that wait to be spread.
	maxQueued = 64
)

// Record is the evidence against a request. Its names on the wire are short, since
// traffic between regions is billed.
type Record struct {
	Request fingerprint.Fingerprint `codec:"q"`
	// Crashes identify the incarnations that crashed while they ran the request, in
	// ascending order.
	Crashes []uint64 `codec:"c"`
	// Cleared means that a target has completed the request since its first crash.
	Cleared bool `codec:"k,omitempty"`
	// HasHistory means that a target had completed the request before its first crash.
	HasHistory bool `codec:"h,omitempty"`
	// AgeMillis is the time since the first crash.
	AgeMillis int64 `codec:"a,omitempty"`
	// RemainingMillis is how much longer the record is kept.
	RemainingMillis int64 `codec:"t"`
}

// entry is a record with its deadline.
type entry struct {
	crashes    []uint64
	cleared    bool
	hasHistory bool
	// firstCrashAt is when the first known crash happened.
	firstCrashAt time.Time
	expiresAt    time.Time
	// inTrial means that the gate of this node has a trial of the request in progress.
	inTrial bool
}

func (e *entry) isQuarantined() bool { return !e.cleared && len(e.crashes) >= Threshold }

// Table holds the evidence that a node knows. It is safe for concurrent use.
type Table struct {
	logger  hclog.Logger
	updates chan []Record

	mu        sync.Mutex
	entries   map[fingerprint.Fingerprint]*entry
	successes successes
	// nextExpiry is no later than the first deadline of the entries.
	nextExpiry time.Time
}

// NewTable returns an empty table.
func NewTable(logger hclog.Logger) *Table {
	return &Table{logger: logger, updates: make(chan []Record, maxQueued), entries: map[fingerprint.Fingerprint]*entry{}}
}

// Updates delivers the records that are new to the table and should be spread. If nobody
// receives them, some are dropped.
func (t *Table) Updates() <-chan []Record { return t.updates }

// RecordCrash records that an incarnation of a target crashed while it ran the requests.
func (t *Table) RecordCrash(incarnation uint64, requests []fingerprint.Fingerprint, now time.Time) {
	records := make([]Record, len(requests))
	for i, r := range requests {
		records[i] = Record{Request: r, Crashes: []uint64{incarnation}, RemainingMillis: Retention.Milliseconds()}
	}
	t.Merge(records, now)
}

// RecordSuccess clears a request that a target has completed, and remembers the success
// for crashes that the node has not heard of yet.
func (t *Table) RecordSuccess(r fingerprint.Fingerprint, now time.Time) {
	t.mu.Lock()
	t.successes.record(r, now)
	e, ok := t.entries[r]
	ok = ok && !e.cleared
	t.mu.Unlock()
	if ok {
		t.Merge([]Record{{Request: r, Cleared: true}}, now)
	}
}

// QuarantinedUntil returns until when a request is refused, or zero if it is not. Until
// then only trials run.
func (t *Table) QuarantinedUntil(r fingerprint.Fingerprint, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.quarantinedUntil(r, now)
}

// Peek returns the same as QuarantinedUntil and changes nothing.
func (t *Table) Peek(r fingerprint.Fingerprint, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantinedUntil(r, now)
}

// quarantinedUntil implements QuarantinedUntil. The caller holds mu.
func (t *Table) quarantinedUntil(r fingerprint.Fingerprint, now time.Time) time.Time {
	e, ok := t.entries[r]
	if !ok || !now.Before(e.expiresAt) || !e.isQuarantined() {
		return time.Time{}
	}
	trialAt, ok := e.nextTrialAt()
	switch {
	case !ok:
		return e.expiresAt
	case now.Before(trialAt):
		return trialAt
	}
	return now.Add(trialRetryDelay)
}

// Merge adds the evidence of the records to the table and queues those that told it
// something new to be spread.
func (t *Table) Merge(records []Record, now time.Time) {
	t.mu.Lock()
	t.expire(now)
	var news []Record
	for _, r := range records {
		if t.merge(r, now) {
			news = append(news, t.record(r.Request, now))
		}
	}
	t.mu.Unlock()
	if len(news) == 0 {
		return
	}
	select {
	case t.updates <- news:
	default: // comparisons between nodes spread them
	}
}

// merge adds one record and reports whether it told something new. The caller holds mu.
func (t *Table) merge(r Record, now time.Time) bool {
	e, ok := t.entries[r.Request]
	switch {
	case !ok && (len(r.Crashes) == 0 || r.RemainingMillis <= 0):
		return false
	case !ok:
		if len(t.entries) >= maxRecords && !t.evict(len(r.Crashes)) {
			return false
		}
		e = &entry{}
		t.entries[r.Request] = e
	}
	wasQuarantined, isNew := e.isQuarantined(), false
	if crashes := unite(e.crashes, r.Crashes); !slices.Equal(crashes, e.crashes) {
		e.crashes, isNew = crashes, true
	}
	if isNew {
		age := min(Retention, field.Millis(r.AgeMillis))
		if at := now.Add(-age); e.firstCrashAt.IsZero() || at.Before(e.firstCrashAt) {
			e.firstCrashAt = at
		}
		remaining := min(Retention, field.Millis(r.RemainingMillis))
		if expiresAt := now.Add(remaining); expiresAt.After(e.expiresAt) {
			e.expiresAt = expiresAt
		}
		if t.nextExpiry.IsZero() || e.expiresAt.Before(t.nextExpiry) {
			t.nextExpiry = e.expiresAt
		}
	}
	succeededAt, hasSucceeded := t.successes.last(r.Request)
	if (r.Cleared || hasSucceeded && succeededAt.After(e.firstCrashAt)) && !e.cleared {
		e.cleared, isNew = true, true
	}
	if (r.HasHistory || hasSucceeded) && !e.hasHistory {
		e.hasHistory, isNew = true, true
	}
	if isQuarantined := e.isQuarantined(); isQuarantined != wasQuarantined {
		t.logger.Warn("quarantine of a request changed", "fingerprint", r.Request, "quarantined", isQuarantined,
			"crashes", len(e.crashes), "cleared", e.cleared, "has_history", e.hasHistory)
	}
	return isNew
}

// unite returns the lowest maxCrashes of both lists, so that tables which have heard of
// the same crashes in another order are equal.
func unite(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxCrashes)]
}

// evict removes the record with the fewest crashes and the earliest deadline. It returns
// false if all have more than the given number of crashes. The caller holds mu.
func (t *Table) evict(crashes int) bool {
	var worst fingerprint.Fingerprint
	var least *entry
	for r, e := range t.entries {
		if least == nil || compareEvidence(e, least) < 0 {
			worst, least = r, e
		}
	}
	if least.isQuarantined() && len(least.crashes) > crashes {
		return false
	}
	delete(t.entries, worst)
	return true
}

// compareEvidence orders entries by how little is lost with them.
func compareEvidence(a, b *entry) int {
	weight := func(e *entry) int {
		if e.cleared {
			return 0
		}
		return len(e.crashes)
	}
	return cmp.Or(cmp.Compare(weight(a), weight(b)), a.expiresAt.Compare(b.expiresAt))
}

// expire removes the entries whose deadline has passed. The caller holds mu.
func (t *Table) expire(now time.Time) {
	if len(t.entries) == 0 || now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = time.Time{}
	for r, e := range t.entries {
		switch {
		case !now.Before(e.expiresAt):
			delete(t.entries, r)
		case t.nextExpiry.IsZero() || e.expiresAt.Before(t.nextExpiry):
			t.nextExpiry = e.expiresAt
		}
	}
}

// record returns the record of a request. The caller holds mu.
func (t *Table) record(r fingerprint.Fingerprint, now time.Time) Record {
	e := t.entries[r]
	return Record{
		Request: r, Crashes: slices.Clone(e.crashes), Cleared: e.cleared, HasHistory: e.hasHistory,
		AgeMillis: now.Sub(e.firstCrashAt).Milliseconds(), RemainingMillis: e.expiresAt.Sub(now).Milliseconds(),
	}
}

// Records returns the records for another node, those with the most crashes first,
// maxExchanged at most.
func (t *Table) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	requests := slices.Collect(maps.Keys(t.entries))
	if len(requests) > maxExchanged {
		slices.SortFunc(requests, func(a, b fingerprint.Fingerprint) int { return compareEvidence(t.entries[b], t.entries[a]) })
		requests = requests[:maxExchanged]
	}
	records := make([]Record, len(requests))
	for i, r := range requests {
		records[i] = t.record(r, now)
	}
	return records
}

// Digest returns a hash that is equal for tables with equal evidence, and 0 for an empty
// one.
func (t *Table) Digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var digest uint64
	for r, e := range t.entries {
		digest ^= digestOf(r, e)
	}
	return digest
}

// digestOf hashes what Merge compares.
func digestOf(r fingerprint.Fingerprint, e *entry) uint64 {
	b := make([]byte, 0, 8*(maxCrashes+1)+1)
	b = binary.LittleEndian.AppendUint64(b, uint64(r))
	for _, c := range e.crashes {
		b = binary.LittleEndian.AppendUint64(b, c)
	}
	if e.cleared {
		b = append(b, 1)
	}
	if e.hasHistory {
		b = append(b, 2)
	}
	return xxhash.Sum64(b)
}
