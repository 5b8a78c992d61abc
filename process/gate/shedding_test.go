package gate

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// sharedModes are the modes of a configuration with the shared scheduling.
func sharedModes() configuration.Modes {
	return configuration.Modes{Scheduling: configuration.SchedulingShared}
}

// newSharedGate returns an open gate with the shared scheduling.
func newSharedGate(t *testing.T, slots int) *Gate {
	t.Helper()
	g := newGate()
	g.options.Modes = sharedModes
	g.shared.Seed = 1
	a := announcement("i", 1000, 1)
	a.Slots = slots
	if err := g.Announce(a); err != nil {
		t.Fatal(err)
	}
	return g
}

// shedReplay counts what becomes of the requests while a target sheds everything.
type shedReplay struct {
	mu sync.Mutex
	// refused counts the requests that the target refused, full those that the gate
	// refused, served those that were run. lateRefusals counts the refusals by the gate
	// after the queue deadline, badRetryTimes those whose retry time lies before the next
	// request to the target or unreasonably late.
	refused, full, served       int
	arrivals                    int
	lateRefusals, badRetryTimes int
	// recoveredAt is when the target first got a request after it recovered.
	recoveredAt time.Time
	lastSentAt  time.Time
	longestGap  time.Duration
	// foundAfter is the time from the recovery to that request.
	foundAfter time.Duration
}

// sendOne sends a request that may wait for its slot for the given time.
func (r *shedReplay) sendOne(t *testing.T, g *Gate, wait, duration time.Duration, recoversAt time.Time, sheds func(time.Time) bool) {
	req := requestWithin(wait)
	req.SoftDeadline = time.Now().Add(time.Second)
	gr, p := g.admit(t.Context(), req)
	now := time.Now()
	r.mu.Lock()
	if p != nil {
		defer r.mu.Unlock()
		if sheds(now) && p.Code == outcome.CodeTargetFull {
			r.full++
		}
		if now.After(req.QueueDeadline) {
			r.lateRefusals++
		}
		if p.RetryAt.Before(now) || p.RetryAt.After(now.Add(4*time.Second)) {
			r.badRetryTimes++
		}
		return
	}
	r.longestGap = max(r.longestGap, now.Sub(r.lastSentAt))
	r.lastSentAt = now
	if sheds(now) {
		r.refused++
		r.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		g.release(gr, resultShed)
		return
	}
	r.served++
	if r.recoveredAt.IsZero() && !now.Before(recoversAt) {
		r.recoveredAt = now
	}
	r.mu.Unlock()
	time.Sleep(duration)
	g.release(gr, resultSuccess)
}

// Guards against the loss of attempts at a target that sheds everything for 8 s, which
// refuses thousands of requests. It must get only single requests, and the others wait
// within their queue deadline or are refused as full with a retry time. The share of the
// arrivals that the target refuses must be under a tenth of that with the default
// scheduling, and the recovery must be found within 1.6 s.
func TestSheddingTargetKeepsAttempts(t *testing.T) {
	tests := []struct {
		name     string
		slots    int
		rate     float64
		duration time.Duration
	}{
		{"rides", 5, 40, 150 * time.Millisecond},
		{"atlas", 15, 120, 60 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var byDefault, r *shedReplay
			synctest.Test(t, func(t *testing.T) {
				byDefault = replayShedding(t, false, test.slots, test.rate, test.duration)
			})
			synctest.Test(t, func(t *testing.T) {
				r = replayShedding(t, true, test.slots, test.rate, test.duration)
			})
			for _, r := range []*shedReplay{byDefault, r} {
				t.Logf("refused by the target %d of %d, refused as full %d, served %d, recovery found after %v, longest time without a request %v",
					r.refused, r.arrivals, r.full, r.served, r.foundAfter, r.longestGap)
			}
			share := func(r *shedReplay) float64 { return float64(r.refused) / float64(r.arrivals) }
			is.True(share(r) < share(byDefault)/10)
			// Ten refusals show the shedding while up to all slots are in use. Then come the
			// trials at 200, 600, 1400, 3000, 4600, 6200 and 7800 ms.
			is.True(r.refused <= 10+test.slots+7)
			is.True(r.full > 0)
			is.True(r.foundAfter <= 1600*time.Millisecond)
			is.True(r.longestGap < 2*time.Second)
			is.Equal(r.lateRefusals, 0)
			is.Equal(r.badRetryTimes, 0)
		})
	}
}

