package membership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func record(i int, issue int64) Record {
	return Record{
		ControlAddress: fmt.Sprintf("10.0.0.%d:1", i), GateAddress: fmt.Sprintf("10.0.0.%d:2", i), Service: "s",
		DataCentre: fmt.Sprintf("dc%d", i%4), Region: fmt.Sprintf("r%d", i%2), Incarnation: issue,
	}
}

// Rosters that have seen the same records are equal, whatever the order.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Record {
			r := record(rapid.IntRange(1, 5).Draw(t, "node"), rapid.Int64Range(1, 3).Draw(t, "issue"))
			r.Gone = rapid.Bool().Draw(t, "gone")
			return r
		})).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		a, b := NewView(record(0, 1)), NewView(record(0, 1))
		a.Merge(records)
		for _, r := range shuffled {
			b.Merge([]Record{r})
		}
		if a.Digest() != b.Digest() || len(a.Nodes()) != len(b.Nodes()) {
			t.Fatalf("%v differs from %v", a.All(), b.All())
		}
	})
}

// A record of the own address that somebody else wrote is superseded.
func TestOwnAddressIsDefended(t *testing.T) {
	is := is.New(t)
	r := NewView(record(1, 10))
	other := record(1, 50)
	other.Service = "another"
	news := r.Merge([]Record{other})
	is.Equal(len(news), 1)
	is.Equal(news[0].Service, "s")
	is.Equal(news[0].Incarnation, int64(51))
	is.Equal(len(r.Merge([]Record{record(1, 3)})), 0) // an older one is let be
}

func TestIncompleteRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	r := NewView(record(1, 1))
	is.Equal(len(r.Merge([]Record{{}, {ControlAddress: "10.0.0.9:1"}, {ControlAddress: "10.0.0.9:1", GateAddress: "10.0.0.9:2"}})), 0)
	is.Equal(len(r.Nodes()), 1)
}

// held is a configuration that is only a version.
type held struct {
	mu      sync.Mutex
	version uint64
	changed chan struct{}
}

func (h *held) Newest() (uint64, []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, []byte{byte(h.version)}
}

func (h *held) Offer(b []byte, _ string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v := uint64(b[0]); v > h.version {
		h.version = v
		close(h.changed)
		h.changed = make(chan struct{})
	}
	return nil
}

func (h *held) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// fleet connects spreads by their nodes' addresses. Nodes that are cut are not
// reached; those on either side of a one-way cut are reached and not heard.
type fleet struct {
	mu        sync.Mutex
	receivers map[string]*Receiver
	configs   map[string]*held
	rosters   map[string]*View
	cut       map[string]bool
}

var errCut = errors.New("cut")

func (f *fleet) Call(_ context.Context, address, method string, args, reply any) error {
	f.mu.Lock()
	r := f.receivers[address]
	isCut := f.cut[address] || f.cut[args.(Message).Sender]
	f.mu.Unlock()
	if r == nil || isCut {
		return errCut
	}
	switch method {
	case methodTell:
		return r.Tell(args.(Message), reply.(*Message))
	case methodFetch:
		return r.Fetch(args.(Message), reply.(*Message))
	}
	return r.Compare(args.(Message), reply.(*Message))
}

func newFleet(ctx context.Context, nodes int) *fleet {
	f := &fleet{receivers: map[string]*Receiver{}, configs: map[string]*held{}, rosters: map[string]*View{}, cut: map[string]bool{}}
	for i := range nodes {
		f.add(ctx, i, nil)
	}
	return f
}

func (f *fleet) add(ctx context.Context, i int, known []Record) {
	self := record(i, 1)
	c := &held{changed: make(chan struct{})}
	r := NewView(self)
	r.Merge(known)
	s := NewGossiper(r, c, f, hclog.NewNullLogger())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivers[self.ControlAddress], f.configs[self.ControlAddress], f.rosters[self.ControlAddress] = NewReceiver(s), c, r
	go s.Run(ctx)
}

func (f *fleet) agree(nodes int) bool {
	for _, r := range f.rosters {
		if len(r.Nodes()) != nodes {
			return false
		}
	}
	return true
}

// Nodes that know one other node each know all within seconds; a node that
// joins knowing a single other is known to all, so that it gets work in time.
func TestRostersConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 48)
		for i := range 48 {
			f.rosters[record(i, 1).ControlAddress].Merge([]Record{record((i+1)%48, 1)})
		}
		time.Sleep(10 * time.Second)
		is.True(f.agree(48))
		f.add(ctx, 48, []Record{record(7, 1)})
		time.Sleep(4 * time.Second)
		is.True(f.agree(49))
	})
}

// A configuration that a third of the nodes have from the store is in force at
// all others within the 2.5 s that operators allow.
func TestConfigurationReachesNodesWithoutStore(t *testing.T) {
	for seed := range 20 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFleet(ctx, 48)
				var all []Record
				for i := range 48 {
					all = append(all, record(i, 1))
				}
				for _, r := range f.rosters {
					r.Merge(all)
				}
				time.Sleep(5 * time.Second)
				for i := 0; i < 48; i += 3 {
					is.NoErr(f.configs[record(i, 1).ControlAddress].Offer([]byte{9}, "store"))
				}
				time.Sleep(2500 * time.Millisecond)
				for _, c := range f.configs {
					v, _ := c.Newest()
					is.Equal(v, uint64(9))
				}
				cancel()
			})
		})
	}
}

// A holder that has started again without the configuration, or cannot be reached,
// is named no more.
func TestHolderWithoutTheConfiguration(t *testing.T) {
	for _, test := range []struct {
		name  string
		isCut bool
	}{{"started again", false}, {"cut", true}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t.Context(), 2)
			a, b := f.receivers[record(0, 1).ControlAddress].spread, record(1, 1).ControlAddress
			f.mu.Lock()
			f.cut[b] = test.isCut
			f.mu.Unlock()
			a.mu.Lock()
			a.heard = heldVersion{holder: b, version: 9}
			a.mu.Unlock()
			a.fetch(t.Context())
			version, holder := a.newestKnown()
			is.Equal(version, uint64(0))
			is.Equal(holder, "")
		})
	}
}
