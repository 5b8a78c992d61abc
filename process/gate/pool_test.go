package gate

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/process/floor"
	"github.com/cuminwheel/cuminwheel/process/judgement"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// rules is a service's configuration for the gate.
type rules configuration.Service

func (r rules) Service(name string) (configuration.Service, bool) {
	return configuration.Service(r), name == r.Name
}

// fakeSiblings are the gates of the service's other targets.
type fakeSiblings []floor.Vouch

func (f fakeSiblings) Ask(_ context.Context, _ string, reply func(floor.Vouch)) {
	for _, v := range f {
		reply(v)
	}
}

func newTestGate(floorSlots int, siblings ...floor.Vouch) *Gate {
	return New(Options{
		Clock: time.Now, Logger: hclog.NewNullLogger(),
		Services: rules{Name: "reparto", FloorSlots: floorSlots, Detection: configuration.DetectFast},
		Siblings: fakeSiblings(siblings),
		OnChange: func([]roster.Target) {},
	})
}

func announce(t *testing.T, g *Gate, port, slots int) {
	t.Helper()
	err := g.Announce(Announcement{
		Service: "reparto", Address: fmt.Sprintf("127.0.0.1:%d", port), Slots: slots,
		LeaseMillis: int(maxLease.Milliseconds()),
	})
	if err != nil {
		t.Fatal(err)
	}
}

func ask(customer string, timeout time.Duration) Ask {
	return Ask{Customer: customer, Deadline: time.Now().Add(timeout), Idempotent: true}
}

// Each refusal names its reason, and comes at once.
func TestAcquireRefuses(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(t *testing.T, g *Gate)
		want    outcome.Code
	}{
		{"no target was announced", func(*testing.T, *Gate) {}, outcome.CodeNoTarget},
		{"the target drains", func(t *testing.T, g *Gate) {
			announce(t, g, 1, 1)
			_ = g.Announce(Announcement{Service: "reparto", Address: "127.0.0.1:1", Slots: 1, Draining: true})
		}, outcome.CodeNoTarget},
		{"the announcement lapsed", func(t *testing.T, g *Gate) {
			announce(t, g, 1, 1)
			time.Sleep(maxLease)
		}, outcome.CodeNoTarget},
		{"the target left", func(t *testing.T, g *Gate) {
			announce(t, g, 1, 1)
			g.Withdraw("127.0.0.1:1")
		}, outcome.CodeNoTarget},
		{"the wait is longer than the deadline", func(t *testing.T, g *Gate) {
			announce(t, g, 1, 1)
			for range 100 {
				go g.pool("reparto").Acquire(t.Context(), ask("a", time.Hour))
			}
			synctest.Wait()
		}, outcome.CodeNotInTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGate(0)
				test.prepare(t, g)
				began := time.Now()
				_, _, p := g.pool("reparto").Acquire(t.Context(), ask("b", time.Second))
				is.True(p != nil)
				is.Equal(p.Code, test.want)
				is.Equal(p.Outcome, outcome.NotRun)
				is.True(p.RetryAt.After(began))
				is.Equal(time.Since(began), time.Duration(0))
			})
		})
	}
}

// A customer with many requests does not starve one with few.
func TestQueueIsFair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGate(0)
		announce(t, g, 1, 1)
		p := g.pool("reparto")
		held, _, _ := p.Acquire(t.Context(), ask("many", time.Hour))
		order := make(chan string, 20)
		enter := func(customer string) {
			go func() {
				s, _, problem := p.Acquire(t.Context(), ask(customer, time.Hour))
				if problem != nil {
					order <- "refused"
					return
				}
				order <- customer
				s.End(false)
			}()
			synctest.Wait()
		}
		for range 10 {
			enter("many")
		}
		enter("few")
		held.End(false)
		synctest.Wait()
		is.Equal(<-order, "many")
		is.Equal(<-order, "few") // second in turn, not eleventh
	})
}

