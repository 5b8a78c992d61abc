package membership

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// viewOf returns a view of n nodes in four services.
func viewOf(n int) *View {
	records := make([]Record, n)
	for i := range records {
		records[i] = Record{
			ControlAddress: fmt.Sprintf("10.%d.%d.1:1", i/250, i%250), GateAddress: fmt.Sprintf("10.%d.%d.1:2", i/250, i%250),
			Service: fmt.Sprint("s", i%4), Incarnation: 1,
		}
	}
	v := NewView(records[0])
	v.Merge(records)
	return v
}

// The gate counts the gates of its service at the end of each request. That must not
// cost more in a larger fleet.
func TestCountOfDoesNotGrowWithTheFleet(t *testing.T) {
	for _, n := range []int{52, 352, 6700} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			v := viewOf(n)
			is.Equal(v.CountOf("s1"), n/4)
			is.Equal(testing.AllocsPerRun(100, func() { v.CountOf("s1") }), 0.0)
		})
	}
}

// Each comparison and each push picks a peer among the nodes. Between changes of the
// view that must not copy the records.
func TestNodesAreSortedOncePerChange(t *testing.T) {
	is := is.New(t)
	v := viewOf(352)
	before := v.Nodes()
	is.Equal(testing.AllocsPerRun(100, func() { v.Nodes() }), 0.0)
	gone := before[3]
	gone.Gone = true
	v.Merge([]Record{gone})
	is.Equal(len(v.Nodes()), 351)
	is.Equal(len(before), 352) // an earlier result stays as it was
	is.True(!before[3].Gone)
}

// The counts must follow nodes that leave, return or change their service.
func TestCountOfFollowsRecords(t *testing.T) {
	is := is.New(t)
	v := viewOf(8)
	counts := func() [2]int { return [2]int{v.CountOf("s1"), v.CountOf("s2")} }
	is.Equal(counts(), [2]int{2, 2})
	r := Record{ControlAddress: "10.0.1.1:1", GateAddress: "10.0.1.1:2", Service: "s1", Incarnation: 1, Gone: true}
	v.Merge([]Record{r, r})
	is.Equal(counts(), [2]int{1, 2})
	r.Incarnation, r.Gone, r.Service = 2, false, "s2"
	v.Merge([]Record{r})
	is.Equal(counts(), [2]int{1, 3})
	v.Leave()
	is.Equal(v.CountOf("s0"), 1)
}

func BenchmarkCountOf(b *testing.B) {
	for _, n := range []int{52, 352, 6700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := viewOf(n)
			b.ReportAllocs()
			for b.Loop() {
				v.CountOf("s1")
			}
		})
	}
}

func BenchmarkNodes(b *testing.B) {
	for _, n := range []int{52, 352, 6700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := viewOf(n)
			b.ReportAllocs()
			for b.Loop() {
				v.Nodes()
			}
		})
	}
}