// replayShedding sends a load for 14 s to a gate whose target sheds everything from 2 s to
// 10 s.
func replayShedding(t *testing.T, isShared bool, slots int, rate float64, duration time.Duration) *shedReplay {
	const sheddingFrom, sheddingFor, after = 2 * time.Second, 8 * time.Second, 4 * time.Second
	g := newSharedGate(t, slots)
	if !isShared {
		g.options.Modes = nil
	}
	startedAt := time.Now()
	recoversAt := startedAt.Add(sheddingFrom + sheddingFor)
	sheds := func(now time.Time) bool {
		return !now.Before(startedAt.Add(sheddingFrom)) && now.Before(recoversAt)
	}
	r := &shedReplay{lastSentAt: startedAt}
	random := rand.New(rand.NewPCG(1, 2))
	waits := []time.Duration{0, 250 * time.Millisecond, 700 * time.Millisecond}
	var senders sync.WaitGroup
	for i := 0; time.Since(startedAt) < sheddingFrom+sheddingFor+after; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		wait := waits[i%len(waits)]
		r.arrivals++
		senders.Go(func() { r.sendOne(t, g, wait, duration, recoversAt, sheds) })
	}
	senders.Wait()
	r.foundAfter = r.recoveredAt.Sub(recoversAt)
	if g.Scheduling().IsShedding {
		t.Error("the target still counts as shedding")
	}
	return r
}

// An entry must see the announced slots, and a shedding target as full only until its next
// request is due. Otherwise no entry sends that request. A target that has refused a
// request without shedding must look busy for a second as with the default scheduling,
// since refusals are quick and would attract more requests.
func TestReportedStateOfRefusingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newSharedGate(t, 5)
		notice := g.State().Notice
		run := func(res result) {
			gr, p := g.admit(t.Context(), requestWithin(0))
			is.True(p == nil)
			g.release(gr, res)
		}
		run(resultShed)
		is.Equal(g.State(), hopheader.GateState{Accepting: true, Slots: 5, Outstanding: 5, Notice: notice})
		time.Sleep(shedCooldown)
		is.Equal(g.State(), hopheader.GateState{Accepting: true, Slots: 5, Notice: notice})
		for range 9 {
			is.Equal(g.Scheduling(), Scheduling{})
			run(resultShed)
		}
		is.Equal(g.Scheduling(), Scheduling{IsShedding: true})
		dueAt := time.Now().Add(200 * time.Millisecond)
		is.Equal(g.State(), hopheader.GateState{Accepting: true, Slots: 5, Outstanding: 5, AdmitsAt: dueAt, Notice: notice})
		_, p := g.admit(t.Context(), requestWithin(100*time.Millisecond))
		is.Equal(p.Code, outcome.CodeTargetFull)
		is.Equal(p.RetryAt, dueAt)
		time.Sleep(200 * time.Millisecond)
		is.Equal(g.State(), hopheader.GateState{Accepting: true, Slots: 5, Notice: notice})
		run(resultSuccess)
		is.Equal(g.Scheduling(), Scheduling{})
		s := g.State()
		is.Equal(s.Outstanding, 5)
		is.True(s.AdmitsAt.IsZero())
		time.Sleep(shedCooldown)
		is.Equal(g.State().Outstanding, 0)
	})
}

