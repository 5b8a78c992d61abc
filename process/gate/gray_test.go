package gate

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// replayGray sends a load for 8 s to a gate whose target refuses half of its requests at
// any load, and returns how many of them the target has run.
func replayGray(t *testing.T, isShared bool, slots int, rate float64, duration time.Duration, seed uint64) int {
	g := newSharedGate(t, slots)
	if !isShared {
		g.options.Modes = nil
	}
	startedAt := time.Now()
	r := &shedReplay{lastSentAt: startedAt}
	random := rand.New(rand.NewPCG(seed, 2))
	waits := []time.Duration{0, 250 * time.Millisecond, 700 * time.Millisecond}
	var senders sync.WaitGroup
	for i := 0; time.Since(startedAt) < 8*time.Second; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		isRefused := random.IntN(2) == 0
		senders.Go(func() {
			r.sendOne(t, g, waits[i%len(waits)], duration, startedAt, func(time.Time) bool { return isRefused })
		})
	}
	senders.Wait()
	return r.served
}

// Guards against the loss of worth on the heaviest days with a limit that refusals lower:
// targets that refuse half of their requests at any load complete the more the more they
// get. Such a target must complete nearly as many as with the default scheduling.
func TestGrayTargetKeepsItsSlots(t *testing.T) {
	tests := []struct {
		name     string
		slots    int
		rate     float64
		duration time.Duration
	}{
		{"rides", 5, 40, 150 * time.Millisecond},
		{"rides, burst", 5, 100, 150 * time.Millisecond},
		{"atlas", 15, 120, 60 * time.Millisecond},
		{"atlas, burst", 15, 600, 60 * time.Millisecond},
		{"long requests", 15, 20, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			// Ten refusals in a row are rare, so that one replay alone shows little.
			const replays = 10
			byDefault, shared := 0, 0
			for seed := range uint64(replays) {
				synctest.Test(t, func(t *testing.T) {
					byDefault += replayGray(t, false, test.slots, test.rate, test.duration, seed)
				})
				synctest.Test(t, func(t *testing.T) {
					shared += replayGray(t, true, test.slots, test.rate, test.duration, seed)
				})
			}
			t.Logf("completed with the default scheduling %d, with the shared one %d", byDefault, shared)
			is.True(float64(shared) >= 0.95*float64(byDefault))
		})
	}
}
