package quota

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// roundInterval is the time between two rounds of probes while the node grants tokens.
	roundInterval = 250 * time.Millisecond
	// healthyProbes and suspiciousProbes are the numbers of peers that a round probes if
	// all probes of the window succeeded, and if one failed or there was none.
	healthyProbes    = 2
	suspiciousProbes = 8
	// takeoverDelay is how long a node must have been unreachable before another one
	// grants in its place. By then a home that is cut off knows by its own probes which
	// share it may grant: contactWindow and the time-out of a probe.
	takeoverDelay = contactWindow + callTimeout
)

// prober finds out which share of the fleet the node reaches. It sends probes only
// while the node grants tokens.
type prober struct {
	call func(address, method string, args, reply any) bool

	mu       sync.Mutex
	contacts contacts
	round    int
	roundAt  time.Time
	// completedAt is the start of the last round that has ended.
	completedAt time.Time
	// running is closed when the round in progress ends; nil if there is none.
	running chan struct{}
	peers   []string
}

// share returns the share that the node may grant. It waits for a round if the last one
// is too old. ok is false if that round did not end in time, as after a pause.
func (p *prober) share(peers func() []string, now time.Time) (share float64, ok bool) {
	for range 2 {
		running := p.ensure(peers, now)
		p.mu.Lock()
		isFresh := now.Sub(p.completedAt) <= contactWindow || len(p.peers) == 0
		if isFresh {
			defer p.mu.Unlock()
			return p.contacts.share(now), true
		}
		p.mu.Unlock()
		<-running
		now = time.Now()
	}
	return 0, false
}

// knownShare returns the share by the last probes; it is 1 if there are none.
func (p *prober) knownShare(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.contacts.share(now)
}

// ensure starts a round if one is due, and returns the channel that is closed when the
// round in progress ends; nil if there is none.
func (p *prober) ensure(peers func() []string, now time.Time) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil || now.Sub(p.roundAt) < roundInterval && !p.completedAt.IsZero() {
		return p.running
	}
	if p.peers = peers(); len(p.peers) == 0 {
		p.roundAt, p.completedAt = now, now
		return nil
	}
	size := healthyProbes
	if now.Sub(p.completedAt) > contactWindow || p.contacts.share(now) < 1 || p.contacts.hasFailure() {
		size = suspiciousProbes
	}
	if p.round == 0 {
		p.round = rand.IntN(1 << 10)
	}
	p.round++
	p.roundAt = now
	p.running = make(chan struct{})
	sample := probeSample(len(p.peers), size, p.round)
	addresses := make([]string, len(sample))
	for i, index := range sample {
		addresses[i] = p.peers[index]
	}
	go p.run(addresses, now, p.running)
	return p.running
}

// run probes the peers and ends the round.
func (p *prober) run(addresses []string, startedAt time.Time, done chan struct{}) {
	var probes sync.WaitGroup
	for _, address := range addresses {
		probes.Go(func() {
			ok := p.call(address, methodCheck, CheckRequest{}, &CheckReply{})
			p.mu.Lock()
			defer p.mu.Unlock()
			p.contacts.record(address, startedAt, ok)
		})
	}
	probes.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.completedAt, p.running = startedAt, nil
	close(done)
}
