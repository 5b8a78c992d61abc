package roster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// network is a fake of the links between nodes. A node that is not in it has
// stopped: it neither takes calls nor makes them.
type network struct {
	mu    sync.Mutex
	nodes map[string]*Service
	// cut holds pairs "from>to" whose calls are lost.
	cut map[string]bool
}

type caller struct {
	net  *network
	from string
}

func (c caller) Call(_ context.Context, address, method string, args, reply any) error {
	c.net.mu.Lock()
	s, ok := c.net.nodes[address]
	_, runs := c.net.nodes[c.from]
	lost := c.net.cut[c.from+">"+address]
	c.net.mu.Unlock()
	if !ok || !runs || lost {
		return errors.New("unreachable")
	}
	m := reflect.ValueOf(s).MethodByName(method[len("Roster."):])
	out := m.Call([]reflect.Value{reflect.ValueOf(args), reflect.ValueOf(reply)})
	if err, isErr := out[0].Interface().(error); isErr {
		return err
	}
	return nil
}

// fleet runs rosters with feeds and monitors on a fake network.
type fleet struct {
	net     *network
	rosters map[string]*Roster
	ctx     context.Context
	running sync.WaitGroup
}

func newFleet(ctx context.Context) *fleet {
	return &fleet{
		net:     &network{nodes: map[string]*Service{}, cut: map[string]bool{}},
		rosters: map[string]*Roster{},
		ctx:     ctx,
	}
}

func (f *fleet) start(n Node, seeds ...string) {
	r := New(n)
	c := caller{net: f.net, from: n.ID}
	f.net.mu.Lock()
	f.net.nodes[n.ID] = NewService(r, c)
	f.net.mu.Unlock()
	f.rosters[n.ID] = r
	seed := uint64(len(f.rosters))
	feed := NewFeed(r, c, hclog.NewNullLogger(), rand.New(rand.NewPCG(seed, seed)), seeds)
	monitor := NewMonitor(r, c, hclog.NewNullLogger())
	f.running.Add(2)
	go func() { defer f.running.Done(); feed.Run(f.ctx) }()
	go func() { defer f.running.Done(); monitor.Run(f.ctx) }()
}

func (f *fleet) count(id string, s Status) int {
	n := 0
	for _, node := range f.rosters[id].Nodes() {
		if node.Status == s {
			n++
		}
	}
	return n
}

// Two groups that formed before they knew of each other must become one, since
// the seeds of a fleet start at the same time as everybody else.
func TestFeedJoinsIslands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx)
		f.start(Node{ID: "c", DataCentre: "dc", Region: "r"}, "a")
		f.start(Node{ID: "d", DataCentre: "dc", Region: "r"}, "c")
		time.Sleep(2 * time.Second)
		f.start(Node{ID: "a", DataCentre: "dc", Region: "r"})
		f.start(Node{ID: "b", DataCentre: "dc", Region: "r"}, "a")
		time.Sleep(20 * time.Second)
		for _, id := range []string{"a", "b", "c", "d"} {
			is.Equal(f.count(id, StatusAlive), 4) // every node knows all four
		}
		cancel()
		f.running.Wait()
	})
}

// A group that was cut off and declared gone must come back by itself.
func TestFeedHealsAfterCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx)
		ids := []string{"a", "b", "c", "d"}
		for i, id := range ids {
			f.start(Node{ID: id, DataCentre: "dc", Region: "r"}, ids[:i]...)
		}
		time.Sleep(10 * time.Second)
		f.cutBetween([]string{"a", "b"}, []string{"c", "d"}, true)
		time.Sleep(30 * time.Second)
		is.Equal(f.count("a", StatusAlive), 2) // the others are gone for a
		is.Equal(f.count("c", StatusAlive), 2)
		f.cutBetween([]string{"a", "b"}, []string{"c", "d"}, false)
		time.Sleep(60 * time.Second)
		for _, id := range ids {
			is.Equal(f.count(id, StatusAlive), 4) // every node is back for id
		}
		cancel()
		f.running.Wait()
	})
}

// A path that one node cannot use is no reason to call its peer gone.
func TestMonitorAsksWitness(t *testing.T) {
	tests := []struct {
		name string
		cut  []string
		stop bool
		gone int
	}{
		{"one-way cut to one monitor", []string{"a>b"}, false, 0},
		{"stopped process", nil, true, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := newFleet(ctx)
				for i := range 5 {
					f.start(Node{ID: fmt.Sprintf("%c", 'a'+i), DataCentre: "dc", Region: "r"}, "a")
				}
				time.Sleep(10 * time.Second)
				f.net.mu.Lock()
				for _, pair := range test.cut {
					f.net.cut[pair] = true
				}
				if test.stop {
					delete(f.net.nodes, "b")
				}
				f.net.mu.Unlock()
				time.Sleep(15 * time.Second)
				is.Equal(f.count("a", StatusGone), test.gone)
				is.Equal(f.count("e", StatusGone), test.gone)
				cancel()
				f.running.Wait()
			})
		})
	}
}

func (f *fleet) cutBetween(left, right []string, cut bool) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	for _, a := range left {
		for _, b := range right {
			f.net.cut[a+">"+b] = cut
			f.net.cut[b+">"+a] = cut
		}
	}
}

// A node that can send and not be reached stays gone for the others and does
// not come and go with each rumour; it is back once it can be reached.
func TestUnreachableNodeStaysGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx)
		ids := []string{"a", "b", "c", "d", "e"}
		for _, id := range ids {
			f.start(Node{ID: id, DataCentre: "dc", Region: "r"}, "a")
		}
		time.Sleep(10 * time.Second)
		f.cutInto("b", true)
		time.Sleep(15 * time.Second)
		gone, _ := f.rosters["a"].Node("b")
		is.Equal(gone.Status, StatusGone)
		time.Sleep(5 * time.Minute)
		later, _ := f.rosters["a"].Node("b")
		is.Equal(later.Status, StatusGone)
		is.Equal(later.Version, gone.Version) // it did not come back meanwhile
		f.cutInto("b", false)
		time.Sleep(30 * time.Second)
		back, _ := f.rosters["a"].Node("b")
		is.Equal(back.Status, StatusAlive)
		cancel()
		f.running.Wait()
	})
}

// cutInto loses all calls to a node; its own go through.
func (f *fleet) cutInto(id string, cut bool) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	for other := range f.net.nodes {
		f.net.cut[other+">"+id] = cut
	}
}
