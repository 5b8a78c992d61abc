package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// delayedConfiguration has no configuration until its channel is closed.
type delayedConfiguration struct {
	staticConfiguration
	changed chan struct{}
}

func (c delayedConfiguration) Changed() <-chan struct{} { return c.changed }
func (c delayedConfiguration) Configuration() configuration.Configuration {
	select {
	case <-c.changed:
		return c.current
	default:
		return configuration.Configuration{}
	}
}

// Without a configuration, callers must get a 503 with a Retry-After and not the
// 404 for a missing route, on which they would give up.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	f := newGateFleet(t, respondOK("a"))
	f.entry.options.Configurations = staticConfiguration{}
	f.entry.startedAt = time.Now().Add(-startupWait)
	resp := f.call(t, "/read/")
	is.Equal(resp.Status, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Retry-After"), "0.500")
}

// Right after the start, requests wait for the first configuration; later they
// are refused at once with a Retry-After.
func TestStartupWaitsForConfiguration(t *testing.T) {
	tests := []struct {
		name       string
		age, after time.Duration
		status     int
	}{
		{"soon after the start", 0, 100 * time.Millisecond, http.StatusOK},
		{"too late after the start", 0, 2 * startupWait, http.StatusServiceUnavailable},
		{"long after the start", 2 * startupWait, 100 * time.Millisecond, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newGateFleet(t, respondOK("a"))
			delayed := delayedConfiguration{f.entry.options.Configurations.(staticConfiguration), make(chan struct{})}
			f.entry.options.Configurations = delayed
			f.entry.startedAt = time.Now().Add(-test.age)
			timer := time.AfterFunc(test.after, func() { close(delayed.changed) })
			defer timer.Stop()
			is.Equal(f.call(t, "/read/").Status, test.status)
		})
	}
}

// delayedNodes returns no nodes until availableAt.
type delayedNodes struct {
	staticNodes
	availableAt time.Time
}

func (n delayedNodes) Version() uint64 { return uint64(len(n.Nodes())) }
func (n delayedNodes) Nodes() []membership.Record {
	if time.Now().Before(n.availableAt) {
		return nil
	}
	return n.staticNodes
}

// Right after the start, requests wait for the first nodes of their service.
func TestStartupWaitsForNodes(t *testing.T) {
	tests := []struct {
		name   string
		age    time.Duration
		status int
	}{
		{"soon after the start", 0, http.StatusOK},
		{"long after the start", 2 * startupWait, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newGateFleet(t, respondOK("a"))
			f.entry.directory.nodes = delayedNodes{f.entry.options.Nodes.(staticNodes), time.Now().Add(80 * time.Millisecond)}
			f.entry.startedAt = time.Now().Add(-test.age)
			is.Equal(f.call(t, "/read/").Status, test.status)
		})
	}
}
