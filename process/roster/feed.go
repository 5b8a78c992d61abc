package roster

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Caller calls a method of a peer. A link.Pool is one.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Feed spreads the roster's changes and takes in those of others.
type Feed struct {
	roster *Roster
	caller Caller
	logger hclog.Logger
	random *rand.Rand
	seeds  []string
	// answerAt is when an accusation may be answered again.
	answerAt time.Time
}

// Timing and bounds of the feed.
const (
	rumourInterval = 200 * time.Millisecond
	digestInterval = 5 * time.Second
	joinInterval   = 500 * time.Millisecond
	feedTimeout    = 2 * time.Second
	answerInterval = 2 * time.Second
	rumoursPerCall = 64
	localShare     = 0.80
	regionShare    = 0.95
)

// NewFeed returns a feed that finds its first peers at the control addresses
// seeds.
func NewFeed(r *Roster, c Caller, l hclog.Logger, random *rand.Rand, seeds []string) *Feed {
	return &Feed{roster: r, caller: c, logger: l, random: random, seeds: seeds}
}

// Run exchanges records until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	rumours := time.NewTicker(rumourInterval)
	defer rumours.Stop()
	digests := time.NewTicker(digestInterval)
	defer digests.Stop()
	joins := time.NewTicker(joinInterval)
	defer joins.Stop()
	f.join(ctx)
	for {
		select {
		case <-rumours.C:
			f.answerAccusation(ctx)
			f.pushRumours(ctx)
		case <-digests.C:
			f.compareDigests(ctx)
			f.reachOut(ctx)
		case <-joins.C:
			f.join(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Flush pushes what changed lately to a few peers at once, so that a leaving
// node is known to leave before it stops.
func (f *Feed) Flush(ctx context.Context) {
	for range 3 {
		f.pushRumours(ctx)
	}
}

// answerAccusation refutes that this node is gone, but only once another node
// reaches it: one that can send and not be reached would otherwise be called
// gone and come back without end.
func (f *Feed) answerAccusation(ctx context.Context) {
	now := time.Now()
	if !f.roster.IsAccused() || now.Before(f.answerAt) {
		return
	}
	f.answerAt = now.Add(answerInterval)
	peer, ok := f.pickPeer()
	if ok && !f.isReachedBy(ctx, peer) {
		f.logger.Warn("called gone, and not reached by a witness", "witness", peer.ID)
		return
	}
	f.roster.Refute()
}

func (f *Feed) isReachedBy(ctx context.Context, peer Node) bool {
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	var reply WitnessReply
	err := f.caller.Call(ctx, peer.ID, "Roster.Witness", WitnessArgs{Target: f.roster.self}, &reply)
	return err == nil && reply.Reached
}

// join asks a seed for the whole roster while no living peer is known.
func (f *Feed) join(ctx context.Context) {
	if _, ok := f.pickPeer(); ok {
		return
	}
	f.reachOut(ctx)
}

// reachOut tries a node that is not known to live: a seed that has not been
// met, or a node that is called gone. Groups that formed apart or were cut off
// from each other so become one again.
func (f *Feed) reachOut(ctx context.Context) {
	strangers := f.strangers()
	if len(strangers) == 0 {
		return
	}
	stranger := strangers[f.random.IntN(len(strangers))]
	if err := f.sync(ctx, stranger); err != nil {
		f.logger.Debug("stranger did not answer", "node", stranger, "error", err)
	}
}

func (f *Feed) strangers() []string {
	f.roster.mu.Lock()
	defer f.roster.mu.Unlock()
	var list []string
	for _, s := range f.seeds {
		if _, met := f.roster.nodes[s]; !met && s != f.roster.self {
			list = append(list, s)
		}
	}
	for id, n := range f.roster.nodes {
		if n.Status == StatusGone {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

func (f *Feed) pushRumours(ctx context.Context) {
	list := f.roster.TakeRumours(f.rumourLimit(), rumoursPerCall)
	if len(list) == 0 {
		return
	}
	peer, ok := f.pickPeer()
	if !ok {
		return
	}
	f.exchange(ctx, peer, list)
}

// rumourLimit is how often a node passes one rumour on. With the logarithm of
// the fleet's size nearly every node hears it; digests find the rest.
func (f *Feed) rumourLimit() int {
	f.roster.mu.Lock()
	defer f.roster.mu.Unlock()
	return 2 + bits.Len(uint(len(f.roster.nodes)))/2
}

func (f *Feed) compareDigests(ctx context.Context) {
	peer, ok := f.pickPeer()
	if !ok {
		return
	}
	f.exchange(ctx, peer, nil)
}

func (f *Feed) exchange(ctx context.Context, peer Node, list []Node) {
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	args := ExchangeArgs{Rumours: list, Digest: f.roster.Digest()}
	var reply ExchangeReply
	if err := f.caller.Call(ctx, peer.ID, "Roster.Exchange", args, &reply); err != nil {
		f.logger.Debug("roster exchange failed", "peer", peer.ID, "error", err)
		return
	}
	if list == nil && reply.Digest != f.roster.Digest() {
		if err := f.sync(ctx, peer.ID); err != nil {
			f.logger.Debug("roster sync failed", "peer", peer.ID, "error", err)
		}
	}
}

// sync brings both sides to the same records.
func (f *Feed) sync(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	var theirs SyncReply
	err := f.caller.Call(ctx, peer, "Roster.Sync", SyncArgs{Buckets: f.roster.Buckets()}, &theirs)
	if err != nil {
		return err
	}
	mine := f.roster.Differing(theirs.Buckets)
	f.roster.Merge(theirs.Nodes)
	var reply ExchangeReply
	return f.caller.Call(ctx, peer, "Roster.Exchange", ExchangeArgs{Rumours: mine}, &reply)
}

// pickPeer draws a living peer, mostly of the own data centre and rarely of
// another region, whose links are paid by volume.
func (f *Feed) pickPeer() (Node, bool) {
	self := f.roster.Self()
	draw := f.random.Float64()
	near := func(n Node) bool { return n.DataCentre == self.DataCentre && n.Region == self.Region }
	inRegion := func(n Node) bool { return n.Region == self.Region }
	anywhere := func(Node) bool { return true }
	tiers := []func(Node) bool{anywhere}
	if draw < regionShare {
		tiers = []func(Node) bool{inRegion, anywhere}
	}
	if draw < localShare {
		tiers = []func(Node) bool{near, inRegion, anywhere}
	}
	for _, accept := range tiers {
		if n, ok := f.roster.random(f.random, accept); ok {
			return n, true
		}
	}
	return Node{}, false
}

// random draws a living node other than the own one that accept allows.
func (r *Roster) random(random *rand.Rand, accept func(Node) bool) (Node, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rebuildRing()
	start := random.IntN(len(r.ring))
	for i := range len(r.ring) {
		n := r.nodes[r.ring[(start+i)%len(r.ring)]]
		if n.ID != r.self && n.Status != StatusGone && accept(n) {
			return n, true
		}
	}
	return Node{}, false
}
