package membership

import (
	"context"
	"math/rand/v2"
	"time"
)

// heldVersion is a configuration version and a node that has it.
type heldVersion struct {
	holder  string
	version uint64
}

// advertiseVersion starts comparisons with a few nodes if the version has not
// been advertised yet, so that nodes that cannot reach the store learn of it
// soon.
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
	if g.newestRemote.version > own {
		return g.newestRemote.version, g.newestRemote.holder
	}
	return own, ""
}

// KnownVersion returns the newest configuration version that the node has or has heard of.
func (g *Gossiper) KnownVersion() uint64 {
	version, _ := g.newestKnownVersion()
	return version
}

// BehindSince returns when the node heard of a newer configuration than it has, or the
// zero time if it has the newest that it knows of.
func (g *Gossiper) BehindSince() time.Time {
	own, _ := g.configurations.Newest()
	g.mu.Lock()
	defer g.mu.Unlock()
	if own >= g.awaited {
		return time.Time{}
	}
	return g.awaitedSince
}

// recordRemoteVersion records which configuration version another node has, and
// requests a fetch if it is newer than the own one.
func (g *Gossiper) recordRemoteVersion(holder string, version uint64) {
	known, _ := g.newestKnownVersion()
	own, _ := g.configurations.Newest()
	if version <= own || holder == "" || holder == g.self() {
		return
	}
	g.mu.Lock()
	if version >= known {
		g.newestRemote = heldVersion{holder, version}
	}
	if own >= g.awaited {
		g.awaitedSince = time.Now()
	}
	g.awaited = max(g.awaited, version)
	g.mu.Unlock()
	select {
	case g.fetchRequests <- struct{}{}:
	default: // a fetch is pending already
	}
}

// fetchNewerConfigurations fetches configurations that other nodes have and the
// store has not delivered, until ctx ends.
func (g *Gossiper) fetchNewerConfigurations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.fetchRequests:
		}
		version, _ := g.newestKnownVersion()
		g.advertiseVersion(ctx, version)
		sleep(ctx, fetchDelay)
		g.fetchConfiguration(ctx)
	}
}

// fetchConfiguration fetches the newest known configuration from its holder,
// unless the node has it already.
func (g *Gossiper) fetchConfiguration(ctx context.Context) {
	version, holder := g.newestKnownVersion()
	if holder == "" || ctx.Err() != nil {
		return
	}
	own, _ := g.configurations.Newest()
	var reply Message
	calledAt := time.Now()
	if !g.call(ctx, Record{ControlAddress: holder}, methodFetch, Message{Sender: g.self(), ConfigurationVersion: own}, &reply) || len(reply.Configuration) == 0 {
		// The holder is unreachable or has restarted without the configuration.
		// Later comparisons name a holder again.
		g.mu.Lock()
		g.newestRemote = heldVersion{}
		g.mu.Unlock()
		g.logger.Info("fetching a newer configuration failed", "node", holder, "version", version, "own_version", own,
			"took_ms", time.Since(calledAt).Milliseconds())
		return
	}
	g.logger.Info("configuration fetched from another node", "node", holder, "version", reply.ConfigurationVersion, "own_version", own,
		"bytes", len(reply.Configuration), "took_ms", time.Since(calledAt).Milliseconds())
	g.applyConfiguration(reply.Configuration, holder)
}

// applyConfiguration applies a compressed configuration that another node sent.
func (g *Gossiper) applyConfiguration(compressed []byte, source string) {
	if len(compressed) == 0 {
		return
	}
	encoded, err := decompress(compressed)
	if err == nil {
		err = g.configurations.Offer(encoded, source)
	}
	if err != nil {
		g.logger.Warn("configuration from another node rejected", "node", source, "reason", err)
	}
}
