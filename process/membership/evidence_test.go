package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// Three crashes at three gates of different regions must be known to every node within
// the time after which no more than three further requests may be sent, also to one that
// restarts then and knows nothing.
func TestEvidenceReachesAllNodes(t *testing.T) {
	for _, size := range []int{12, 120} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFleet(ctx, 0)
				tables := make([]*quarantine.Table, size)
				start := func(i int) {
					v := NewView(Record{ControlAddress: newRecord(i, 1).ControlAddress, GateAddress: "10.0.0.1:2", Service: "s", DataCentre: "d", Region: fmt.Sprint("r", i%3), Incarnation: 1})
					for j := range size {
						v.Merge([]Record{{ControlAddress: newRecord(j, 1).ControlAddress, GateAddress: "10.0.0.1:2", Service: "s", DataCentre: "d", Region: fmt.Sprint("r", j%3), Incarnation: 1}})
					}
					tables[i] = quarantine.NewTable(hclog.NewNullLogger())
					g := NewGossiper(v, &fakeConfigurations{changed: make(chan struct{})}, tables[i], f, hclog.NewNullLogger())
					f.mu.Lock()
					f.receivers[newRecord(i, 1).ControlAddress] = NewReceiver(g)
					f.mu.Unlock()
					go g.Run(ctx)
				}
				for i := range size {
					start(i)
				}
				bad := []fingerprint.Fingerprint{7}
				for i := range quarantine.Threshold {
					tables[i].RecordCrash(uint64(i), bad, time.Now())
					time.Sleep(200 * time.Millisecond)
				}
				countKnowing := func() (n int) {
					for _, table := range tables {
						if !table.QuarantinedUntil(bad[0], time.Now()).IsZero() {
							n++
						}
					}
					return n
				}
				time.Sleep(2500 * time.Millisecond)
				is.Equal(countKnowing(), size)
				start(size - 1)
				time.Sleep(2500 * time.Millisecond)
				is.Equal(countKnowing(), size)
			})
		})
	}
}
