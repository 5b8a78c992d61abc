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
	// holderPatience is how long the store and the other nodes may take before a leave that
	// only some of them hold is confirmed.
	holderPatience = 300 * time.Millisecond
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
// leaves only once a process other than this one holds that, since this one may be killed.
type target struct {
	node *Node
	// ctx ends when the node stops.
	ctx context.Context

	// holding serialises the calls of hold.
	holding sync.Mutex
	// held is the value of Record.Departures that others hold.
	held string
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

// hold returns once the store or other nodes hold the departures that the gate knows.
// Otherwise it returns gate.ErrNotHeld.
func (t *target) hold() error {
	t.holding.Lock()
	defer t.holding.Unlock()
	departures := t.departures()
	if departures == t.held {
		return nil
	}
	start := time.Now()
	self := t.node.view.SetDepartures(departures)
	ctx, cancel := context.WithTimeout(t.ctx, holdTimeout)
	defer cancel()
	stored, told := make(chan bool, 1), make(chan int, 1)
	go func() { stored <- t.store(ctx) }()
	go func() { told <- t.node.gossiper.PushAndWait(ctx, self) }()
	isStored, holders := awaitHolder(stored, told)
	afterMillis := time.Since(start).Milliseconds()
	if !isStored && holders == 0 {
		t.node.logger.Warn("leave of the target not confirmed: no other process holds it", "departures", departures, "after_ms", afterMillis)
		return gate.ErrNotHeld
	}
	t.node.logger.Info("leave of the target held by others", "departures", departures, "stored", isStored, "nodes", holders, "after_ms", afterMillis)
	t.held = departures
	if !isStored && !self.Gone {
		go retry(t.ctx, func() bool { return t.store(t.ctx) })
	}
	return nil
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
// after holderPatience until one of them does. stored and told deliver one result each:
// whether the store has the record, and how many nodes do. Both are wanted, since a gate that
// restarts may reach only one of them.
func awaitHolder(stored <-chan bool, told <-chan int) (isStored bool, holders int) {
	late := time.After(holderPatience)
	isLate := false
	for stored != nil || told != nil {
		select {
		case isStored = <-stored:
			stored = nil
		case holders = <-told:
			told = nil
		case <-late:
			isLate = true
		}
		if isLate && (isStored || holders > 0) {
			return isStored, holders
		}
	}
	return isStored, holders
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
	n.gate.EndRecovery()
	n.logger.Info("gate may open", "learned_from", cmp.Or(learnedFrom, "nobody"), "stored", n.hasReadNodes.Load(),
		"departures", n.view.Self().Departures, "after_ms", time.Since(n.startedAt).Milliseconds())
}

// askForDepartures makes one attempt to learn which leaves the gate confirmed before. It
// returns who has told, or "".
func (n *Node) askForDepartures(ctx context.Context) string {
	isStoreDone, isAlone := n.hasReadNodes.Load(), len(n.view.Nodes()) <= 1
	elapsed := time.Since(n.startedAt)
	switch {
	case isStoreDone && isAlone && (n.wasRegistered.Load() || elapsed >= emptyStorePatience):
		return "store"
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
