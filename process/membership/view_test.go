package membership

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func newRecord(i int, incarnation int64) Record {
	return Record{
		ControlAddress: fmt.Sprintf("10.0.0.%d:1", i), GateAddress: fmt.Sprintf("10.0.0.%d:2", i), Service: "s",
		DataCentre: fmt.Sprintf("dc%d", i%4), Region: fmt.Sprintf("r%d", i%2), Incarnation: incarnation,
	}
}

// Views that merged the same records are equal, whatever the order of the
// records.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Record {
			r := newRecord(rapid.IntRange(1, 5).Draw(t, "node"), rapid.Int64Range(1, 3).Draw(t, "issue"))
			r.Gone = rapid.Bool().Draw(t, "gone")
			return r
		})).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		a, b := NewView(newRecord(0, 1)), NewView(newRecord(0, 1))
		a.Merge(records)
		for _, r := range shuffled {
			b.Merge([]Record{r})
		}
		if a.Digest() != b.Digest() || len(a.Nodes()) != len(b.Nodes()) {
			t.Fatalf("%v differs from %v", a.All(), b.All())
		}
	})
}

// A node that receives a newer record of its own address, written elsewhere,
// replaces it by its own record with a higher incarnation.
func TestOwnRecordSupersedesForeignOne(t *testing.T) {
	is := is.New(t)
	v := NewView(newRecord(1, 10))
	foreign := newRecord(1, 50)
	foreign.Service = "another"
	updates := v.Merge([]Record{foreign})
	is.Equal(len(updates), 1)
	is.Equal(updates[0].Service, "s")
	is.Equal(updates[0].Incarnation, int64(51))
	is.Equal(len(v.Merge([]Record{newRecord(1, 3)})), 0) // an older one has no effect
}

// A record without an address or a service must not get into the view, from which
// gossip would spread it.
func TestIncompleteRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	v := NewView(newRecord(1, 1))
	is.Equal(len(v.Merge([]Record{{}, {ControlAddress: "10.0.0.9:1"}, {ControlAddress: "10.0.0.9:1", GateAddress: "10.0.0.9:2"}})), 0)
	is.Equal(len(v.Nodes()), 1)
}
