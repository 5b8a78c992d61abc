package gate

import (
	"context"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/process/floor"
	"github.com/cuminwheel/cuminwheel/process/judgement"
)

// Siblings asks the gates of a service's other targets to vouch for it.
type Siblings interface {
	// Ask calls reply once for each gate that answers, and returns when all
	// have answered or ctx is done; it calls reply no more after that.
	Ask(ctx context.Context, service string, reply func(floor.Vouch))
}

// Timing of the health loop.
const (
	healthInterval = 20 * time.Millisecond
	expireInterval = 200 * time.Millisecond
	askTimeout     = 500 * time.Millisecond
	// bidInterval is the pause before a bid that failed is repeated.
	bidInterval = 500 * time.Millisecond
	// recheckInterval is how often an ejection is held against the floor.
	recheckInterval = 3 * time.Second
)

// Run watches the targets until ctx is done.
func (g *Gate) Run(ctx context.Context) {
	health := time.NewTicker(healthInterval)
	defer health.Stop()
	expiry := time.NewTicker(expireInterval)
	defer expiry.Stop()
	var bids sync.WaitGroup
	defer bids.Wait()
	for {
		select {
		case <-health.C:
			g.watch(ctx, &bids)
		case <-expiry.C:
			g.expire()
			g.publish()
		case <-ctx.Done():
			return
		}
	}
}

// watch takes in the ages of requests in progress and attends to each
// target that has become sick.
func (g *Gate) watch(ctx context.Context, bids *sync.WaitGroup) {
	for _, p := range g.allPools() {
		if rules, ok := g.services.Service(p.service); ok {
			p.setDial(judgement.DialFor(rules.Detection))
		}
		for _, t := range p.due(g.clock()) {
			bids.Add(1)
			go func() {
				defer bids.Done()
				g.attend(ctx, p, t)
			}()
		}
	}
}

// setDial puts the service's detection setting in force, which may have been
// published after the targets announced themselves.
func (p *Pool) setDial(d judgement.Dial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dial == d {
		return
	}
	p.dial = d
	for _, t := range p.targets {
		t.judge.SetDial(d)
	}
}

// due returns the targets that need a bid now and marks them as bidding.
func (p *Pool) due(now time.Time) []*target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*target
	for _, t := range p.targets {
		t.judge.Tick(now)
		if t.bidding || now.Before(t.attendAt) {
			continue
		}
		ejected := t.standing.Phase(now) == judgement.PhaseEjected
		if ejected || t.judge.IsSick(now) {
			t.bidding = true
			list = append(list, t)
		}
	}
	return list
}

// attend bids for the ejection of a sick target, or checks whether one that is
// ejected may stay so.
func (g *Gate) attend(ctx context.Context, p *Pool, t *target) {
	p.mu.Lock()
	ejected := t.standing.Phase(g.clock()) == judgement.PhaseEjected
	p.mu.Unlock()
	if ejected {
		g.recheck(ctx, p, t)
		return
	}
	g.bid(ctx, p, t)
}

// bid asks the siblings to vouch for the floor and ejects the target if they do.
func (g *Gate) bid(ctx context.Context, p *Pool, t *target) {
	rules, _ := g.services.Service(p.service)
	address := t.announced.Address
	b, ok := g.bids.Begin(address, rules.FloorSlots)
	if !ok {
		p.settle(t, g.clock().Add(bidInterval))
		return
	}
	v := g.collect(ctx, p, t)
	b.Add(v.HealthySlots)
	if v.IsServiceWide() {
		b.Abort()
	} else if g.commit(p, t, b, v) {
		return
	}
	g.logger.Warn("target is suspected but stays", "service", p.service, "target", address,
		"floor_slots", rules.FloorSlots, "healthy_slots", v.HealthySlots,
		"suspected_slots", v.SuspectedSlots, "serving_slots", v.ServingSlots)
	p.settle(t, g.clock().Add(bidInterval))
}

// commit ejects the target for as long as its standing says.
func (g *Gate) commit(p *Pool, t *target, b *floor.Bid, v floor.Vouch) bool {
	now := g.clock()
	p.mu.Lock()
	until := now.Add(t.standing.Timeout(now))
	if !b.Commit(until) {
		p.mu.Unlock()
		return false
	}
	evidence := t.judge.Evidence()
	t.standing.Eject(now)
	p.cancelIdempotent(t)
	t.judge.Clear(0)
	t.bidding = false
	t.attendAt = now.Add(recheckInterval)
	p.refuseWaiting(now)
	p.mu.Unlock()
	g.logger.Warn("target is ejected", "service", p.service, "target", t.announced.Address, "until", until,
		"evidence_nats", evidence, "healthy_slots", v.HealthySlots, "serving_slots", v.ServingSlots)
	g.publish()
	return true
}

// recheck brings an ejected target back when its siblings have fallen below
// the floor since.
func (g *Gate) recheck(ctx context.Context, p *Pool, t *target) {
	rules, _ := g.services.Service(p.service)
	v := g.collect(ctx, p, t)
	if v.HealthySlots < rules.FloorSlots {
		p.mu.Lock()
		t.standing.Reinstate()
		p.mu.Unlock()
		g.bids.Return(t.announced.Address)
		g.logger.Warn("ejected target is needed for the floor", "service", p.service, "target", t.announced.Address,
			"floor_slots", rules.FloorSlots, "healthy_slots", v.HealthySlots)
		g.publish()
	}
	p.settle(t, g.clock().Add(recheckInterval))
}

// collect adds up what all gates of the service say of the target's siblings.
func (g *Gate) collect(ctx context.Context, p *Pool, t *target) floor.Vouch {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sum := g.vouch(p, t)
	var mu sync.Mutex
	g.siblings.Ask(ctx, p.service, func(v floor.Vouch) {
		mu.Lock()
		defer mu.Unlock()
		sum = sum.With(v)
	})
	return sum
}

// Vouch says how this gate's targets of a service are.
func (g *Gate) Vouch(service string) floor.Vouch {
	g.mu.Lock()
	p, ok := g.pools[service]
	g.mu.Unlock()
	if !ok {
		return floor.Vouch{}
	}
	return g.vouch(p, nil)
}

func (g *Gate) vouch(p *Pool, except *target) floor.Vouch {
	now := g.clock()
	var v floor.Vouch
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if t == except || !t.isServing(now) {
			continue
		}
		v.ServingSlots += t.announced.Slots
		if t.judge.IsSuspected() {
			v.SuspectedSlots += t.announced.Slots
		}
		if t.isHealthy(now) && g.bids.MayVouch(t.announced.Address, now) {
			v.HealthySlots += t.announced.Slots
		}
	}
	return v
}

func (p *Pool) settle(t *target, next time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.bidding = false
	t.attendAt = next
}

// cancelIdempotent ends the requests that may safely run elsewhere.
func (p *Pool) cancelIdempotent(t *target) {
	for s := range t.flights {
		if s.idem && s.cancel != nil {
			s.cancel(errTargetEjected)
		}
	}
}
