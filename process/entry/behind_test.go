package entry

import (
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// callBehind sends a request to an entry that has the configuration before and knows of a
// version. The configuration after arrives later. It returns the status and how long the
// request took.
func callBehind(t *testing.T, before, after configuration.Configuration, known uint64, arrivesIn time.Duration, path, key string) (status int, took time.Duration) {
	t.Helper()
	f := newGateFleet(t, respondOK("a"))
	configurations := f.use(before)
	f.entry.options.KnownVersion = func() uint64 { return known }
	c := f.newCaller(t)
	timer := time.AfterFunc(arrivesIn, func() { configurations.set(after) })
	defer timer.Stop()
	startedAt := time.Now()
	resp, _ := c.call(path, key)
	return resp.Status, time.Since(startedAt)
}

// A key that another node may know already must not get 401: the request waits for the newer
// configuration, and is refused for now if it does not come within a second. A key that the
// newest known configuration does not have must get 401 as soon as this is known.
func TestUnknownKeyWaitsForNewerConfiguration(t *testing.T) {
	tests := []struct {
		name        string
		key         string
		known       uint64
		arrivesIn   time.Duration
		status      int
		least, most time.Duration
	}{
		{"arrives in time", "k2", 2, 200 * time.Millisecond, 200, 200 * time.Millisecond, 900 * time.Millisecond},
		{"does not arrive", "k2", 2, time.Minute, 503, newVersionWait, newVersionWait + 500*time.Millisecond},
		{"arrives without the key", "k3", 2, 200 * time.Millisecond, 401, 200 * time.Millisecond, 900 * time.Millisecond},
		{"no newer one is known", "k2", 1, time.Minute, 401, 0, 200 * time.Millisecond},
		{"no key", "", 2, time.Minute, 401, 0, 200 * time.Millisecond},
		{"known key", "k1", 2, time.Minute, 200, 0, 200 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			status, took := callBehind(t, customersConfiguration(1, "k1"), customersConfiguration(2, "k2"), test.known, test.arrivesIn, "/claim/", test.key)
			is.Equal(status, test.status)
			is.True(took >= test.least-20*time.Millisecond)
			is.True(took <= test.most)
		})
	}
}

// Guards against a 404 for a route that a newer version has, at a node that knows of this
// version and does not have it yet.
func TestUnknownRouteWaitsForNewerConfiguration(t *testing.T) {
	withRoute := configuration.New(2, []configuration.Service{{Name: "s"}}, configuration.Limits{}, []configuration.Route{{
		Name: "new", Host: "h", Prefix: "/new/", Timeout: 2 * time.Second, TargetLatency: time.Second, MaxAttempts: 2,
		WeightedServices: []configuration.WeightedService{{Service: "s", Weight: 1}},
	}})
	tests := []struct {
		name, path  string
		known       uint64
		arrivesIn   time.Duration
		status      int
		least, most time.Duration
	}{
		{"arrives in time", "/new/", 2, 200 * time.Millisecond, 200, 200 * time.Millisecond, 900 * time.Millisecond},
		{"does not arrive", "/new/", 2, time.Minute, 503, newVersionWait, newVersionWait + 500*time.Millisecond},
		{"arrives without the route", "/other/", 2, 200 * time.Millisecond, 404, 200 * time.Millisecond, 900 * time.Millisecond},
		{"no newer one is known", "/new/", 1, time.Minute, 404, 0, 200 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			status, took := callBehind(t, customersConfiguration(1), withRoute, test.known, test.arrivesIn, test.path, "")
			is.Equal(status, test.status)
			is.True(took >= test.least-20*time.Millisecond)
			is.True(took <= test.most)
		})
	}
}
