package configuration

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"github.com/cuminwheel/cuminwheel/request/field"
	"github.com/go-faster/errors"
)

// Draft is a configuration in the form in which operators write it, in JSON.
type Draft struct {
	Version  uint64         `json:"version"`
	Services []DraftService `json:"services"`
	Limits   *DraftLimits   `json:"limits,omitempty"`
	Routes   []DraftRoute   `json:"routes"`
	// Customers are optional. With any, requests of routes that are not public need a key.
	Customers []DraftCustomer `json:"customers,omitempty"`
	// Balancing and Scheduling are empty for the defaults.
	Balancing  Balancing  `json:"balancing,omitempty"`
	Scheduling Scheduling `json:"scheduling,omitempty"`
}

// DraftService is a service in a draft.
type DraftService struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path,omitempty"`
	MaxConnections int    `json:"max_connections,omitempty"`
}

// DraftLimits are the limits in a draft.
type DraftLimits struct {
	MaxHeaderBytes      int   `json:"head_bytes,omitempty"`
	MaxBodyBytes        int64 `json:"body_bytes,omitempty"`
	HeaderTimeoutMillis int   `json:"head_timeout_ms,omitempty"`
	IdleTimeoutMillis   int   `json:"idle_timeout_ms,omitempty"`
}

// DraftRoute is a route in a draft.
type DraftRoute struct {
	Name                string                 `json:"name"`
	Host                string                 `json:"host"`
	Prefix              string                 `json:"prefix"`
	NonIdempotent       bool                   `json:"never_repeat,omitempty"`
	TimeoutMillis       int                    `json:"timeout_ms"`
	TargetLatencyMillis int                    `json:"target_latency_ms,omitempty"`
	Priority            int                    `json:"priority,omitempty"`
	MaxAttempts         int                    `json:"max_attempts,omitempty"`
	Public              bool                   `json:"public,omitempty"`
	Bulk                Bulk                   `json:"bulk,omitempty"`
	WeightedServices    []DraftWeightedService `json:"parts"`
}

// DraftWeightedService is a service of a route with its weight, in a draft.
type DraftWeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Violation describes one invalid field of a draft.
type Violation struct {
	// Field is the path of the field, as in routes[2].prefix.
	Field string
	// Remedy tells the operator how to correct the field.
	Remedy string
}

// ValidationError lists all violations in a draft.
type ValidationError struct{ Violations []Violation }

func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		lines[i] = v.Field + ": " + v.Remedy
	}
	return strings.Join(lines, "\n")
}

// ErrSyntax means that a draft is not valid JSON or has fields that are unknown or
// of the wrong type.
var ErrSyntax = errors.New("malformed configuration")

// ReadDraft decodes and validates a draft. Errors are a *ValidationError or wrap
// ErrSyntax.
func ReadDraft(r io.Reader) (Draft, error) {
	var d Draft
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Draft{}, errors.Wrap(ErrSyntax, err.Error())
	}
	return d, d.Validate()
}

// Validate returns a *ValidationError with every violation, or nil.
func (d Draft) Validate() error {
	var violations []Violation
	add := func(path, remedy string, args ...any) {
		violations = append(violations, Violation{Field: path, Remedy: fmt.Sprintf(remedy, args...)})
	}
	if d.Version == 0 || d.Version > math.MaxInt64 {
		add("version", "set a version above that of the active configuration, at most %d", math.MaxInt64)
	}
	d.Limits.validate(add)
	serviceNames := map[string]bool{}
	for i, s := range d.Services {
		path := fmt.Sprintf("services[%d].name", i)
		switch {
		case s.Name == "":
			add(path, "set the name of the service")
		case serviceNames[s.Name]:
			add(path, "%s is defined twice; remove one definition", s.Name)
		}
		serviceNames[s.Name] = true
	}
	seenPrefixes := map[string]bool{}
	for i, r := range d.Routes {
		r.validate(fmt.Sprintf("routes[%d]", i), serviceNames, add)
		key := r.Host + " " + r.Prefix
		if seenPrefixes[key] {
			add(fmt.Sprintf("routes[%d].prefix", i), "another route has the same host and prefix; remove one of them")
		}
		seenPrefixes[key] = true
	}
	validateCustomers(d.Customers, add)
	switch d.Balancing {
	case "", BalancingLowestCost, BalancingEven:
	default:
		add("balancing", "%q is unknown; set %q or %q", d.Balancing, BalancingLowestCost, BalancingEven)
	}
	switch d.Scheduling {
	case "", SchedulingDeadline, SchedulingShared:
	default:
		add("scheduling", "%q is unknown; set %q or %q", d.Scheduling, SchedulingDeadline, SchedulingShared)
	}
	if len(violations) == 0 {
		return nil
	}
	return &ValidationError{Violations: violations}
}

