package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against nodes that serve no customer for seconds after the store is back: each has
// read the configuration from it, but asks for the records of nodes after a delay that has
// grown during the outage.
func TestRetryWhenChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const outage = 20 * time.Second
		start, changed := time.Now(), make(chan struct{})
		time.AfterFunc(outage, func() { close(changed) })
		attempts := 0
		retryWhen(t.Context(), func() <-chan struct{} {
			if time.Since(start) >= outage {
				return nil // another configuration would have another channel
			}
			return changed
		}, func() bool {
			attempts++
			return time.Since(start) >= outage
		})
		is.Equal(time.Since(start), outage)
		is.True(attempts < 25) // still with a backoff
		// Without changes the delays grow to twice maxRetryDelay at most.
		start = time.Now()
		retry(t.Context(), func() bool { return time.Since(start) >= outage })
		is.True(time.Since(start) < outage+3*time.Second)
	})
}
