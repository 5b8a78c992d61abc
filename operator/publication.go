package operator

import (
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cuminwheel/cuminwheel/version/configuration"
)

// Publication is an immutable configuration to be published. The zero value is an
// empty configuration without a version.
type Publication struct {
	draft configuration.Draft
}

// NewPublication returns an empty configuration. Its version must be above that of
// the active configuration.
func NewPublication(version uint64) Publication {
	return Publication{configuration.Draft{Version: version}}
}

// WithService returns a copy with the service added.
func (p Publication) WithService(name string) Publication {
	p.draft.Services = append(slices.Clip(p.draft.Services), configuration.DraftService{Name: name})
	return p
}

// WithRoute returns a copy with the route added.
func (p Publication) WithRoute(r Route) Publication {
	p.draft.Routes = append(slices.Clip(p.draft.Routes), r.route)
	return p
}

// Customer is a customer of a configuration. Its callers identify themselves by one of its
// keys.
type Customer = configuration.DraftCustomer

// WithCustomer returns a copy with the customer added. With any customer, requests need a
// key, except those of public routes.
func (p Publication) WithCustomer(c Customer) Publication {
	c.Keys = slices.Clone(c.Keys)
	p.draft.Customers = append(slices.Clip(p.draft.Customers), c)
	return p
}

// Print checks the configuration and writes it to w in JSON. If the configuration
// is invalid, Print writes nothing and returns a *configuration.ValidationError,
// which lists each invalid field by its path.
func (p Publication) Print(w io.Writer) error {
	if err := p.draft.Validate(); err != nil {
		return err
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(p.draft)
}

// Route is an immutable route: which requests it matches, the services that they go
// to, their time limits and whether they may be retried.
type Route struct {
	route configuration.DraftRoute
}

// NewRoute returns a route for the requests to a host whose paths begin with prefix.
// A request is answered or refused within the timeout. It is sent to one target
// only, unless WithMaxAttempts allows more.
func NewRoute(name, host, prefix string, timeout time.Duration) Route {
	return Route{configuration.DraftRoute{
		Name: name, Host: host, Prefix: prefix, TimeoutMillis: int(timeout.Milliseconds()), MaxAttempts: 1,
	}}
}

// WithPart returns a copy with a service added. Requests are divided among the
// route's services in proportion to their weights.
func (r Route) WithPart(service string, weight float64) Route {
	r.route.WeightedServices = append(slices.Clip(r.route.WeightedServices), configuration.DraftWeightedService{Service: service, Weight: weight})
	return r
}

// WithNeverRepeat returns a copy whose requests are not idempotent: each one runs at
// most once.
func (r Route) WithNeverRepeat() Route {
	r.route.NonIdempotent = true
	return r
}

// WithPublic returns a copy whose requests need no key.
func (r Route) WithPublic() Route {
	r.route.Public = true
	return r
}

// WithBulk returns a copy with large bodies. Requests of an upload route run at most once.
func (r Route) WithBulk(b configuration.Bulk) Route {
	r.route.Bulk = b
	return r
}

// WithMaxAttempts returns a copy whose requests may be sent to up to n targets, one
// after the other.
func (r Route) WithMaxAttempts(n int) Route {
	r.route.MaxAttempts = n
	return r
}

// WithTargetLatency returns a copy with a latency goal: the time within which a
// response is worth most to the caller.
func (r Route) WithTargetLatency(d time.Duration) Route {
	r.route.TargetLatencyMillis = int(d.Milliseconds())
	return r
}

// WithPriority returns a copy with a priority relative to the other routes of its
// services; 0 is the highest priority.
func (r Route) WithPriority(n int) Route {
	r.route.Priority = n
	return r
}