// validate calls add for each violation in the route. path is the path of the
// route, and services are the names of all services.
func (r DraftRoute) validate(path string, services map[string]bool, add func(path, remedy string, args ...any)) {
	if r.Host == "" {
		add(path+".host", "set the host, without a port")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add(path+".prefix", "%q must begin and end with /", r.Prefix)
	}
	if r.TimeoutMillis <= 0 || r.TimeoutMillis > maxMillis {
		add(path+".timeout_ms", "set a number of milliseconds above 0, at most %d", maxMillis)
	}
	if r.TargetLatencyMillis < 0 || r.TargetLatencyMillis > r.TimeoutMillis {
		add(path+".target_latency_ms", "set a number from 0 to timeout_ms")
	}
	if r.MaxAttempts < 0 || r.MaxAttempts > field.MaxCount {
		add(path+".max_attempts", "set a number of at least 1 and at most %d, or omit the field for 1", field.MaxCount)
	}
	if r.Priority < 0 || r.Priority > field.MaxPriority {
		add(path+".priority", "set a number of at least 0 and at most %d", field.MaxPriority)
	}
	switch {
	case r.Bulk == BulkDownload && r.NonIdempotent:
		add(path+".bulk", "requests of a download route may be repeated; remove bulk or never_repeat")
	case r.Bulk != "" && r.Bulk != BulkUpload && r.Bulk != BulkDownload:
		add(path+".bulk", "%q is unknown; set %q or %q, or omit the field", r.Bulk, BulkUpload, BulkDownload)
	}
	if len(r.WeightedServices) == 0 {
		add(path+".parts", "add at least one service")
	}
	totalWeight := 0.0
	for i, s := range r.WeightedServices {
		if !services[s.Service] {
			add(fmt.Sprintf("%s.parts[%d].service", path, i), "%q is not defined; add it to services", s.Service)
		}
		if !(s.Weight >= 0 && s.Weight <= field.MaxRate) {
			add(fmt.Sprintf("%s.parts[%d].weight", path, i), "set a number of at least 0 and at most %g", float64(field.MaxRate))
		}
		totalWeight += s.Weight
	}
	if len(r.WeightedServices) > 0 && totalWeight <= 0 {
		add(path+".parts", "set a weight above 0 for at least one service")
	}
}

// maxMillis is the longest time that a draft may set, in ms.
const maxMillis = int(field.MaxDuration / time.Millisecond)

// validate calls add for each violation in the limits, which may be nil.
func (l *DraftLimits) validate(add func(path, remedy string, args ...any)) {
	if l == nil {
		return
	}
	for _, n := range []struct {
		path            string
		value, greatest int64
	}{
		{"head_bytes", int64(l.MaxHeaderBytes), MaxSize}, {"body_bytes", l.MaxBodyBytes, MaxSize},
		{"head_timeout_ms", int64(l.HeaderTimeoutMillis), int64(maxMillis)}, {"idle_timeout_ms", int64(l.IdleTimeoutMillis), int64(maxMillis)},
	} {
		if n.value < 0 || n.value > n.greatest {
			add("limits."+n.path, "set a number of at least 0 and at most %d, or omit the field for the default", n.greatest)
		}
	}
}

// Configuration returns the Configuration for a valid draft.
func (d Draft) Configuration() Configuration {
	var services []Service
	for _, s := range d.Services {
		services = append(services, Service(s))
	}
	var limits Limits
	if d.Limits != nil {
		limits = Limits{
			MaxHeaderBytes: d.Limits.MaxHeaderBytes,
			MaxBodyBytes:   d.Limits.MaxBodyBytes,
			HeaderTimeout:  time.Duration(d.Limits.HeaderTimeoutMillis) * time.Millisecond,
			IdleTimeout:    time.Duration(d.Limits.IdleTimeoutMillis) * time.Millisecond,
		}
	}
	var routes []Route
	for _, r := range d.Routes {
		routes = append(routes, r.route())
	}
	return New(d.Version, services, limits, routes).
		WithCustomers(d.customerDirectory()).WithModes(Modes{Balancing: d.Balancing, Scheduling: d.Scheduling})
}

// IsNonIdempotent reports whether the requests of a valid route run at most once. Those of
// an upload route do, even if the draft does not say so.
func (r DraftRoute) IsNonIdempotent() bool { return r.NonIdempotent || r.Bulk == BulkUpload }

// route returns the Route for a valid route of a draft.
func (r DraftRoute) route() Route {
	out := Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: !r.IsNonIdempotent(),
		Bulk: r.Bulk, Public: r.Public,
		Timeout:       time.Duration(r.TimeoutMillis) * time.Millisecond,
		TargetLatency: time.Duration(r.TargetLatencyMillis) * time.Millisecond,
		Priority:      r.Priority, MaxAttempts: max(1, r.MaxAttempts),
	}
	for _, s := range r.WeightedServices {
		out.WeightedServices = append(out.WeightedServices, WeightedService(s))
	}
	return out
}
