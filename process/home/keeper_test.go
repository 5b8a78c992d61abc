package home

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/process/lease"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// seatFleet runs keepers on a fake log and fake links.
type seatFleet struct {
	mu      sync.Mutex
	journal *ledger.Journal
	logDown bool
	stopped map[string]bool
	nodes   map[string]*seatNode
	running sync.WaitGroup
	cancel  context.CancelFunc
}

type seatNode struct {
	fleet   *seatFleet
	id      string
	holder  *lease.Holder
	granter *lease.Granter
	keeper  *Keeper
	roster  *roster.Roster
	begins  time.Time
	stop    context.CancelFunc
}

var errDown = errors.New("down")

// newSeatFleet returns a fleet without nodes and the context that its nodes run
// under until stop.
func newSeatFleet(t *testing.T) (*seatFleet, context.Context) {
	ctx, cancel := context.WithCancel(t.Context())
	f := &seatFleet{
		cancel:  cancel,
		journal: ledger.NewJournal(),
		stopped: map[string]bool{},
		nodes:   map[string]*seatNode{},
	}
	f.Append(context.Background(), mustEncode(ledger.Record{
		ID: "1", Kind: ledger.KindChange, Author: "op",
		Change: &configuration.Change{Services: []configuration.Service{{
			Name: "reparto", ClaimSeats: 2,
			Routes: []configuration.Route{{PathPrefix: "/reparto", NeverRepeat: true}},
		}}},
	}))
	return f, ctx
}

// stop ends all nodes and waits for them, as a synctest bubble requires.
func (f *seatFleet) stop() {
	f.cancel()
	f.running.Wait()
}

func mustEncode(r ledger.Record) []byte {
	raw, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return raw
}

func (f *seatFleet) Append(_ context.Context, raw []byte) (int64, error) {
	if f.Ping(context.Background()) != nil {
		return 0, errDown
	}
	f.journal.Fold(f.journal.State().Next, [][]byte{raw})
	return 0, nil
}

func (f *seatFleet) Ping(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.logDown {
		return errDown
	}
	return nil
}

// start runs nodes whose processes begin apart from each other; with a negative
// distance the last begins first.
func (f *seatFleet) start(ctx context.Context, count int, apart time.Duration) {
	first := time.Now()
	if apart < 0 {
		first = first.Add(-apart * time.Duration(count-1))
	}
	var records []roster.Node
	for i := range count {
		records = append(records, roster.Node{
			ID: fmt.Sprintf("n%d", i), Region: fmt.Sprint(i % 3), DataCentre: fmt.Sprint(i % 6),
			Targets: []roster.Target{{Service: "reparto", Slots: 3}},
		})
	}
	for i, r := range records {
		begins := first.Add(apart * time.Duration(i))
		n := &seatNode{
			fleet: f, id: r.ID, holder: lease.NewHolder(),
			granter: lease.NewGranter(r.ID, begins), roster: roster.New(r),
		}
		n.roster.Merge(records)
		n.keeper = NewKeeper(KeeperOptions{
			Clock: time.Now, Logger: hclog.NewNullLogger(), States: f.journal, Roster: n.roster,
			Holder: n.holder, Log: f, Members: n, Incarnation: "1",
			Random: rand.New(rand.NewPCG(uint64(i), 7)),
		})
		n.begins = begins
		f.nodes[r.ID] = n
	}
	for _, n := range f.nodes {
		var own context.Context
		own, n.stop = context.WithCancel(ctx)
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			time.Sleep(time.Until(n.begins))
			n.keeper.Run(own)
		}()
	}
}

// kill ends a node and lets the others hear of it.
func (f *seatFleet) kill(id string) {
	f.nodes[id].stop()
	f.mu.Lock()
	f.stopped[id] = true
	f.mu.Unlock()
	for _, n := range f.nodes {
		if dead, ok := n.roster.Node(id); ok {
			n.roster.DeclareGone(dead)
		}
	}
}

func (f *seatFleet) peer(id string) (*seatNode, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped[id] {
		return nil, errDown
	}
	return f.nodes[id], nil
}

func (n *seatNode) Grant(_ context.Context, member, candidate string, seats []Ask) ([]time.Duration, error) {
	p, err := n.fleet.peer(member)
	if err != nil {
		return nil, err
	}
	var granted []time.Duration
	for _, a := range seats {
		s, _ := n.fleet.journal.State().Seat(a.Service, a.Index)
		granted = append(granted, p.granter.Grant(s, a.Epoch, candidate, time.Now()))
	}
	return granted, nil
}

func (n *seatNode) Close(_ context.Context, member, candidate string, a Ask) (time.Duration, error) {
	p, err := n.fleet.peer(member)
	if err != nil {
		return 0, err
	}
	s, _ := n.fleet.journal.State().Seat(a.Service, a.Index)
	return time.Until(p.granter.Close(s, candidate, time.Now())), nil
}

func (n *seatNode) Release(_ context.Context, member, candidate string, seats []Ask, handOver bool) error {
	p, err := n.fleet.peer(member)
	if err != nil {
		return err
	}
	for _, a := range seats {
		s, _ := n.fleet.journal.State().Seat(a.Service, a.Index)
		p.granter.Release(s, candidate, time.Now())
		if handOver {
			p.keeper.Offer(s, candidate)
		}
	}
	return nil
}

