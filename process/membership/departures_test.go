package membership

import (
	"testing"

	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
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
	is.Equal(len(tell(newRecord(2, 21))), 0) // its departures are known to nobody here
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
