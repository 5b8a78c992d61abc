package lease

import (
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/version/ledger"
)

// Holder keeps the leases that one process has won. It is safe for concurrent
// use.
type Holder struct {
	mu      sync.Mutex
	tenures map[string]Tenure
}

// Tenure is an unbroken row of leases on a seat.
type Tenure struct {
	Epoch int64
	// Since is when the tenure began, by this node's clock.
	Since time.Time
	until time.Time
	// end is when the tenure certainly was live last.
	end time.Time
}

// NewHolder returns a holder without leases.
func NewHolder() *Holder { return &Holder{tenures: map[string]Tenure{}} }

// Majority returns how many grants a seat needs.
func Majority(s ledger.Seat) int { return len(s.Members)/2 + 1 }

// Won records the grants that were asked for at the given time, if they are a
// majority, and reports whether they are. runs are those of the members that
// granted.
//
// The tenure goes on if a majority has granted the seat to nobody else since
// the last lease ended: any other holder would have needed one of those
// members. Otherwise a new tenure begins now.
func (h *Holder) Won(s ledger.Seat, runs []time.Duration, asked, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.tenures[s.Key()]
	if len(runs) < Majority(s) || t.Epoch > s.Epoch {
		return false
	}
	unbroken := 0
	for _, r := range runs {
		if !t.end.IsZero() && reachesBack(r, now.Sub(t.end)) {
			unbroken++
		}
	}
	if unbroken < Majority(s) {
		t.Since = now
	}
	t.Epoch = s.Epoch
	t.until = asked.Add(holderTerm)
	t.end = t.until
	h.tenures[s.Key()] = t
	return true
}

// reachesBack reports whether a run by a member's clock certainly began before
// the given age by this clock; the rates may differ by up to a fifth.
func reachesBack(run, age time.Duration) bool { return 4*run > 5*age }

// Tenure returns the live tenure of the seat's epoch, if there is one.
func (h *Holder) Tenure(s ledger.Seat, now time.Time) (Tenure, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.tenures[s.Key()]
	return t, t.Epoch == s.Epoch && s.Epoch > 0 && now.Before(t.until)
}

// Stop ends the lease of the seat, before the holder hands it on or closes its
// epoch.
func (h *Holder) Stop(s ledger.Seat, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.tenures[s.Key()]
	if !ok {
		return
	}
	if now.Before(t.end) {
		t.end = now
	}
	t.until = time.Time{}
	h.tenures[s.Key()] = t
}
