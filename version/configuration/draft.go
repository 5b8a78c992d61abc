package configuration

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Draft is a configuration as operators write it, in JSON.
type Draft struct {
	Version  uint64         `json:"version"`
	Services []DraftService `json:"services"`
	Limits   *DraftLimits   `json:"limits,omitempty"`
	Routes   []DraftRoute   `json:"routes"`
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
	WeightedServices    []DraftWeightedService `json:"parts"`
}

// DraftWeightedService is a service's share of a route in a draft.
type DraftWeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Violation is one wrong field of a draft.
type Violation struct {
	// Field is the path of the field, as in routes[2].prefix.
	Field string
	// Remedy says what to write there.
	Remedy string
}

// ValidationError lists every fault of a draft.
type ValidationError struct{ Violations []Violation }

func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, f := range e.Violations {
		lines[i] = f.Field + ": " + f.Remedy
	}
	return strings.Join(lines, "\n")
}

// ErrSyntax means that a draft is no JSON of the expected shape.
var ErrSyntax = errors.New("the configuration cannot be read")

// ReadDraft reads a draft and checks it.
func ReadDraft(r io.Reader) (Draft, error) {
	var d Draft
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Draft{}, errors.Wrap(ErrSyntax, err.Error())
	}
	return d, d.Validate()
}

// Validate returns a *ValidationError that lists every fault, or nil.
func (d Draft) Validate() error {
	var faults []Violation
	add := func(field, remedy string, args ...any) {
		faults = append(faults, Violation{Field: field, Remedy: fmt.Sprintf(remedy, args...)})
	}
	if d.Version == 0 {
		add("version", "give a number above that of the configuration in force")
	}
	names := map[string]bool{}
	for i, s := range d.Services {
		field := fmt.Sprintf("services[%d].name", i)
		switch {
		case s.Name == "":
			add(field, "name the service")
		case names[s.Name]:
			add(field, "%s is there twice; remove one", s.Name)
		}
		names[s.Name] = true
	}
	seen := map[string]bool{}
	for i, r := range d.Routes {
		r.check(fmt.Sprintf("routes[%d]", i), names, add)
		key := r.Host + " " + r.Prefix
		if seen[key] {
			add(fmt.Sprintf("routes[%d].prefix", i), "another route has the same host and prefix; remove one")
		}
		seen[key] = true
	}
	if len(faults) == 0 {
		return nil
	}
	return &ValidationError{Violations: faults}
}

func (r DraftRoute) check(at string, services map[string]bool, add func(field, remedy string, args ...any)) {
	if r.Host == "" {
		add(at+".host", "name the host, without a port")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		add(at+".prefix", "%q: begin and end with /", r.Prefix)
	}
	if r.TimeoutMillis <= 0 {
		add(at+".timeout_ms", "give a number of milliseconds above 0")
	}
	if r.TargetLatencyMillis < 0 || r.TargetLatencyMillis > r.TimeoutMillis {
		add(at+".target_latency_ms", "give a number from 0 to timeout_ms")
	}
	if r.MaxAttempts < 0 {
		add(at+".max_attempts", "give a number from 1, or leave it out for 1")
	}
	if len(r.WeightedServices) == 0 {
		add(at+".parts", "name one service or more")
	}
	total := 0.0
	for i, p := range r.WeightedServices {
		if !services[p.Service] {
			add(fmt.Sprintf("%s.parts[%d].service", at, i), "%q is not among the services; add it there", p.Service)
		}
		if p.Weight < 0 {
			add(fmt.Sprintf("%s.parts[%d].weight", at, i), "give a number from 0")
		}
		total += p.Weight
	}
	if len(r.WeightedServices) > 0 && total <= 0 {
		add(at+".parts", "give one part a weight above 0")
	}
}

// Configuration returns the immutable form of a checked draft.
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
	return New(d.Version, services, limits, routes)
}

func (r DraftRoute) route() Route {
	out := Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: !r.NonIdempotent,
		Timeout:       time.Duration(r.TimeoutMillis) * time.Millisecond,
		TargetLatency: time.Duration(r.TargetLatencyMillis) * time.Millisecond,
		Priority:      r.Priority, MaxAttempts: max(1, r.MaxAttempts),
	}
	for _, p := range r.WeightedServices {
		out.WeightedServices = append(out.WeightedServices, WeightedService(p))
	}
	return out
}
