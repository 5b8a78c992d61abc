package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/go-faster/errors"
)

// Announcer keeps a target announced to the node beside it.
type Announcer struct {
	// Admin is the node's admin address.
	Admin string
	gate.Announcement
}

const (
	announceInterval = time.Second
	announceTimeout  = 2 * time.Second
)

// Run announces the target until ctx is done.
func (a Announcer) Run(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		_ = a.Announce(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Announce renews the announcement once.
func (a Announcer) Announce(ctx context.Context) error {
	body, err := json.Marshal(a.Announcement)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	return a.call(ctx, http.MethodPost, "/v1/targets", body)
}

// Withdraw takes the announcement back.
func (a Announcer) Withdraw(ctx context.Context) error {
	return a.call(ctx, http.MethodDelete, "/v1/targets/"+a.Address, nil)
}

func (a Announcer) call(ctx context.Context, method, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.Admin+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make announcement")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		return errors.Errorf("announce: status %d", res.StatusCode)
	}
	return nil
}
