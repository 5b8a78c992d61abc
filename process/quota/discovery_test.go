package quota

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/version/customer"
	"github.com/matryer/is"
)

// hide starts a node that knows only itself, and reads the records of the others after a
// time, unless its process has ended by then.
func (f *fleet) hide(n *simNode, lasts time.Duration) {
	n.view.replace([]membership.Record{n.record}, true)
	f.start(n)
	home := n.home
	time.AfterFunc(lasts, func() {
		if f.isRunning(n, home) {
			n.view.replace(f.records(), false)
			home.FollowNodes()
		}
	})
}

// joinUnread adds a node that cannot read the records of the others for a time. They may
// learn of it before.
func (f *fleet) joinUnread(lasts time.Duration) {
	f.join()
	f.hide(f.nodes[len(f.nodes)-1], lasts)
}

// restartUnread kills count nodes, but not the first, and starts them again at once. They
// cannot read the records of the others for a time.
func (f *fleet) restartUnread(count int, lasts time.Duration) {
	some, _ := f.split(count)
	for _, n := range some {
		if n != f.nodes[0] && n.isJoined && n.isAlive {
			f.kill(n)
			f.hide(n, lasts)
		}
	}
}

// Guards against nodes that take themselves for the whole fleet, and so for the home of each
// customer, while they cannot learn of the others: whatever else happens, each window of 5 s
// stays within the quota rule.
func TestRuleHoldsWhileNodesAreUndiscovered(t *testing.T) {
	checkSchedules(t, "load", "one", "all", "some", "join unread", "restart unread", "join")
}

// Guards against the same where it shows most: a customer sends eight times its quota to all
// nodes while some of them have just started.
func TestUndiscoveredNodesGrantNoSecondQuota(t *testing.T) {
	const overload, outage = 8, 6 * time.Second
	for count := 1; count <= 4; count++ {
		tests := []struct {
			name   string
			starts []event
		}{
			{"restart", []event{{Kind: "restart unread", Count: count, Lasts: outage}}},
			{"join", slices.Repeat([]event{{Kind: "join unread", Lasts: outage}}, count)},
		}
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%d nodes %s", count, tt.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					events := append([]event{{Kind: "load", Load: overload, Pause: 3 * time.Second}}, tt.starts...)
					events = append(events, event{Kind: "all", Pause: outage + 4*time.Second})
					f, changes := schedule{Nodes: 8, Seed: uint64(count), Rate: 71, Age: time.Minute, Events: events}.play()
					if fault := checkRule(f.runs["a"], changes); fault != "" {
						t.Error(fault)
					}
				})
			})
		}
	}
}

// Guards against callers that wait in vain for a token at a node that knows nobody who could
// grant one.
func TestNodeThatKnowsNoOtherRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, 1)
		who := customer.Customer{Name: "a", RequestsPerSecond: 10, Burst: 10}
		n := f.nodes[2]
		f.hide(n, 8*time.Second)
		start := time.Now()
		d := n.client.Take(context.Background(), who)
		is.True(!d.Allowed)
		is.True(d.HasNoHome)
		is.Equal(time.Since(start), time.Duration(0))
		is.True(d.RetryAt.After(start))
		is.True(n.client.Peek(who).HasNoHome)
		is.True(n.home.take(TakeRequest{Name: "a", Rate: 10, Burst: 10, Want: 1}).NotHome)
		// It has never had a bucket that it could hand over.
		is.Equal(n.home.take(TakeRequest{Name: "a", Rate: 10, Burst: 10, NewHome: "10.0.0.9:1"}), TakeReply{})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		is.True(n.client.Take(context.Background(), who).Allowed)
		time.Sleep(time.Minute)
	})
}