// A waiter whose deadline passes or whose caller goes away is answered, and its
// place goes to the next.
func TestWaitersLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGate(0)
		announce(t, g, 1, 1)
		p := g.pool("reparto")
		held, _, _ := p.Acquire(t.Context(), ask("a", time.Hour))
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan *outcome.Problem, 2)
		go func() {
			_, _, problem := p.Acquire(ctx, ask("gone", time.Hour))
			results <- problem
		}()
		go func() {
			_, _, problem := p.Acquire(t.Context(), ask("late", time.Second))
			results <- problem
		}()
		synctest.Wait()
		cancel()
		is.Equal((<-results).Outcome, outcome.NotRun)
		is.Equal((<-results).Code, outcome.CodeNotInTime)
		is.Equal(p.queue.length, 0) // nobody is counted who has left
		held.End(false)
		s, _, problem := p.Acquire(t.Context(), ask("next", time.Second))
		is.True(problem == nil)
		s.End(false)
	})
}

// A stalled target is ejected if its siblings vouch for the floor, and only
// then; its idempotent requests are freed at once.
func TestStalledTargetIsEjected(t *testing.T) {
	healthy := floor.Vouch{HealthySlots: 30, ServingSlots: 30}
	tests := []struct {
		name     string
		floor    int
		siblings []floor.Vouch
		want     roster.TargetState
	}{
		{"siblings hold the floor", 18, []floor.Vouch{healthy}, roster.TargetEjected},
		{"exactly the floor", 30, []floor.Vouch{healthy}, roster.TargetEjected},
		{"one slot short", 31, []floor.Vouch{healthy}, roster.TargetServing},
		{"no sibling answers", 1, nil, roster.TargetServing},
		{"no sibling, no floor", 0, nil, roster.TargetEjected},
		{"siblings are slow too", 0, []floor.Vouch{{HealthySlots: 9, SuspectedSlots: 21, ServingSlots: 30}}, roster.TargetServing},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGate(test.floor, test.siblings...)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); g.Run(ctx) }()
				announce(t, g, 1, 3)
				p := g.pool("reparto")
				for range 200 { // the target's history
					s, _, _ := p.Acquire(t.Context(), ask("a", time.Second))
					time.Sleep(20 * time.Millisecond)
					s.End(false)
				}
				stuck, bound, _ := p.Acquire(t.Context(), ask("a", 2*time.Second))
				p.Acquire(t.Context(), ask("a", 2*time.Second))
				p.Acquire(t.Context(), ask("a", 2*time.Second))
				time.Sleep(time.Second)
				is.Equal(g.Targets()[0].State, test.want)
				is.Equal(bound.Err() != nil, test.want == roster.TargetEjected)
				stuck.End(true)
				cancel()
				<-done
			})
		})
	}
}

func TestAnnouncementCheck(t *testing.T) {
	sound := Announcement{Service: "reparto", Address: "127.0.0.1:9000", Slots: 3}
	tests := []struct {
		name  string
		edit  func(*Announcement)
		field string
	}{
		{"sound", func(*Announcement) {}, ""},
		{"no service", func(a *Announcement) { a.Service = "" }, "service"},
		{"host name", func(a *Announcement) { a.Address = "localhost:1" }, "address"},
		{"no port", func(a *Announcement) { a.Address = "127.0.0.1" }, "address"},
		{"no slots", func(a *Announcement) { a.Slots = 0 }, "slots"},
		{"too many slots", func(a *Announcement) { a.Slots = maxSlots + 1 }, "slots"},
		{"negative lease", func(a *Announcement) { a.LeaseMillis = -1 }, "lease_ms"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := sound
			test.edit(&a)
			err := a.Check()
			if test.field == "" {
				is.NoErr(err)
				return
			}
			is.Equal(err.(*AnnouncementError).Field, test.field)
		})
	}
}

// lateRules are published after the targets announced themselves.
type lateRules struct {
	published atomic.Bool
	rules
}

func (l *lateRules) Service(name string) (configuration.Service, bool) {
	if !l.published.Load() {
		return configuration.Service{}, false
	}
	return l.rules.Service(name)
}

// A detection setting is in force for targets that were there before it.
func TestDialFollowsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &lateRules{rules: rules{Name: "reparto", Detection: configuration.DetectFast}}
		g := New(Options{
			Clock: time.Now, Logger: hclog.NewNullLogger(), Services: l,
			Siblings: fakeSiblings(nil), OnChange: func([]roster.Target) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); g.Run(ctx) }()
		announce(t, g, 1, 3)
		l.published.Store(true)
		time.Sleep(time.Second)
		p := g.pool("reparto")
		p.mu.Lock()
		inForce := p.dial
		p.mu.Unlock()
		cancel()
		<-done
		is.Equal(inForce, judgement.DialFor(configuration.DetectFast))
	})
}
