package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/logservice"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// fakeLog keeps records from offset first on.
type fakeLog struct {
	first   int64
	records [][]byte
	down    bool
	// batch bounds how many records one read returns; 0 sets no bound.
	batch int
}

func (l *fakeLog) Read(_ context.Context, offset int64, _ time.Time) (logservice.Batch, error) {
	next := l.first + int64(len(l.records))
	switch {
	case l.down:
		return logservice.Batch{}, logservice.ErrUnavailable
	case offset < l.first:
		return logservice.Batch{}, &logservice.TruncatedError{First: l.first}
	}
	list := l.records[offset-l.first:]
	if l.batch > 0 && len(list) > l.batch {
		list = list[:l.batch]
	}
	return logservice.Batch{First: offset, Records: list, Next: next}, nil
}

func (l *fakeLog) Append(_ context.Context, raw []byte) (int64, error) {
	l.records = append(l.records, raw)
	return l.first + int64(len(l.records)) - 1, nil
}

// fakePeers answer calls with a journal, if there is one.
type fakePeers struct {
	journal *ledger.Journal
	waits   []int
}

func (p *fakePeers) Call(_ context.Context, _, method string, args, reply any) error {
	if p.journal == nil {
		return errors.New("unreachable")
	}
	s := NewService(p.journal)
	switch method {
	case "Journal.Read":
		a := args.(ReadArgs)
		p.waits = append(p.waits, a.WaitMillis)
		return s.Read(a, reply.(*ReadReply))
	case "Journal.Snapshot":
		return s.Snapshot(args.(SnapshotArgs), reply.(*SnapshotReply))
	}
	return errors.New("unknown method")
}

func record(i int) []byte {
	c := configuration.Change{Services: []configuration.Service{{
		Name: fmt.Sprintf("s%d", i), Routes: []configuration.Route{{PathPrefix: fmt.Sprintf("/s%d", i)}},
	}}}
	raw, err := ledger.Record{ID: fmt.Sprint(i), Kind: ledger.KindChange, Author: "ana", Base: int64(i), Change: &c}.Encode()
	if err != nil {
		panic(err)
	}
	return raw
}

func records(from, to int) [][]byte {
	var list [][]byte
	for i := from; i < to; i++ {
		list = append(list, record(i))
	}
	return list
}

func journalOf(count int) *ledger.Journal {
	j := ledger.NewJournal()
	j.Fold(0, records(0, count))
	j.CaughtUp()
	return j
}

func newTestFollower(l *fakeLog, p *fakePeers, others int) *Follower {
	r := roster.New(roster.Node{ID: "self", Region: "r", DataCentre: "d"})
	for i := range others {
		r.Merge([]roster.Node{{ID: fmt.Sprintf("peer%d", i), Region: "r", DataCentre: "other"}})
	}
	return New(Options{
		Clock: time.Now, Logger: hclog.NewNullLogger(), Journal: ledger.NewJournal(), Roster: r,
		Log: l, Caller: p, Random: rand.New(rand.NewPCG(1, 1)),
	})
}

// A reader whose log is down must not wait at a peer, which may itself wait for
// readers; it would see the log come back a whole wait too late.
func TestReaderDoesNotWaitAtPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &fakePeers{journal: journalOf(3)}
		l := &fakeLog{down: true}
		f := newTestFollower(l, p, 1)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(5 * time.Second)
		is.Equal(f.journal.State().Next, int64(3)) // taken from the peer
		is.True(len(p.waits) > 0)
		for _, ms := range p.waits {
			is.Equal(ms, 0)
		}
		cancel()
		<-done
	})
}

// A state that is still catching up is not in force: it is older than what the
// rest of the fleet has.
func TestReadyOnlyAfterCatchingUp(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{records: records(0, 5), batch: 2}
	f := newTestFollower(l, &fakePeers{}, 0)
	for _, ready := range []bool{false, false, true} {
		is.NoErr(f.step(t.Context()))
		is.Equal(f.journal.IsReady(), ready)
	}
	is.Equal(f.journal.State().Version, int64(5))
}

// Without peers a node starts from the log, if what has expired is restated.
func TestRecoversFromSnapshot(t *testing.T) {
	tests := []struct {
		name string
		// folded is what the snapshot stands for, first the oldest record kept.
		folded, first int
		ready         bool
	}{
		{"snapshot reaches the first kept record", 4, 4, true},
		{"snapshot reaches further", 4, 2, true},
		{"records between have expired", 2, 4, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := &fakeLog{first: int64(test.first), records: records(test.first, 5)}
			state := journalOf(test.folded).State()
			parts, err := state.Snapshot().Parts()
			is.NoErr(err)
			f := newTestFollower(l, &fakePeers{}, 0)
			for _, p := range parts {
				is.NoErr(f.appendPart(t.Context(), p))
			}
			for range 3 {
				_ = f.step(t.Context())
			}
			is.Equal(f.journal.IsReady(), test.ready)
			if test.ready {
				is.Equal(f.journal.State().Version, int64(5))
			}
		})
	}
}

// The first reader restates the state once enough has been added.
func TestRestates(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{records: records(0, restateRecords)}
	f := newTestFollower(l, &fakePeers{}, 0)
	is.NoErr(f.step(t.Context()))
	is.Equal(len(l.records), restateRecords+1) // one part of a snapshot
	is.NoErr(f.step(t.Context()))
	is.Equal(len(l.records), restateRecords+1) // and no second one
}

// Every node has two parents of a lower rank, so that the tree has no circle.
func TestTreeHasNoCircle(t *testing.T) {
	is := is.New(t)
	var ranked []string
	for i := range 900 {
		ranked = append(ranked, fmt.Sprint(i))
	}
	place := map[string]int{}
	for i, id := range ranked {
		place[id] = i
	}
	children := map[string]int{}
	for rank := readersPerDataCentre; rank < len(ranked); rank++ {
		for i, p := range parentsOf(rank, ranked) {
			is.True(place[p] < rank)
			if i == 0 {
				children[p]++
			}
		}
	}
	for _, n := range children {
		is.True(n <= 2*childrenPerParent)
	}
}
