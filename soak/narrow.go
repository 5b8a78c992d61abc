package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/link"
	"github.com/cuminwheel/cuminwheel/version/configuration"
)

const (
	// narrowRoutes is the number of routes that the configuration has more if the store is
	// behind a narrow link.
	narrowRoutes = 1400
	// narrowBytesPerSecond is the capacity of a link of 60 Mbit/s.
	narrowBytesPerSecond = 60e6 / 8
)

// hasNarrowLink reports whether, in the runs of a seed, the nodes outside of the first
// region share a narrow link to the store and the configuration is large.
func hasNarrowLink(seed uint64) bool { return rand.New(rand.NewPCG(seed, 84)).IntN(3) == 0 }

// insertStorm adds versions in quick succession to a seed with a narrow link.
func insertStorm(events []event, seed uint64, duration time.Duration) []event {
	if !hasNarrowLink(seed) {
		return events
	}
	rng := rand.New(rand.NewPCG(seed, 85))
	at := time.Duration(rng.Int64N(int64(duration / 2)))
	for range 8 {
		events = insertInOrder(events, event{at: at, kind: faultPublish})
		at += time.Duration(200+rng.IntN(500)) * time.Millisecond
	}
	return events
}

// narrowLinks makes the links to the store of all nodes outside of the first region share
// one capacity.
func (f *fleet) narrowLinks() {
	shared := link.NewBandwidth(narrowBytesPerSecond)
	for i, l := range f.storeProxies {
		if f.regionOf(i) != f.regionOf(0) {
			l.SetBandwidth(shared)
		}
	}
}

// narrowRoute returns one of the further routes of a large configuration. Some change with
// each version.
func narrowRoute(i int, version uint64) configuration.DraftRoute {
	return configuration.DraftRoute{
		Name: fmt.Sprintf("further-%d", i), Host: "further.example", Prefix: fmt.Sprintf("/further/%d/", i), TimeoutMillis: 1500 + i%100,
		TargetLatencyMillis: 800 + (int(version)*i)%7, MaxAttempts: 2, WeightedServices: []configuration.DraftWeightedService{{Service: "tablero", Weight: 1}},
	}
}
