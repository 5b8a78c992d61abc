// Package pause waits for a time unless a context ends before.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx is done.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Until waits for the given time or until ctx is done.
func Until(ctx context.Context, at time.Time) { For(ctx, time.Until(at)) }
