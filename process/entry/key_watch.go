package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/go-faster/errors"
)

// errKeyRemoved is the cause with which an attempt is cancelled whose key has been removed.
var errKeyRemoved = errors.New("the key of the request has been removed")

// maxUngrantedWait bounds how long a request of a customer may queue at a gate that it does
// not await a grant of. The entry cannot withdraw it when its key is removed, so it may run
// that much later. Longer waits are worth the round trip of the grant.
const maxUngrantedWait = 200 * time.Millisecond

// keyWatch cancels the attempts that await a gate's grant when a new configuration no
// longer has their keys. Its goroutine starts with the first such attempt, so that there
// is none without customers.
type keyWatch struct {
	mu sync.Mutex
	// waiting holds the cancel functions of the attempts that no gate has granted yet.
	waiting map[*keyWait]context.CancelCauseFunc
	stop    context.CancelFunc
	closed  bool
}

// keyWait is an attempt that awaits a grant.
type keyWait struct{ call *call }

// add registers an attempt until remove is called. The caller must check the key after
// it, because a configuration that is active already causes no cancellation.
func (w *keyWatch) add(c *call, configurations Configurations, cancel context.CancelCauseFunc) *keyWait {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting == nil {
		w.waiting = map[*keyWait]context.CancelCauseFunc{}
	}
	if w.stop == nil && !w.closed {
		var ctx context.Context
		ctx, w.stop = context.WithCancel(context.Background())
		go w.run(ctx, configurations)
	}
	entry := &keyWait{c}
	w.waiting[entry] = cancel
	return entry
}

// remove ends the registration. After it the attempt is not cancelled; if it was, its
// context has ended when remove returns.
func (w *keyWatch) remove(entry *keyWait) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, entry)
}

// run cancels attempts after each change of the configuration until ctx ends.
func (w *keyWatch) run(ctx context.Context, configurations Configurations) {
	for {
		changed := configurations.Changed()
		w.cancelRemoved(configurations.Configuration())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (w *keyWatch) cancelRemoved(current configuration.Configuration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for entry, cancel := range w.waiting {
		if entry.call.isKeyRemoved(current) {
			cancel(errKeyRemoved)
			delete(w.waiting, entry)
		}
	}
}

func (w *keyWatch) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.stop != nil {
		w.stop()
	}
}

// isKeyRemoved reports whether a configuration no longer has the key with which the
// request was authenticated. Without customers no request needs a key.
func (c *call) isKeyRemoved(current configuration.Configuration) bool {
	if c.customer.Name == "" || current.Version == c.configurationVersion || current.Customers().Len() == 0 {
		return false
	}
	_, ok := current.Customers().Lookup(c.key)
	return !ok
}
