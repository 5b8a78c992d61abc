package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Announcer tells the node beside the target that it is there.
type Announcer struct {
	// AdminAddress is the node's address for announcements.
	AdminAddress string
	Instance     string
	Service      string
	Address      string
	Slots        int
	StartedAt    time.Time
	// DrainTime is how long the target serves after the node has confirmed that
	// it is leaving.
	DrainTime time.Duration
	// OnDrainConfirmed is called when the node has confirmed that the target drains.
	OnDrainConfirmed func()

	mu       sync.Mutex
	sequence int64
}

// announceInterval is the time between two announcements.
const announceInterval = 500 * time.Millisecond

// ErrNotConfirmed means that the node did not confirm an announcement.
var ErrNotConfirmed = errors.New("the node did not confirm")

// Run announces the target until ctx ends. A node that does not answer is
// called again at the next turn.
func (a *Announcer) Run(ctx context.Context) {
	for {
		_ = a.announce(ctx, "ready") // the next turn repeats it
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceInterval):
		}
	}
}

// Deregister says that the target drains, serves on for a while and says farewell.
func (a *Announcer) Deregister(ctx context.Context) error {
	if err := a.announce(ctx, "draining"); err != nil {
		return err
	}
	if a.OnDrainConfirmed != nil {
		a.OnDrainConfirmed()
	}
	time.Sleep(a.DrainTime)
	return a.post(ctx, "instances.deregister", map[string]any{"born": a.StartedAt.UnixMilli()})
}

func (a *Announcer) announce(ctx context.Context, state string) error {
	a.mu.Lock()
	a.sequence++
	sequence := a.sequence
	a.mu.Unlock()
	return a.post(ctx, "instances.heartbeat", map[string]any{
		"address": a.Address, "born": a.StartedAt.UnixMilli(),
		"info":   map[string]any{"service": a.Service, "version": "v1", "zone": "", "slots": a.Slots},
		"status": map[string]any{"state": state, "seq": sequence, "cold_remaining": "0ms"},
	})
}

func (a *Announcer) post(ctx context.Context, call string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	endpoint := "http://" + a.AdminAddress + "/cuminwheel/rpc?" + url.Values{"call": {call}, "of": {a.Instance}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(ErrNotConfirmed, err.Error())
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrNotConfirmed, "status %d", res.StatusCode)
	}
	return nil
}
