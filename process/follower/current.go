package follower

import (
	"sync"
	"sync/atomic"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/hashicorp/go-hclog"
)

// DecodeFunc reads an encoded configuration.
type DecodeFunc func([]byte) (configuration.Configuration, error)

// Current is the newest configuration that a node knows.
type Current struct {
	decode DecodeFunc
	logger hclog.Logger
	inUse  atomic.Pointer[configuration.Configuration]

	mu      sync.Mutex
	encoded []byte
	// changed is closed when another configuration comes into force.
	changed chan struct{}
}

// NewCurrent returns a Current without a configuration.
func NewCurrent(decode DecodeFunc, logger hclog.Logger) *Current {
	c := &Current{decode: decode, logger: logger, changed: make(chan struct{})}
	c.inUse.Store(&configuration.Configuration{})
	return c
}

// Configuration returns the configuration in force; its version is zero before
// the first is known.
func (c *Current) Configuration() configuration.Configuration { return *c.inUse.Load() }

// Newest returns the version in force and its encoded form.
func (c *Current) Newest() (version uint64, encoded []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Configuration().Version, c.encoded
}

// Changed returns a channel that is closed when another configuration comes into
// force.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Offer puts an encoded configuration in force if it is newer.
func (c *Current) Offer(encoded []byte, source string) error {
	offered, err := c.decode(encoded)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.Configuration().Version
	if offered.Version <= before {
		return nil
	}
	c.encoded = encoded
	c.inUse.Store(&offered)
	close(c.changed)
	c.changed = make(chan struct{})
	c.logger.Info("configuration in force", "version", offered.Version, "before", before, "source", source,
		"routes", offered.RouteCount())
	return nil
}