func (n *seatNode) IsFree(s ledger.Seat, before time.Time) bool {
	return n.granter.FreeSince(s).Before(before)
}

func (n *seatNode) IsClosed(s ledger.Seat, before time.Time) bool {
	return n.granter.IsClosed(s, before)
}

// holders returns which living nodes may serve the seat now.
func (f *seatFleet) holders(index int) []string {
	s, _ := f.journal.State().Seat("reparto", index)
	var list []string
	for id, n := range f.nodes {
		if _, held := n.holder.Tenure(s, time.Now()); held && !f.stopped[id] {
			list = append(list, id)
		}
	}
	return list
}

// Members that all try at once must not keep each other from a majority.
func TestKeeperFillsSeats(t *testing.T) {
	tests := []struct {
		count int
		apart time.Duration
	}{
		{1, 0}, {2, 0}, {3, 0}, {6, 0}, {2, 300 * time.Millisecond}, {2, -300 * time.Millisecond},
		{3, 2300 * time.Millisecond}, {3, -2300 * time.Millisecond}, {6, 700 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d nodes %s apart", test.count, test.apart), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, ctx := newSeatFleet(t)
				defer f.stop()
				f.start(ctx, test.count, test.apart)
				time.Sleep(60 * time.Second)
				is.Equal(len(f.holders(0)), 1)
				is.Equal(len(f.holders(1)), 1)
			})
		})
	}
}

// The death of a holder must not cost the seat, also while the log is gone.
func TestKeeperSurvivesHolder(t *testing.T) {
	for _, logDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("log down %t", logDown), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, ctx := newSeatFleet(t)
				defer f.stop()
				f.start(ctx, 6, 0)
				time.Sleep(30 * time.Second)
				f.mu.Lock()
				f.logDown = logDown
				f.mu.Unlock()
				first := f.holders(0)[0]
				f.kill(first)
				time.Sleep(20 * time.Second)
				is.Equal(len(f.holders(0)), 1) // another member holds the seat
				s, _ := f.journal.State().Seat("reparto", 0)
				is.Equal(s.Epoch > 1, !logDown) // members change only with the log
			})
		})
	}
}

// A member that is replaced while the log answers must be replaced by a living
// one, and the seat must be served again.
func TestKeeperReplacesMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := newSeatFleet(t)
		defer f.stop()
		f.start(ctx, 6, 0)
		time.Sleep(30 * time.Second)
		before, _ := f.journal.State().Seat("reparto", 0)
		dead := before.Members[2]
		f.kill(dead)
		time.Sleep(20 * time.Second)
		after, _ := f.journal.State().Seat("reparto", 0)
		is.Equal(after.Epoch, before.Epoch+1)
		is.Equal(len(after.Members), 3)
		for _, m := range after.Members {
			is.True(m != dead)
		}
		is.Equal(len(f.holders(0)), 1)
	})
}

// Two members that have each granted the seat to themselves must not go on so.
func TestKeeperResolvesSplitGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := newSeatFleet(t)
		defer f.stop()
		seat := ledger.Seat{Service: "reparto", Epoch: 1, Members: []string{"n0", "n1"}}
		f.Append(ctx, mustEncode(ledger.Record{ID: "2", Kind: ledger.KindSeat, Author: "n0", Seat: &seat}))
		f.start(ctx, 2, 0)
		time.Sleep(lease.Term)
		for _, n := range f.nodes {
			is.True(n.granter.Grant(seat, 1, n.keeper.candidate(), time.Now()) != lease.Refused)
		}
		time.Sleep(30 * time.Second)
		is.Equal(len(f.holders(0)), 1)
	})
}

// A holder that leaves hands its seats on without waiting for grants to run out.
func TestKeeperHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := newSeatFleet(t)
		defer f.stop()
		f.start(ctx, 6, 0)
		time.Sleep(30 * time.Second)
		first := f.holders(0)[0]
		f.nodes[first].keeper.HandOver(ctx)
		time.Sleep(100 * time.Millisecond)
		next := f.holders(0)
		is.Equal(len(next), 1)
		is.True(next[0] != first)
	})
}

// Replacing a member that has only just started must neither wait for it nor
// keep the holder from renewing its other seats.
func TestKeeperReplacesMemberAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, ctx := newSeatFleet(t)
		defer f.stop()
		f.start(ctx, 6, 0)
		time.Sleep(30 * time.Second)
		before, _ := f.journal.State().Seat("reparto", 0)
		holder := f.holders(0)[0]
		var others []string
		for _, m := range before.Members {
			if m != holder {
				others = append(others, m)
			}
		}
		if others[1] == f.holders(1)[0] {
			others[0], others[1] = others[1], others[0] // the holder of the other seat lives
		}
		f.mu.Lock()
		f.nodes[others[0]].granter = lease.NewGranter(others[0], time.Now()) // it restarted
		f.mu.Unlock()
		f.kill(others[1])
		time.Sleep(lease.RenewInterval + 100*time.Millisecond)
		after, _ := f.journal.State().Seat("reparto", 0)
		is.Equal(after.Epoch, before.Epoch+1)
		is.Equal(len(f.holders(1)), 1) // the other seat is served meanwhile
	})
}
