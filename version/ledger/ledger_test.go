package ledger

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

func service(name string, floor int) configuration.Service {
	return configuration.Service{
		Name: name, FloorSlots: floor,
		Routes: []configuration.Route{{PathPrefix: "/" + name, NeverRepeat: true}},
	}
}

func change(id, author string, base int64, services ...configuration.Service) []byte {
	return encode(Record{ID: id, Kind: KindChange, Author: author, Base: base, Change: &configuration.Change{Services: services}})
}

func seat(id, author string, s Seat) []byte {
	return encode(Record{ID: id, Kind: KindSeat, Author: author, Seat: &s})
}

func encode(r Record) []byte {
	raw, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return raw
}

// fold applies records to an empty state.
func fold(records ...[]byte) (State, []Decision) {
	var s State
	var all []Decision
	for _, r := range records {
		var d Decision
		s, d = s.With(r)
		all = append(all, d)
	}
	return s, all
}

func TestFoldDecides(t *testing.T) {
	first := Seat{Service: "reparto", Epoch: 1, Members: []string{"a", "b", "c"}}
	second := Seat{Service: "reparto", Epoch: 2, Members: []string{"a", "b", "d"}}
	base := change("1", "ana", 0, service("reparto", 3))
	tests := []struct {
		name    string
		records [][]byte
		// codes holds the decision on each record.
		codes []DecisionCode
	}{
		{"first publish", [][]byte{base}, []DecisionCode{""}},
		{"same record twice counts once", [][]byte{base, base}, []DecisionCode{"", DecisionConflict}},
		{"racing operators", [][]byte{
			base, change("2", "ana", 1, service("reparto", 4)), change("3", "luz", 1, service("reparto", 5)),
		}, []DecisionCode{"", "", DecisionConflict}},
		{"operators who touch different services", [][]byte{
			base, change("2", "ana", 1, service("reparto", 4)), change("3", "luz", 1, service("nomina", 5)),
		}, []DecisionCode{"", "", ""}},
		{"a removed service is not forgotten", [][]byte{
			base,
			encode(Record{ID: "2", Kind: KindChange, Author: "ana", Base: 1, Change: &configuration.Change{RemoveServices: []string{"reparto"}}}),
			change("3", "luz", 1, service("reparto", 5)),
		}, []DecisionCode{"", "", DecisionConflict}},
		{"a route of another service", [][]byte{
			base, change("2", "luz", 1, configuration.Service{Name: "nomina", Routes: []configuration.Route{{PathPrefix: "/reparto"}}}),
		}, []DecisionCode{"", DecisionInvalid}},
		{"claim seats stay", [][]byte{
			base, change("2", "ana", 1, configuration.Service{Name: "reparto", ClaimSeats: 9, Routes: []configuration.Route{{PathPrefix: "/reparto"}}}),
		}, []DecisionCode{"", DecisionInvalid}},
		{"seat by epochs", [][]byte{base, seat("2", "a", first), seat("3", "b", second), seat("4", "c", second)},
			[]DecisionCode{"", "", "", DecisionStaleSeat}},
		{"members of a seat only", [][]byte{base, seat("2", "a", first), seat("3", "x", second)},
			[]DecisionCode{"", "", DecisionStaleSeat}},
		{"seat of no service", [][]byte{seat("1", "a", first)}, []DecisionCode{DecisionInvalid}},
		{"rubbish", [][]byte{[]byte("{"), []byte(`{"id":"1","kind":"what"}`), []byte(`{"kind":"change"}`), base},
			[]DecisionCode{DecisionMalformed, DecisionMalformed, DecisionMalformed, ""}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, made := fold(test.records...)
			is.Equal(s.Next, int64(len(test.records)))
			for i, d := range made {
				is.Equal(d.Code, test.codes[i])
				is.Equal(d.Accepted, test.codes[i] == "")
			}
		})
	}
}

// The loser of a race is told who won and from which version to start again.
func TestConflictNamesWinner(t *testing.T) {
	is := is.New(t)
	_, made := fold(change("1", "ana", 0, service("reparto", 3)), change("2", "luz", 0, service("reparto", 4)))
	is.Equal(made[1].Winner, "ana")
	is.Equal(made[1].WinnerVersion, int64(1))
	is.True(strings.Contains(made[1].Reason, "services/reparto"))
}

// A reader that starts from a snapshot reaches the same state as one that
// folded everything.
func TestSnapshotContinues(t *testing.T) {
	is := is.New(t)
	var records [][]byte
	for i := range 20 {
		records = append(records, change(fmt.Sprint(i), "ana", int64(i), service(fmt.Sprintf("s%d", i%7), i)))
	}
	whole, _ := fold(records...)
	half, _ := fold(records[:10]...)
	var a Assembler
	parts, err := half.Snapshot().Parts()
	is.NoErr(err)
	var s State
	for _, p := range parts {
		if snap, ok := a.Add(p); ok {
			s = snap.State()
		}
	}
	for _, r := range records[10:] {
		s, _ = s.With(r)
	}
	is.Equal(s.Snapshot(), whole.Snapshot())
}

// Accepted configuration never reverts at a reader: neither by a late snapshot
// nor by records that it has folded already.
func TestJournalNeverGoesBack(t *testing.T) {
	is := is.New(t)
	j := NewJournal()
	first := change("1", "ana", 0, service("reparto", 3))
	second := change("2", "ana", 1, service("reparto", 4))
	old, _ := fold(first)
	is.Equal(len(j.Fold(0, [][]byte{first, second})), 2)
	is.True(!j.Install(old))
	is.Equal(len(j.Fold(0, [][]byte{first})), 0) // known already
	is.Equal(len(j.Fold(5, [][]byte{first})), 0) // a gap
	is.Equal(j.State().Version, int64(2))
	d, ok := j.Decision("2")
	is.True(ok)
	is.True(d.Accepted)
}

// Peers that ask for records no longer kept are told to take a snapshot.
func TestJournalSince(t *testing.T) {
	is := is.New(t)
	j := NewJournal()
	record := change("1", "ana", 0, service("reparto", 3))
	j.Fold(0, [][]byte{record, record, record})
	list, ok := j.Since(1, 1<<20)
	is.True(ok)
	is.Equal(len(list), 2)
	list, ok = j.Since(0, 1)
	is.True(ok)
	is.Equal(len(list), 1) // at least one, however small the bound
	later, _ := fold(record, record, record, record, record)
	is.True(j.Install(later))
	_, ok = j.Since(1, 1<<20)
	is.True(!ok)
}

func FuzzDecode(f *testing.F) {
	f.Add(change("1", "ana", 0, service("reparto", 3)))
	f.Add(seat("2", "a", Seat{Service: "reparto", Epoch: 1, Members: []string{"a"}}))
	f.Add([]byte(`{"id":"1","kind":"snapshot","snapshot":{"count":1}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, d := State{}.With(raw)
		if s.Next != 1 || d.Accepted && d.ID == "" {
			t.Fatalf("%q gives %+v", raw, d)
		}
		var a Assembler
		if r, err := Decode(raw); err == nil && r.Snapshot != nil {
			a.Add(*r.Snapshot)
		}
	})
}
