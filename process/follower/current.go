package follower

import (
	"sync"
	"sync/atomic"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/hashicorp/go-hclog"
)

// DecodeFunc decodes and validates an encoded configuration.
type DecodeFunc func([]byte) (configuration.Configuration, error)

// Current holds the active configuration: the newest one that the node knows.
type Current struct {
	decode DecodeFunc
	logger hclog.Logger
	active atomic.Pointer[configuration.Configuration]

	mu sync.Mutex
	// encoded is the encoded form of the active configuration.
	encoded []byte
	// changed is closed when another configuration becomes active.
	changed chan struct{}
}

// NewCurrent returns a Current whose active configuration is the zero value, with
// version zero.
func NewCurrent(decode DecodeFunc, logger hclog.Logger) *Current {
	c := &Current{decode: decode, logger: logger, changed: make(chan struct{})}
	c.active.Store(&configuration.Configuration{})
	return c
}

// Configuration returns the active configuration. Its version is zero until the
// first one is known.
func (c *Current) Configuration() configuration.Configuration { return *c.active.Load() }

// Newest returns the version and the encoded form of the active configuration.
func (c *Current) Newest() (version uint64, encoded []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Configuration().Version, c.encoded
}

// Changed returns a channel that is closed when another configuration becomes
// active.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Offer makes an encoded configuration the active one if its version is higher than
// that of the active one. It returns an error only if the configuration cannot be
// decoded. source is where it comes from, for the log.
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
	c.active.Store(&offered)
	close(c.changed)
	c.changed = make(chan struct{})
	c.logger.Info("configuration applied", "version", offered.Version, "before", before, "source", source, "bytes", len(encoded),
		"routes", offered.RouteCount(), "customers", offered.Customers().Len())
	return nil
}
