package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/process/distribution"
)

// currentTree returns the node's place among those that it does not know to be down.
func (g *Gossiper) currentTree() distribution.Tree {
	version := g.view.Version()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.treeVersion == version && !g.treeIsStale {
		return g.tree
	}
	var members []distribution.Member
	for _, r := range g.view.Nodes() {
		if _, isDown := g.unreachable[r.ControlAddress]; !isDown {
			members = append(members, distribution.Member{Address: r.ControlAddress, Region: r.Region})
		}
	}
	self := g.view.Self()
	g.tree = distribution.NewTree(distribution.Member{Address: self.ControlAddress, Region: self.Region}, members)
	g.treeVersion, g.treeIsStale = version, false
	return g.tree
}

// Place returns the index of the node among those that read the store, and their number.
func (g *Gossiper) Place() (index, count int) { return g.currentTree().Place() }

// IsReader reports whether the node is one of those of its region that read the store.
func (g *Gossiper) IsReader() bool { return g.currentTree().IsReader() }

// ReadsAt returns from when on the node reads the store, if it hears of no reader until
// then; the zero time means always. The channel is closed when that may have changed.
func (g *Gossiper) ReadsAt() (at time.Time, changed <-chan struct{}) {
	tree := g.currentTree()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.watch.ReadsAt(tree), g.dutyChanged
}

// readsStore reports whether the store responds to the node, which reads it.
func (g *Gossiper) readsStore(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.readsUntil)
}

// RecordReading notes that the store responds to the node until a time, and what it has
// read.
func (g *Gossiper) RecordReading(until time.Time, r distribution.Reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readsUntil = until
	g.heardReading(r)
}

// RecordFailure notes that a call to the store has failed.
func (g *Gossiper) RecordFailure(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.readsUntil) {
		g.readsUntil = now
	}
}

// heardReading keeps the latest position that is known. The caller holds mu.
func (g *Gossiper) heardReading(r distribution.Reading) {
	if r.Next.IsAfter(g.reading.Next) {
		g.reading = r
	}
}

// Position returns the latest position in the log of the store up to which the node knows
// all that matters, if there is one.
func (g *Gossiper) Position() (distribution.Position, bool) {
	own, _ := g.configurations.Newest()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reading.Next, g.reading.Version > 0 && own >= g.reading.Version
}

// withReading returns the message with what the node knows of the readers of the store.
func (g *Gossiper) withReading(m Message) Message {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	at := g.watch.HeardAt()
	if g.readsUntil.After(at) {
		at = g.readsUntil
	}
	if !at.IsZero() {
		m.ReaderAge = max(0, now.Sub(at).Milliseconds()) + 1
	}
	m.ReadVersion, m.ReadEra, m.ReadOffset = g.reading.Version, g.reading.Next.Era, g.reading.Next.Offset
	return m
}

// recordReaders notes what another node knows of the readers of the store.
func (g *Gossiper) recordReaders(m Message, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.ReaderAge > 0 {
		g.watch = g.watch.WithReader(now.Add(-time.Duration(m.ReaderAge-1) * time.Millisecond))
	}
	if m.ReadVersion > 0 {
		g.heardReading(distribution.Reading{Version: m.ReadVersion, Next: distribution.Position{Era: m.ReadEra, Offset: m.ReadOffset}})
	}
}

// watchReaders asks the node's parents regularly whether the store is read, until ctx ends.
func (g *Gossiper) watchReaders(ctx context.Context) {
	wasReader := true
	for ctx.Err() == nil {
		sleep(ctx, time.Duration((0.5+0.5*rand.Float64())*float64(distribution.CheckInterval)))
		g.probeUnreachable(ctx, time.Now())
		tree := g.currentTree()
		if tree.IsReader() != wasReader {
			wasReader = tree.IsReader()
			g.logger.Info("place in the distribution changed", "reader", wasReader, "rank", tree.Rank(), "parents", tree.Parents())
			g.signalDuty()
		}
		parents := slices.Clone(tree.Parents())
		rand.Shuffle(len(parents), func(i, j int) { parents[i], parents[j] = parents[j], parents[i] })
		if len(parents) > 0 && !g.check(ctx, parents[0]) {
			g.checkAll(ctx, parents[1:])
			g.signalDuty()
		}
	}
}

// signalDuty wakes those that wait for a change of ReadsAt.
func (g *Gossiper) signalDuty() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.dutyChanged)
	g.dutyChanged = make(chan struct{})
}

// check asks a node for its version and what it knows of readers, and reports whether it
// replied.
func (g *Gossiper) check(ctx context.Context, address string) bool {
	own, _ := g.configurations.Newest()
	var reply Message
	if !g.call(ctx, Record{ControlAddress: address}, methodTell, Message{Sender: g.self(), ConfigurationVersion: own, WantsReaders: true}, &reply) {
		return false
	}
	g.recordReaders(reply, time.Now())
	if reply.ConfigurationHolder == "" {
		reply.ConfigurationHolder = address
	}
	g.recordRemoteVersion(reply.ConfigurationHolder, reply.ConfigurationVersion)
	return true
}

// checkAll checks with several nodes at once.
func (g *Gossiper) checkAll(ctx context.Context, addresses []string) {
	var checks sync.WaitGroup
	for _, a := range addresses {
		checks.Go(func() { g.check(ctx, a) })
	}
	checks.Wait()
}
