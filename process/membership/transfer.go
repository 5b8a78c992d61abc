package membership

import (
	"sync"

	"github.com/cuminwheel/cuminwheel/version/patch"
	"github.com/go-faster/errors"
)

// Errors of a fetch.
var (
	// errNoReply means that the holder did not reply.
	errNoReply = errors.New("no reply")
	// errNotHeld means that the holder does not have a newer configuration, since it has
	// restarted.
	errNotHeld = errors.New("the node does not have the version any more")
)

// isFailedCall reports whether asking the same node again is of no use.
func isFailedCall(err error) bool {
	return errors.Is(err, errNoReply) || errors.Is(err, errNotHeld)
}

// heldVersion is a configuration version and a node that has it.
type heldVersion struct {
	holder  string
	version uint64
}

// compressedVersion is the compressed form of a configuration, which is made once for all
// nodes that ask for it.
type compressedVersion struct {
	mu      sync.Mutex
	version uint64
	bytes   []byte
}

// get returns the compressed form of a version.
func (c *compressedVersion) get(version uint64, encoded []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == version {
		return c.bytes, nil
	}
	compressed, err := compress(encoded)
	if err != nil {
		return nil, err
	}
	c.version, c.bytes = version, compressed
	return compressed, nil
}

// configuration returns the encoded configuration of a reply to a fetch by a node that has
// another one.
func (m Message) configuration(own []byte) ([]byte, error) {
	switch {
	case len(m.Patches) > 0:
		return patch.Apply(own, m.Patches)
	case len(m.Configuration) > 0:
		return decompress(m.Configuration)
	}
	return nil, errNotHeld
}

// configurationBytes returns the size of the configuration in a reply.
func (m Message) configurationBytes() int {
	size := len(m.Configuration)
	for _, p := range m.Patches {
		size += p.Size()
	}
	return size
}

// Fetch replies with the own configuration if it is newer than the sender's: with the
// patches that lead to it from the one that the sender names, if they are known.
func (r *Receiver) Fetch(request Message, reply *Message) error {
	g := r.gossiper
	version, encoded := g.configurations.Newest()
	if request.ConfigurationVersion >= version {
		return nil
	}
	reply.ConfigurationVersion = version
	if reply.Patches = g.patchesFrom(request.ConfigurationDigest, encoded); len(reply.Patches) > 0 {
		return nil
	}
	var err error
	reply.Configuration, err = g.compressed.get(version, encoded)
	return err
}

// patchesFrom returns the patches that lead from the configuration with a digest to the
// encoded one, if they are known.
func (g *Gossiper) patchesFrom(digest uint64, encoded []byte) []patch.Patch {
	g.mu.Lock()
	defer g.mu.Unlock()
	if digest == 0 || !g.history.LeadsTo(patch.Digest(encoded)) {
		return nil
	}
	return g.history.From(digest)
}
