package membership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// fakeConfigurations holds a configuration that consists of its version.
type fakeConfigurations struct {
	mu      sync.Mutex
	version uint64
	changed chan struct{}
}

func (c *fakeConfigurations) Newest() (uint64, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, []byte{byte(c.version)}
}

func (c *fakeConfigurations) Offer(b []byte, _ string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v := uint64(b[0]); v > c.version {
		c.version = v
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return nil
}

func (c *fakeConfigurations) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// fleet is a transport between the gossipers of its nodes. Calls to and from
// unreachable nodes fail. All maps are keyed by control address.
type fleet struct {
	mu             sync.Mutex
	receivers      map[string]*Receiver
	configurations map[string]*fakeConfigurations
	views          map[string]*View
	unreachable    map[string]bool
}

var errUnreachable = errors.New("cut")

func (f *fleet) Call(_ context.Context, address, method string, args, reply any) error {
	f.mu.Lock()
	r := f.receivers[address]
	isUnreachable := f.unreachable[address] || f.unreachable[args.(Message).Sender]
	f.mu.Unlock()
	if r == nil || isUnreachable {
		return errUnreachable
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
	f := &fleet{receivers: map[string]*Receiver{}, configurations: map[string]*fakeConfigurations{}, views: map[string]*View{}, unreachable: map[string]bool{}}
	for i := range nodes {
		f.addNode(ctx, i, nil)
	}
	return f
}

func (f *fleet) addNode(ctx context.Context, i int, known []Record) {
	self := newRecord(i, 1)
	c := &fakeConfigurations{changed: make(chan struct{})}
	v := NewView(self)
	v.Merge(known)
	g := NewGossiper(v, c, quarantine.NewTable(hclog.NewNullLogger()), f, hclog.NewNullLogger())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivers[self.ControlAddress], f.configurations[self.ControlAddress], f.views[self.ControlAddress] = NewReceiver(g), c, v
	go g.Run(ctx)
}

// allKnow reports whether each node knows this many nodes.
func (f *fleet) allKnow(nodes int) bool {
	for _, v := range f.views {
		if len(v.Nodes()) != nodes {
			return false
		}
	}
	return true
}

// Nodes that each know one other node all know each other within seconds. A node
// that joins and knows a single other one is known to all soon enough to get
// requests.
func TestViewsConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 48)
		for i := range 48 {
			f.views[newRecord(i, 1).ControlAddress].Merge([]Record{newRecord((i+1)%48, 1)})
		}
		time.Sleep(10 * time.Second)
		is.True(f.allKnow(48))
		f.addNode(ctx, 48, []Record{newRecord(7, 1)})
		time.Sleep(4 * time.Second)
		is.True(f.allKnow(49))
	})
}

// A configuration that a third of the nodes have from the store must become active
// at all others within the 2.5 s that operators allow.
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
					all = append(all, newRecord(i, 1))
				}
				for _, v := range f.views {
					v.Merge(all)
				}
				time.Sleep(5 * time.Second)
				for i := 0; i < 48; i += 3 {
					is.NoErr(f.configurations[newRecord(i, 1).ControlAddress].Offer([]byte{9}, "store"))
				}
				time.Sleep(2500 * time.Millisecond)
				for _, c := range f.configurations {
					version, _ := c.Newest()
					is.Equal(version, uint64(9))
				}
				cancel()
			})
		})
	}
}

// A node must forget a holder that cannot be reached or has restarted without the
// configuration. Otherwise it would name it to other nodes again and again.
func TestHolderWithoutConfigurationIsForgotten(t *testing.T) {
	for _, tt := range []struct {
		name          string
		isUnreachable bool
	}{{"restarted without the configuration", false}, {"cut", true}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t.Context(), 2)
			g, holder := f.receivers[newRecord(0, 1).ControlAddress].gossiper, newRecord(1, 1).ControlAddress
			f.mu.Lock()
			f.unreachable[holder] = tt.isUnreachable
			f.mu.Unlock()
			g.mu.Lock()
			g.holders = g.holders.With(holder, 9, true, false, time.Now())
			next, ok := g.holders.Next(time.Now())
			g.mu.Unlock()
			is.True(ok)
			g.fetchConfiguration(t.Context(), next)
			version, knownHolder := g.newestKnownVersion()
			is.Equal(version, uint64(0))
			is.Equal(knownHolder, "")
		})
	}
}
