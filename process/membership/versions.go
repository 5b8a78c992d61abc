package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cuminwheel/cuminwheel/process/distribution"
	"github.com/cuminwheel/cuminwheel/version/patch"
)

// minPatchedBytes is the size from which differences are made. Smaller configurations are
// sent whole, in about as many bytes.
const minPatchedBytes = 16 << 10

// announceVersions tells other nodes of each configuration that the node applies, until ctx
// ends.
func (g *Gossiper) announceVersions(ctx context.Context) {
	last := []byte(nil)
	for {
		changed := g.configurations.Changed()
		if version, encoded := g.configurations.Newest(); version > 0 {
			source := g.recordApplied(version, last, encoded)
			last = encoded
			g.announce(ctx, version, source)
			g.advertiseVersion(ctx, version)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// recordApplied notes that a configuration has become active after another, and returns
// the node that it comes from; empty means the store.
func (g *Gossiper) recordApplied(version uint64, last, encoded []byte) (source string) {
	g.mu.Lock()
	isKnown := g.history.LeadsTo(patch.Digest(encoded))
	g.holders = g.holders.WithOwn(version)
	if g.fetched.version == version {
		source = g.fetched.holder
	}
	g.mu.Unlock()
	if isKnown || last == nil || len(encoded) < minPatchedBytes {
		return source
	}
	p, err := patch.Make(last, encoded)
	if err != nil {
		g.logger.Error("cannot encode the difference of two configurations; others get the whole", "version", version, "reason", err)
		return source
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.history = g.history.With(p)
	return source
}

// announce tells the node's children of a version. The readers of the region learn of a
// version that has not come through them, so that they tell all nodes.
func (g *Gossiper) announce(ctx context.Context, version uint64, source string) {
	tree := g.currentTree()
	targets := tree.Children()
	switch {
	case tree.IsReader():
		targets = append(targets, tree.Peers()...)
	case !slices.Contains(tree.Parents(), source):
		targets = append(targets, tree.Readers()...)
	}
	for _, address := range targets {
		if address != source {
			go g.call(ctx, Record{ControlAddress: address}, methodTell, g.withReading(Message{Sender: g.self(), ConfigurationVersion: version}), &Message{})
		}
	}
}

// advertiseVersion starts comparisons with a few nodes if the version has not been
// advertised yet. They reach nodes that are no descendants of those that have it.
func (g *Gossiper) advertiseVersion(ctx context.Context, version uint64) {
	g.mu.Lock()
	isNew := version > g.advertised
	g.advertised = max(g.advertised, version)
	g.mu.Unlock()
	if !isNew {
		return
	}
	for range fanout {
		go func() {
			sleep(ctx, time.Duration((0.5+rand.Float64())*float64(versionDelay)))
			g.Compare(ctx)
		}()
	}
}

// newestKnownVersion returns the newest configuration version that the node has
// or has heard of, and a node that has it; empty means the node itself.
func (g *Gossiper) newestKnownVersion() (version uint64, holder string) {
	own, _ := g.configurations.Newest()
	g.mu.Lock()
	defer g.mu.Unlock()
	if newest, ok := g.holders.Newest(); ok && newest.Version > own {
		return newest.Version, newest.Address
	}
	return own, ""
}

// KnownVersion returns the newest configuration version that the node has or has heard of.
func (g *Gossiper) KnownVersion() uint64 {
	version, _ := g.newestKnownVersion()
	return version
}

// BehindSince returns since when the node has heard of newer configurations than it has, or
// the zero time if it has the newest that it knows of.
func (g *Gossiper) BehindSince() time.Time {
	own, _ := g.configurations.Newest()
	g.mu.Lock()
	defer g.mu.Unlock()
	if newest, ok := g.holders.Newest(); ok && newest.Version > own {
		return g.behindSince
	}
	return time.Time{}
}

// recordRemoteVersion records which configuration version another node has, and
// requests a fetch if it is newer than the own one.
func (g *Gossiper) recordRemoteVersion(holder string, version uint64) {
	own, _ := g.configurations.Newest()
	if version <= own || holder == "" || holder == g.self() {
		return
	}
	now := time.Now()
	isNear := g.view.RegionOf(holder) == g.view.Self().Region
	readsStore := g.readsStore(now)
	g.mu.Lock()
	if newest, ok := g.holders.Newest(); !ok || newest.Version <= own {
		g.behindSince = now
	}
	g.holders = g.holders.WithOwn(own).With(holder, version, isNear, readsStore, now)
	g.mu.Unlock()
	select {
	case g.fetchRequests <- struct{}{}:
	default: // a fetch is pending already
	}
}

// fetchNewerConfigurations fetches configurations that other nodes have, until ctx ends.
func (g *Gossiper) fetchNewerConfigurations(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		next, ok := g.nextHolder(now)
		switch {
		case ok && !now.Before(next.AskAt):
			version, _ := g.newestKnownVersion()
			g.advertiseVersion(ctx, version)
			g.startFetch(ctx, next, now)
		case ok:
			g.awaitFetchRequest(ctx, time.After(next.AskAt.Sub(now)))
		default:
			g.awaitFetchRequest(ctx, nil)
		}
	}
}

// startFetch begins a fetch and returns when it has ended, or when it is time to ask another
// holder as well.
func (g *Gossiper) startFetch(ctx context.Context, h distribution.Holder, now time.Time) {
	g.mu.Lock()
	g.holders = g.holders.WithAsked(h.Address, now.Add(fetchTimeout))
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.fetchConfiguration(ctx, h)
	}()
	select {
	case <-ctx.Done():
	case <-done:
	case <-time.After(hedgeDelay):
	}
}

// awaitFetchRequest waits for a newer version or for the time.
func (g *Gossiper) awaitFetchRequest(ctx context.Context, due <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-g.fetchRequests:
	case <-due:
	}
}

// nextHolder returns the node that is asked next for a newer configuration.
func (g *Gossiper) nextHolder(now time.Time) (distribution.Holder, bool) {
	own, _ := g.configurations.Newest()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holders = g.holders.WithOwn(own)
	return g.holders.Next(now)
}

// fetchConfiguration fetches a newer configuration from its holder: the difference to the
// own one or, where that fails, the whole.
func (g *Gossiper) fetchConfiguration(ctx context.Context, h distribution.Holder) {
	own, encoded := g.configurations.Newest()
	request := Message{Sender: g.self(), ConfigurationVersion: own}
	if own > 0 {
		request.ConfigurationDigest = patch.Digest(encoded)
	}
	err := g.fetchFrom(ctx, h, request, encoded)
	if err != nil && request.ConfigurationDigest != 0 && ctx.Err() == nil && !isFailedCall(err) {
		request.ConfigurationDigest = 0
		err = g.fetchFrom(ctx, h, request, nil)
	}
	if ctx.Err() != nil {
		return
	}
	g.recordFetch(h.Address, err == nil, time.Now())
	if err != nil {
		g.logger.Warn("fetching a newer configuration failed", "node", h.Address, "version", h.Version, "own_version", own, "reason", err)
	}
}

// recordFetch notes the end of a fetch. The holder may have a still newer version by then.
func (g *Gossiper) recordFetch(holder string, succeeded bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if succeeded {
		g.holders = g.holders.WithAsked(holder, now)
		return
	}
	g.holders = g.holders.WithFailure(holder, now)
}

// fetchFrom makes one call to a holder and applies what it replies.
func (g *Gossiper) fetchFrom(ctx context.Context, h distribution.Holder, request Message, own []byte) error {
	calledAt := time.Now()
	var reply Message
	if !g.callWithin(ctx, fetchTimeout, Record{ControlAddress: h.Address}, methodFetch, request, &reply) {
		return errNoReply
	}
	encoded, err := reply.configuration(own)
	if err != nil {
		return err
	}
	g.logger.Info("configuration fetched from another node", "node", h.Address, "version", reply.ConfigurationVersion,
		"own_version", request.ConfigurationVersion, "bytes", reply.configurationBytes(), "patches", len(reply.Patches),
		"near", h.IsNear, "took_ms", time.Since(calledAt).Milliseconds())
	g.mu.Lock()
	before := g.history
	for _, p := range reply.Patches {
		g.history = g.history.With(p)
	}
	g.fetched = heldVersion{h.Address, reply.ConfigurationVersion}
	g.mu.Unlock()
	err = g.configurations.Offer(encoded, h.Address)
	active, _ := g.configurations.Newest()
	if active != reply.ConfigurationVersion {
		g.mu.Lock()
		g.history = before
		g.mu.Unlock()
	}
	if err == nil && active <= request.ConfigurationVersion {
		return errNotHeld
	}
	return err
}
