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

// Guards against a leave that is confirmed although nobody holds it, and against a target
// that waits for a silent store or silent nodes until it gives up.
func TestAwaitHolder(t *testing.T) {
	const never = time.Hour
	tests := []struct {
		name        string
		storeAfter  time.Duration
		isStored    bool
		toldAfter   time.Duration
		holders     int
		wantStored  bool
		wantHolders int
		after       time.Duration
	}{
		{"both", 10 * time.Millisecond, true, 60 * time.Millisecond, 2, true, 2, 60 * time.Millisecond},
		{"nodes are silent", 10 * time.Millisecond, true, never, 0, true, 0, holderPatience},
		{"store is silent", never, true, 10 * time.Millisecond, 3, false, 3, holderPatience},
		{"store is late", 500 * time.Millisecond, true, 10 * time.Millisecond, 0, true, 0, 500 * time.Millisecond},
		{"store fails", 10 * time.Millisecond, false, 20 * time.Millisecond, 1, false, 1, 20 * time.Millisecond},
		{"no other node", 10 * time.Millisecond, true, 0, 0, true, 0, 10 * time.Millisecond},
		{"nobody", 10 * time.Millisecond, false, 20 * time.Millisecond, 0, false, 0, 20 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stored, told := make(chan bool, 1), make(chan int, 1)
				time.AfterFunc(test.storeAfter, func() { stored <- test.isStored })
				time.AfterFunc(test.toldAfter, func() { told <- test.holders })
				start := time.Now()
				isStored, holders := awaitHolder(stored, told)
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
