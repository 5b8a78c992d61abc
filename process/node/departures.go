package node

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/go-faster/errors"
)

const (
	// holdTimeout limits how long a target waits for the confirmation of its leave. It
	// gives up a call after a second.
	holdTimeout = 700 * time.Millisecond
	// holderPatience is how long the other nodes may take before a leave that the store
	// holds is confirmed without them.
	holderPatience = 300 * time.Millisecond
	// storePatience is how long the store may take before a leave that only other nodes hold
	// is confirmed. They may all be killed, but announcements from before the leave have
	// arrived by then.
	storePatience = 5 * time.Second
	// storeAttemptTimeout limits an attempt to write a leave to the store.
	storeAttemptTimeout = 1500 * time.Millisecond
	// recoveryTimeout is how long a restarted gate stays closed at most while it cannot
	// learn from others which leaves it has confirmed.
	recoveryTimeout = 5 * time.Second
	// recoveryPatience is how long the store may take before another node alone is
	// believed.
	recoveryPatience = time.Second
	// emptyStorePatience is how long a gate stays closed whose node finds no record in the
	// store, its own neither. The fleet may be new, or the store may have come back from an
	// older copy, to which the other nodes add their records again within restoreSpread.
	emptyStorePatience = 3 * time.Second
	// recoveryInterval is the time between two attempts to learn from others.
	recoveryInterval = 50 * time.Millisecond
	// maxProbers bounds the nodes that are kept to be asked.
	maxProbers = 8
)

// target handles the calls of the target beside the node. It confirms that the target
// leaves only once the store holds that, since any process may be killed.
type target struct {
	node *Node
	// ctx ends when the node stops.
	ctx context.Context

	// holding serialises the calls of hold.
	holding sync.Mutex
	// held is the value of Record.Departures that others hold.
	held string
	// wanted is the one that they should hold, since wantedAt. stored is closed when the store
	// does.
	wanted   string
	wantedAt time.Time
	stored   <-chan struct{}
	// called receives a value with each call of hold.
	called chan struct{}
}

// Announce passes an announcement to the gate.
func (t *target) Announce(a gate.Announcement) error {
	err := t.node.gate.Announce(a)
	switch {
	case err != nil && !errors.Is(err, gate.ErrStale):
	case a.Draining:
		if holdErr := t.hold(); holdErr != nil {
			return holdErr
		}
	case t.departures() != t.node.view.Self().Departures:
		// The target has said in a response that it leaves. Nobody waits for the
		// confirmation of that.
		go t.hold()
	}
	return err
}

// Deregister passes the leave of the target to the gate.
func (t *target) Deregister(d gate.Deregistration) error {
	err := t.node.gate.Deregister(d)
	if err == nil || errors.Is(err, gate.ErrStale) {
		if holdErr := t.hold(); holdErr != nil {
			return holdErr
		}
	}
	return err
}

func (t *target) departures() string { return membership.FormatDepartures(t.node.gate.Departures()) }

// hold returns once others hold the departures that the gate knows: the store, or if that has
// not taken them for storePatience, other nodes. Otherwise it returns gate.ErrNotHeld.
func (t *target) hold() error {
	t.holding.Lock()
	defer t.holding.Unlock()
	departures := t.departures()
	if departures == t.held {
		return nil
	}
	start := time.Now()
	self := t.node.view.SetDepartures(departures)
	if departures != t.wanted {
		t.wanted, t.wantedAt, t.stored = departures, start, t.storeInBackground()
	}
	select {
	case t.called <- struct{}{}:
	default:
	}
	ctx, cancel := context.WithTimeout(t.ctx, holdTimeout)
	defer cancel()
	told := make(chan int, 1)
	go func() { told <- t.node.gossiper.PushAndWait(ctx, self) }()
	// A node that is gone has no record at the store.
	nodesSuffice := self.Gone || start.Sub(t.wantedAt) >= storePatience
	isStored, holders := awaitHolder(t.stored, told, nodesSuffice)
	log := t.node.logger.With("departures", departures, "stored", isStored, "nodes", holders,
		"after_ms", time.Since(start).Milliseconds(), "wanted_ms", time.Since(t.wantedAt).Milliseconds())
	if !isStored && (holders == 0 || !nodesSuffice) {
		log.Warn("leave of the target not confirmed: the store does not hold it")
		return gate.ErrNotHeld
	}
	log.Info("leave of the target held by others")
	t.held = departures
	return nil
}

