package operator

import (
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cuminwheel/cuminwheel/version/configuration"
)

// Publication is an immutable configuration to publish. The zero Publication is
// empty.
type Publication struct {
	draft configuration.Draft
}

// NewPublication returns an empty publication with a version, which must be
// above that of the configuration in force.
func NewPublication(version uint64) Publication {
	return Publication{configuration.Draft{Version: version}}
}

// WithService returns the publication with one more service.
func (p Publication) WithService(name string) Publication {
	p.draft.Services = append(slices.Clip(p.draft.Services), configuration.DraftService{Name: name})
	return p
}

// WithRoute returns the publication with one more route.
func (p Publication) WithRoute(r Route) Publication {
	p.draft.Routes = append(slices.Clip(p.draft.Routes), r.route)
	return p
}

// Print checks the publication and writes it. The error lists every fault with
// the path of its field.
func (p Publication) Print(w io.Writer) error {
	if err := p.draft.Validate(); err != nil {
		return err
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(p.draft)
}

// Route is an immutable description of a route.
type Route struct {
	route configuration.DraftRoute
}

// NewRoute returns a route for the requests of a host under a prefix. A request
// gets its answer, or a refusal, within the timeout.
func NewRoute(name, host, prefix string, timeout time.Duration) Route {
	return Route{configuration.DraftRoute{
		Name: name, Host: host, Prefix: prefix, TimeoutMillis: int(timeout.Milliseconds()), MaxAttempts: 1,
	}}
}

// WithPart returns the route with one more service, which gets its weight's
// share of the requests.
func (r Route) WithPart(service string, weight float64) Route {
	r.route.WeightedServices = append(slices.Clip(r.route.WeightedServices), configuration.DraftWeightedService{Service: service, Weight: weight})
	return r
}

// WithNeverRepeat returns the route for requests that run at most once.
func (r Route) WithNeverRepeat() Route {
	r.route.NonIdempotent = true
	return r
}

// WithMaxAttempts returns the route for requests that may be sent to so many
// targets, one after the other.
func (r Route) WithMaxAttempts(n int) Route {
	r.route.MaxAttempts = n
	return r
}

// WithTargetLatency returns the route with the time within which an answer is
// worth most.
func (r Route) WithTargetLatency(d time.Duration) Route {
	r.route.TargetLatencyMillis = int(d.Milliseconds())
	return r
}

// WithPriority returns the route with a rank among those of its services; 0 is
// the most urgent.
func (r Route) WithPriority(n int) Route {
	r.route.Priority = n
	return r
}
