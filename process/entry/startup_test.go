package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// laterConfiguration has none until its channel is closed.
type laterConfiguration struct {
	fixedConfiguration
	changed chan struct{}
}

func (c laterConfiguration) Changed() <-chan struct{} { return c.changed }
func (c laterConfiguration) Configuration() configuration.Configuration {
	select {
	case <-c.changed:
		return c.held
	default:
		return configuration.Configuration{}
	}
}

// When no configuration is known, callers are told to come back, not that there
// is no route.
func TestWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, serves("a"))
	f.entry.options.Configurations = fixedConfiguration{}
	f.entry.started = time.Now().Add(-startTime)
	a := f.call(t, "/read/")
	is.Equal(a.Status, http.StatusServiceUnavailable)
	is.Equal(a.Header.Get("Retry-After"), "0.500")
}

// Just after a start requests wait for the first configuration; later they are
// told at once to come back.
func TestFirstConfigurationIsAwaited(t *testing.T) {
	tests := []struct {
		name       string
		age, after time.Duration
		status     int
	}{
		{"soon after the start", 0, 100 * time.Millisecond, http.StatusOK},
		{"too late after the start", 0, 2 * startTime, http.StatusServiceUnavailable},
		{"long after the start", 2 * startTime, 100 * time.Millisecond, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, serves("a"))
			later := laterConfiguration{f.entry.options.Configurations.(fixedConfiguration), make(chan struct{})}
			f.entry.options.Configurations = later
			f.entry.started = time.Now().Add(-test.age)
			timer := time.AfterFunc(test.after, func() { close(later.changed) })
			defer timer.Stop()
			is.Equal(f.call(t, "/read/").Status, test.status)
		})
	}
}

// laterNodes are unknown until a time.
type laterNodes struct {
	fixedNodes
	from time.Time
}

func (n laterNodes) Version() uint64 { return uint64(len(n.Nodes())) }
func (n laterNodes) Nodes() []membership.Record {
	if time.Now().Before(n.from) {
		return nil
	}
	return n.fixedNodes
}

// Just after a start requests wait for the nodes of their service as well.
func TestFirstNodesAreAwaited(t *testing.T) {
	tests := []struct {
		name   string
		age    time.Duration
		status int
	}{
		{"soon after the start", 0, http.StatusOK},
		{"long after the start", 2 * startTime, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, serves("a"))
			f.entry.directory.nodes = laterNodes{f.entry.options.Nodes.(fixedNodes), time.Now().Add(80 * time.Millisecond)}
			f.entry.started = time.Now().Add(-test.age)
			is.Equal(f.call(t, "/read/").Status, test.status)
		})
	}
}