// With the shared scheduling too, a target that is warming up must look busier than others,
// and may still run as many requests as its slots.
func TestWarmingUpTargetKeepsItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newSharedGate(t, 5)
		a := announcement("j", 2000, 1)
		a.Slots, a.WarmupEndsAt = 6, time.Now().Add(3*time.Second)
		is.NoErr(g.Announce(a))
		is.Equal(g.State().Slots, 6)
		is.Equal(g.State().Outstanding, warmupPenalty)
		var grants []grant
		for range 6 {
			gr, p := g.admit(t.Context(), requestWithin(0))
			is.True(p == nil)
			grants = append(grants, gr)
		}
		_, p := g.admit(t.Context(), requestWithin(0))
		is.Equal(p.Code, outcome.CodeTargetFull)
		for _, gr := range grants {
			g.release(gr, resultSuccess)
		}
	})
}

// A configuration may switch the scheduling while requests are queued. None may be lost,
// and each must still get its decision.
func TestWaitersOutliveChangeOfMode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newSharedGate(t, 1)
		modes := configuration.Modes{Scheduling: configuration.SchedulingShared}
		g.options.Modes = func() configuration.Modes { return modes }
		running, p := g.admit(t.Context(), requestWithin(0))
		is.True(p == nil)
		granted := make(chan grant, 3)
		for range 3 {
			go func() {
				if gr, p := g.admit(t.Context(), requestWithin(time.Second)); p == nil {
					granted <- gr
				}
			}()
		}
		synctest.Wait()
		is.Equal(g.Scheduling(), Scheduling{QueuedCalls: 3})
		for i := range 3 {
			modes = configuration.Modes{}
			if i == 1 {
				modes.Scheduling = configuration.SchedulingShared
			}
			g.release(running, resultSuccess)
			running = <-granted
			is.Equal(g.State().Outstanding, 3-i)
		}
		g.release(running, resultSuccess)
		is.Equal(g.State().Outstanding, 0)
	})
}

// A closing gate must refuse the waiters of the shared queue at once, as it does those of
// the default one.
func TestSharedWaitersAreRefusedWhenClosed(t *testing.T) {
	tests := []struct {
		name  string
		close func(*Gate)
		want  outcome.Code
	}{
		{"node leaving", (*Gate).Drain, outcome.CodeDraining},
		{"target deregistered", func(g *Gate) { _ = g.Deregister(Deregistration{Instance: "i"}) }, outcome.CodeDraining},
		{"target suspected", func(g *Gate) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.target.breaker.RecordLost(time.Now())
			g.dispatchWaiters()
		}, outcome.CodeTargetSuspected},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newSharedGate(t, 1)
				gr, p := g.admit(t.Context(), requestWithin(0))
				is.True(p == nil)
				var got *outcome.Problem
				startedAt := time.Now()
				go func() { _, got = g.admit(t.Context(), requestWithin(time.Second)) }()
				synctest.Wait()
				test.close(g)
				synctest.Wait()
				is.Equal(got.Code, test.want)
				is.Equal(time.Since(startedAt), time.Duration(0))
				g.release(gr, resultSuccess)
				is.Equal(g.State().Outstanding, 0)
			})
		})
	}
}

// A full queue must refuse a request of the customer that has the most in it, not the
// newcomer of another one.
func TestFullQueueDropsLargestCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newSharedGate(t, 1)
		gr, p := g.admit(t.Context(), requestWithin(0))
		is.True(p == nil)
		g.target.durations.all = time.Millisecond
		refused := make(chan string, queuePerSlot+1)
		send := func(customer string) {
			req := requestWithin(time.Second)
			req.Customer = customer
			if _, p := g.admit(t.Context(), req); p != nil && p.Code == outcome.CodeTargetFull && !p.RetryAt.IsZero() {
				refused <- customer
			}
		}
		for range queuePerSlot {
			go send("large")
		}
		synctest.Wait()
		is.Equal(len(refused), 0)
		go send("small")
		synctest.Wait()
		is.Equal(len(refused), 1)
		is.Equal(<-refused, "large")
		is.Equal(g.Scheduling().QueuedOfCustomers, queuePerSlot)
		g.Drain()
		g.release(gr, resultSuccess)
	})
}
