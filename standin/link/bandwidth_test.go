package link

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Connections must share one capacity, and what was accepted for a connection that gave up
// must still take up some of it.
func TestBandwidthIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBandwidth(1000)
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		is.True(b.Wait(ctx, 1000) != nil)
		is.Equal(time.Since(start), 100*time.Millisecond)
		go b.Wait(t.Context(), 1000)
		synctest.Wait()
		is.NoErr(b.Wait(t.Context(), 1000))
		is.Equal(time.Since(start), 3*time.Second)
		is.Equal(b.Total(), int64(3000))
	})
}
