package membership

import (
	"testing"

	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func withDepartures(r Record, list ...uint64) Record {
	r.Departures = FormatDepartures(list)
	return r
}

// A node that has restarted without its departures must get them back from whoever holds
// its former record, and its new record, which supersedes that, must have them too.
func TestRestartedNodeGetsItsDepartures(t *testing.T) {
	is := is.New(t)
	learned := ""
	v := NewView(newRecord(1, 50)).WithOwnRecordHandler(func(d string) { learned = d })
	former := withDepartures(newRecord(1, 10), 7, 8)
	updates := v.Merge([]Record{former})
	is.Equal(updates, []Record{withDepartures(newRecord(1, 51), 7, 8)})
	is.Equal(learned, former.Departures)
	is.Equal(len(v.Merge([]Record{former})), 0) // known by now

	// Departures of its own are later; four are kept.
	v.SetDepartures(FormatDepartures([]uint64{7, 8, 9}))
	v.Merge([]Record{withDepartures(newRecord(1, 20), 5, 6, 7, 8)})
	list, err := ParseDepartures(v.Self().Departures)
	is.NoErr(err)
	is.Equal(list, []uint64{6, 7, 8, 9})
}

// The reply to a node that sends its record without its last departure must contain the
// former record, since the new one replaces it in the view.
func TestSenderIsToldItsDepartures(t *testing.T) {
	is := is.New(t)
	v := NewView(newRecord(1, 1))
	r := NewReceiver(NewGossiper(v, &fakeConfigurations{}, quarantine.NewTable(hclog.NewNullLogger()), silentTransport{}, hclog.NewNullLogger()))
	former := withDepartures(newRecord(2, 10), 7)
	v.Merge([]Record{former})
	tell := func(r0 Record) []Record {
		var reply Message
		is.NoErr(r.Tell(Message{Sender: r0.ControlAddress, Records: []Record{r0}}, &reply))
		return reply.Records
	}
	is.Equal(len(tell(withDepartures(newRecord(2, 11), 7, 8))), 0)
	is.Equal(tell(newRecord(2, 20)), []Record{withDepartures(newRecord(2, 11), 7, 8)})
	is.Equal(tell(newRecord(2, 21)), []Record{withDepartures(newRecord(2, 20), 7, 8)}) // still known, and told until the sender lists them
	is.Equal(len(tell(withDepartures(newRecord(2, 22), 7, 8))), 0)
}

// Guards against departures that are lost at their holders (DRAIN): the record of a node that
// has restarted may reach a holder through a third node, before the node has learned of them.
func TestRecordThroughAnotherNodeKeepsDepartures(t *testing.T) {
	left, restarted := withDepartures(newRecord(1, 5), 7), newRecord(1, 9)
	kept := withDepartures(newRecord(1, 9), 7)
	tests := []struct {
		name    string
		records []Record
		want    Record
	}{
		{"newer record later", []Record{left, restarted}, kept},
		{"newer record first", []Record{restarted, left}, kept},
		{"copies of one record", []Record{restarted, kept}, kept},
		{"copies of one record, the other way round", []Record{kept, restarted}, kept},
		{"a later list leaves the earliest out", []Record{left, withDepartures(newRecord(1, 12), 8, 9, 10, 11)}, withDepartures(newRecord(1, 12), 8, 9, 10, 11)},
		{"gone", []Record{left, {ControlAddress: left.ControlAddress, GateAddress: left.GateAddress, Service: left.Service, DataCentre: left.DataCentre, Region: left.Region, Incarnation: 5, Gone: true, Departures: left.Departures}, left},
			Record{ControlAddress: left.ControlAddress, GateAddress: left.GateAddress, Service: left.Service, DataCentre: left.DataCentre, Region: left.Region, Incarnation: 5, Gone: true, Departures: left.Departures}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			holder := NewView(newRecord(2, 1))
			for _, r := range test.records {
				holder.Merge([]Record{r})
			}
			is.Equal(holder.records[test.want.ControlAddress], test.want)
			// The node itself learns of them, and says so from then on.
			own := NewView(restarted)
			own.Merge([]Record{test.want})
			is.Equal(own.Self().Departures, test.want.Departures)
			is.True(own.Self().supersedes(test.want))
		})
	}
}

// Guards against views that differ for good, so that nodes compare them without end, and
// against departures that are lost while records of a node with and without them are under way.
func TestDeparturesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := make([]*View, rapid.IntRange(2, 5).Draw(t, "views"))
		for i := range views {
			views[i] = NewView(newRecord(i+2, 1))
		}
		listed := map[uint64]bool{}
		for range rapid.IntRange(1, 6).Draw(t, "records") {
			id := rapid.Uint64Range(0, 4).Draw(t, "departure") // 0 stands for none
			r := newRecord(1, rapid.Int64Range(1, 4).Draw(t, "incarnation"))
			if id > 0 {
				r, listed[id] = withDepartures(r, id), true
			}
			views[rapid.IntRange(0, len(views)-1).Draw(t, "holder")].Merge([]Record{r})
		}
		for range 3 {
			for _, a := range views {
				for _, b := range views {
					b.Merge(a.All())
					a.Merge(b.All())
				}
			}
		}
		address := newRecord(1, 1).ControlAddress
		for _, v := range views[1:] {
			if v.records[address] != views[0].records[address] {
				t.Fatalf("%v differs from %v", v.records[address], views[0].records[address])
			}
		}
		if departures, err := ParseDepartures(views[0].records[address].Departures); err != nil || len(listed) > 0 && len(departures) == 0 {
			t.Fatalf("%v of %v are known: %v", departures, listed, err)
		}
	})
}

// Only one form of a list is valid, since records with equal departures must be equal.
func TestParseDepartures(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "a", "a,b,c,d", FormatDepartures([]uint64{0, 1<<64 - 1})} {
		list, err := ParseDepartures(text)
		is.NoErr(err)
		is.Equal(FormatDepartures(list), text)
	}
	for _, text := range []string{",", "a,", "A", "0a", "+a", "a b", "a,b,c,d,e", "zzzzzzzzzzzzzz", "-1"} {
		_, err := ParseDepartures(text)
		is.True(err != nil)
	}
}
