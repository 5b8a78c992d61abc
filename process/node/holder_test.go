package node

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/matryer/is"
)

// Guards against a leave that is confirmed although nobody holds it, or only nodes that may
// all be killed do while the store may still take it, and against a target that waits for a
// silent store or silent nodes until it gives up.
func TestAwaitHolder(t *testing.T) {
	const never = time.Hour
	tests := []struct {
		name         string
		storeAfter   time.Duration
		toldAfter    time.Duration
		holders      int
		nodesSuffice bool
		wantStored   bool
		wantHolders  int
		after        time.Duration
	}{
		{"both", 10 * time.Millisecond, 60 * time.Millisecond, 2, false, true, 2, 60 * time.Millisecond},
		{"both, and nodes suffice", 10 * time.Millisecond, 60 * time.Millisecond, 2, true, true, 2, 60 * time.Millisecond},
		{"nodes are silent", 10 * time.Millisecond, never, 0, false, true, 0, holderPatience},
		{"store is away", never, 10 * time.Millisecond, 3, false, false, 3, holdTimeout},
		{"store is away, and nodes suffice", never, 10 * time.Millisecond, 3, true, false, 3, holderPatience},
		{"store is late", 500 * time.Millisecond, 10 * time.Millisecond, 3, false, true, 3, 500 * time.Millisecond},
		{"store and nodes are late", 500 * time.Millisecond, 600 * time.Millisecond, 1, true, true, 0, 500 * time.Millisecond},
		{"no other node", 10 * time.Millisecond, 0, 0, true, true, 0, 10 * time.Millisecond},
		{"nobody", never, 20 * time.Millisecond, 0, true, false, 0, holdTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stored, told := make(chan struct{}), make(chan int, 1)
				time.AfterFunc(test.storeAfter, func() { close(stored) })
				time.AfterFunc(test.toldAfter, func() { told <- test.holders })
				start := time.Now()
				isStored, holders := awaitHolder(stored, told, test.nodesSuffice)
				took := time.Since(start)
				is.Equal(isStored, test.wantStored)
				is.Equal(holders, test.wantHolders)
				is.Equal(took, test.after)
			})
		})
	}
}

// The departures of a gate must fit into the record of its node: others reject a longer list.
func TestDeparturesFitIntoARecord(t *testing.T) {
	is := is.New(t)
	list := make([]uint64, gate.MaxDepartures)
	for i := range list {
		list[i] = math.MaxUint64 - uint64(i)
	}
	parsed, err := membership.ParseDepartures(membership.FormatDepartures(list))
	is.NoErr(err)
	is.Equal(parsed, list)
}
