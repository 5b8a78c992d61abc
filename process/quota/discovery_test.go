package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/version/customer"
	"github.com/matryer/is"
)

// hide starts a node that knows only itself, and discovers the others after a time.
func (f *fleet) hide(n *simNode, lasts time.Duration) {
	all := n.view.Nodes()
	n.view.replace([]membership.Record{n.record}, true)
	f.start(n)
	home := n.home
	time.AfterFunc(lasts, func() {
		n.view.replace(all, false)
		home.FollowNodes()
	})
}

// replace replaces the nodes that are known.
func (l *localNodes) replace(nodes []membership.Record, isUndiscovered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.nodes, l.isUndiscovered = nodes, isUndiscovered
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