// storeInBackground writes the record of the node until the store has it. The channel is
// closed then. Each call of the target is a reason to try at once.
func (t *target) storeInBackground() <-chan struct{} {
	stored := make(chan struct{})
	go retryWhen(t.ctx, func() <-chan struct{} { return t.called }, func() bool {
		ctx, cancel := context.WithTimeout(t.ctx, storeAttemptTimeout)
		defer cancel()
		isStored := t.store(ctx)
		if isStored {
			close(stored)
		}
		return isStored || t.node.view.Self().Gone
	})
	return stored
}

// store writes the record of the node and reports whether the store has it. A node that has
// left for good has none there. A node that has restarted reads its former record first,
// which would be overwritten otherwise.
func (t *target) store(ctx context.Context) bool {
	n := t.node
	if n.view.Self().Gone || !n.settings.Bootstrap && !n.hasReadNodes.Load() && !n.readNodes(ctx) {
		return false
	}
	return n.writeOwnRecord(ctx)
}

// awaitHolder waits until it is known whether the store and other nodes hold a record, or
// after holderPatience until one of them does, for holdTimeout at most. Other nodes alone count
// only if nodesSuffice. stored is closed when the store has the record, and told delivers how
// many nodes do. Both are wanted, since a gate that restarts may reach only one of them.
func awaitHolder(stored <-chan struct{}, told <-chan int, nodesSuffice bool) (isStored bool, holders int) {
	late, timeout := time.After(holderPatience), time.After(holdTimeout)
	isLate := false
	for {
		if isStored && (told == nil || isLate) || isLate && nodesSuffice && holders > 0 {
			return isStored, holders
		}
		select {
		case <-stored:
			isStored, stored = true, nil
		case holders = <-told:
			told = nil
		case <-late:
			isLate = true
		case <-timeout:
			return isStored, holders
		}
	}
}

// learnDepartures passes what others hold of the node's target to the gate.
func (n *Node) learnDepartures(departures string) {
	if list, err := membership.ParseDepartures(departures); err == nil {
		n.gate.LearnDepartures(list)
	}
}

// recoverDepartures opens the gate of a restarted node once it has learned which leaves it
// confirmed before: from the store and one other node, from the node alone if the store
// does not respond soon, or from the store alone if there is no other node.
func (n *Node) recoverDepartures(ctx context.Context) {
	learnedFrom := ""
	for learnedFrom == "" && ctx.Err() == nil && time.Since(n.startedAt) < recoveryTimeout {
		learnedFrom = n.askForDepartures(ctx)
		if learnedFrom == "" {
			sleep(ctx, recoveryInterval)
		}
	}
	// Without another node nobody but the store can have held a leave.
	isCertain := n.view.IsWitness() || learnedFrom == learnedFromStore && n.wasRegistered.Load()
	if isCertain {
		n.view.SetWitness()
	} else {
		n.gate.BeginDoubt()
	}
	n.gate.EndRecovery()
	n.logger.Info("gate may open", "learned_from", cmp.Or(learnedFrom, "nobody"), "certain", isCertain, "stored", n.hasReadNodes.Load(),
		"departures", n.view.Self().Departures, "after_ms", time.Since(n.startedAt).Milliseconds())
	if !isCertain {
		n.awaitWitness(ctx)
	}
}

// newcomerTime is how long a node has to run to be a witness without having compared views
// with one: announcements from before its start have arrived by then.
const newcomerTime = 15 * time.Second

// awaitWitness ends the doubts of the gate once the node knows what others have held. After
// newcomerTime the node counts as a witness in any case.
func (n *Node) awaitWitness(ctx context.Context) {
	timer := time.NewTimer(time.Until(n.startedAt.Add(newcomerTime)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		n.view.SetWitness()
	case <-n.view.Witness():
		n.gate.EndDoubt()
	}
}

// learnedFromStore is the result of askForDepartures if there is no other node to ask.
const learnedFromStore = "store"

// askForDepartures makes one attempt to learn which leaves the gate confirmed before. It
// returns who has told, or "".
func (n *Node) askForDepartures(ctx context.Context) string {
	isStoreDone, isAlone := n.hasReadNodes.Load(), len(n.view.Nodes()) <= 1
	elapsed := time.Since(n.startedAt)
	switch {
	case isStoreDone && isAlone && (n.wasRegistered.Load() || elapsed >= emptyStorePatience):
		return learnedFromStore
	case !isStoreDone && elapsed < recoveryPatience:
		return ""
	}
	if !isAlone && n.gossiper.Compare(ctx) {
		return "another node"
	}
	select {
	case address := <-n.probers:
		if n.gossiper.CompareWith(ctx, address) {
			return "a node that probed the gate"
		}
	default:
	}
	return ""
}

// recordProber keeps the address of a node that queries the gate's state, for
// askForDepartures. While the store does not respond, the node may know no other.
func (n *Node) recordProber(address string) {
	select {
	case n.probers <- address:
	default: // some are known already
	}
}
