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

// Announcer announces the target to the node on the same VM: where the target listens
// and whether it is ready or draining.
type Announcer struct {
	// AdminAddress is the node's address for announcements.
	AdminAddress string
	// Instance is the ID of this process of the target.
	Instance  string
	Service   string
	Address   string
	Slots     int
	StartedAt time.Time
	// DrainTime is how long the target goes on serving after the node has confirmed
	// that it drains.
	DrainTime time.Duration
	// LateAfter is how long after that confirmation the last announcement that the target
	// was ready arrives again, as one that the network has delayed; 0 means never.
	LateAfter time.Duration
	// OnDrainConfirmed, if set, is called when the node has confirmed that the target
	// drains.
	OnDrainConfirmed func()

	mu       sync.Mutex
	sequence int64
}

// AnnounceInterval is the time between two announcements.
const AnnounceInterval = 500 * time.Millisecond

// ErrNotConfirmed means that the node did not confirm an announcement: it could not be
// reached in time or responded with an error status.
var ErrNotConfirmed = errors.New("announcement not confirmed by the node")

// Run announces the target as ready until ctx ends. An announcement that fails is
// retried after AnnounceInterval.
func (a *Announcer) Run(ctx context.Context) {
	for {
		_ = a.announce(ctx, "ready") // the next announcement is the retry
		select {
		case <-ctx.Done():
			return
		case <-time.After(AnnounceInterval):
		}
	}
}

// Deregister announces that the target drains, waits for DrainTime while the target goes
// on serving and then deregisters it.
func (a *Announcer) Deregister(ctx context.Context) error {
	late := a.encode("ready", a.nextSequence())
	if err := a.announceDrain(ctx); err != nil {
		return err
	}
	if a.OnDrainConfirmed != nil {
		a.OnDrainConfirmed()
	}
	if a.LateAfter > 0 {
		time.AfterFunc(a.LateAfter, func() { _ = a.post(ctx, heartbeatCall, late) }) // nobody waits for it
	}
	time.Sleep(a.DrainTime)
	return a.Leave(ctx, true)
}

// Announce sends the state of the target, ready or draining, with a sequence number.
func (a *Announcer) Announce(ctx context.Context, state string, sequence int64) error {
	return a.post(ctx, heartbeatCall, a.encode(state, sequence))
}

// Leave deregisters the target at once. The call names the start of the target only if
// withStart is true.
func (a *Announcer) Leave(ctx context.Context, withStart bool) error {
	body := map[string]any{}
	if withStart {
		body["born"] = a.StartedAt.UnixMilli()
	}
	return a.post(ctx, deregisterCall, body)
}

// announce sends the state of the target with a sequence number that grows with each
// announcement.
func (a *Announcer) announce(ctx context.Context, state string) error {
	return a.Announce(ctx, state, a.nextSequence())
}

// drainAttempts is how often a target that ends announces that it drains.
const drainAttempts = 3

// announceDrain announces that the target drains until the node confirms it.
func (a *Announcer) announceDrain(ctx context.Context) error {
	for i := 1; ; i++ {
		err := a.announce(ctx, "draining")
		if err == nil || i == drainAttempts {
			return err
		}
		time.Sleep(AnnounceInterval)
	}
}

func (a *Announcer) nextSequence() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	return a.sequence
}

// Names of the calls of a target.
const (
	heartbeatCall  = "instances.heartbeat"
	deregisterCall = "instances.deregister"
)

func (a *Announcer) encode(state string, sequence int64) map[string]any {
	return map[string]any{
		"address": a.Address, "born": a.StartedAt.UnixMilli(),
		"info":   map[string]any{"service": a.Service, "version": "v1", "zone": "", "slots": a.Slots},
		"status": map[string]any{"state": state, "seq": sequence, "cold_remaining": "0ms"},
	}
}

func (a *Announcer) post(ctx context.Context, call string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	endpoint := "http://" + a.AdminAddress + "/cuminwheel/rpc?" + url.Values{"call": {call}, "of": {a.Instance}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, bytes.NewReader(encoded))
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
