package ledger

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/cuminwheel/cuminwheel/version/table"
)

// State is the immutable result of folding the log up to Next.
type State struct {
	// Next is the offset of the first record that is not folded yet.
	Next int64
	// Version is the offset of the newest accepted change, plus one; 0 means
	// that no change has been accepted.
	Version       int64
	Configuration configuration.Configuration
	seats         table.Table[Seat]
}

// MaxSeatMembers bounds the members of a claim seat.
const MaxSeatMembers = 5

// Decision says what the fold made of a record.
type Decision struct {
	ID       string `json:"id"`
	Offset   int64  `json:"offset"`
	Accepted bool   `json:"accepted"`
	// Code is empty for accepted records.
	Code   DecisionCode `json:"code,omitempty"`
	Reason string       `json:"reason,omitempty"`
	// Winner is the author of the record that this one conflicts with.
	Winner string `json:"winner,omitempty"`
	// WinnerVersion is the version that the winner made.
	WinnerVersion int64 `json:"winner_version,omitempty"`
}

// DecisionCode names why a record was rejected.
type DecisionCode string

// The reasons for rejecting a record.
const (
	DecisionMalformed DecisionCode = "malformed"
	DecisionInvalid   DecisionCode = "invalid"
	DecisionConflict  DecisionCode = "conflict"
	DecisionStaleSeat DecisionCode = "stale_seat"
)

// Seat returns a claim seat of a service.
func (s State) Seat(service string, index int) (Seat, bool) {
	return s.seats.Get(seatKey(service, index))
}

// Seats returns all seats in the order of their keys.
func (s State) Seats() []Seat {
	list := make([]Seat, 0, s.seats.Len())
	for _, seat := range s.seats.All() {
		list = append(list, seat)
	}
	return list
}

// With returns the state after the record that stands at offset s.Next.
func (s State) With(raw []byte) (State, Decision) {
	offset := s.Next
	s.Next++
	r, err := Decode(raw)
	if err != nil {
		return s, Decision{Offset: offset, Code: DecisionMalformed, Reason: err.Error()}
	}
	d := Decision{ID: r.ID, Offset: offset}
	switch {
	case r.Kind == KindChange && r.Change != nil:
		return s.withChange(r, d)
	case r.Kind == KindSeat && r.Seat != nil:
		return s.withSeat(r, d)
	case r.Kind == KindSnapshot && r.Snapshot != nil:
		d.Accepted = true
		return s, d
	}
	d.Code = DecisionMalformed
	d.Reason = fmt.Sprintf("a record of kind %q lacks its content or is not known", r.Kind)
	return s, d
}

// withChange accepts a change only if nothing that it touches is newer than
// its base: of two operators who started from the same version, the first in
// the log wins at every reader.
func (s State) withChange(r Record, d Decision) (State, Decision) {
	if err := r.Change.Check(); err != nil {
		return s, d.rejected(DecisionInvalid, err.Error())
	}
	newest := s.Configuration.NewestTouch(*r.Change)
	if newest.Version > r.Base {
		d.Winner = newest.Author
		d.WinnerVersion = newest.Version
		reason := fmt.Sprintf("%s is at version %d, newer than base %d", newest.Path, newest.Version, r.Base)
		return s, d.rejected(DecisionConflict, reason)
	}
	if prefix, owner := s.Configuration.ForeignRoute(*r.Change); owner != "" {
		return s, d.rejected(DecisionInvalid, fmt.Sprintf("path_prefix %s belongs to service %s", prefix, owner))
	}
	if name, seats := s.Configuration.ReseatedService(*r.Change); name != "" {
		return s, d.rejected(DecisionInvalid, fmt.Sprintf("claim_seats of service %s must stay %d", name, seats))
	}
	s.Version = d.Offset + 1
	s.Configuration = s.Configuration.With(*r.Change, s.Version, r.Author)
	d.Accepted = true
	return s, d
}

// withSeat accepts the next epoch of a seat only from a member of the present
// one, which has closed that epoch before it appended the record.
func (s State) withSeat(r Record, d Decision) (State, Decision) {
	next := *r.Seat
	service, ok := s.Configuration.Service(next.Service)
	if !ok || next.Index < 0 || next.Index >= service.ClaimSeats {
		return s, d.rejected(DecisionInvalid, fmt.Sprintf("service %s has no seat %d", next.Service, next.Index))
	}
	if !isMemberList(next.Members) {
		return s, d.rejected(DecisionInvalid, fmt.Sprintf("a seat has 1 to %d different members", MaxSeatMembers))
	}
	now, taken := s.seats.Get(next.Key())
	if next.Epoch != now.Epoch+1 {
		return s, d.rejected(DecisionStaleSeat, fmt.Sprintf("epoch %d does not follow epoch %d", next.Epoch, now.Epoch))
	}
	if taken && !slices.Contains(now.Members, r.Author) {
		return s, d.rejected(DecisionStaleSeat, "only a member may change the members")
	}
	s.seats = s.seats.With(next.Key(), next)
	d.Accepted = true
	return s, d
}

func isMemberList(members []string) bool {
	if len(members) < 1 || len(members) > MaxSeatMembers {
		return false
	}
	for i, m := range members {
		if m == "" || slices.Contains(members[:i], m) {
			return false
		}
	}
	return true
}

func (d Decision) rejected(code DecisionCode, reason string) Decision {
	d.Code = code
	d.Reason = reason
	return d
}

func seatKey(service string, index int) string {
	return service + "/" + strconv.Itoa(index)
}
