package configuration

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Configuration is one published version.
type Configuration struct {
	// Version orders configurations; zero stands for none.
	Version  uint64
	services map[string]Service
	limits   Limits
	// routes are those of a host, the longest prefix first.
	routes map[string][]Route
}

// Service is a set of targets that do the same work.
type Service struct {
	Name string
	// HealthPath answers whether a target thinks that it is healthy. Nodes do
	// not ask, since targets with gray failures say that they are.
	HealthPath string
	// MaxConnections is how many connections one target takes, from all.
	MaxConnections int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a caller's connection may carry no request.
	IdleTimeout time.Duration
}

// Route sends the requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once; all others at most once.
	Idempotent bool
	// Timeout is the longest that a request may be kept without an answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is worth most.
	TargetLatency time.Duration
	// Priority ranks the routes of a service; 0 is the most urgent.
	Priority int
	// MaxAttempts is how many targets one request may be sent to.
	MaxAttempts int
	// WeightedServices share the requests in proportion to their weights.
	WeightedServices []WeightedService
}

// WeightedService is a service's share of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// DefaultLimits hold until a configuration sets others.
var DefaultLimits = Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   8 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// New returns a configuration. Limits that are zero get their defaults.
func New(version uint64, services []Service, limits Limits, routes []Route) Configuration {
	c := Configuration{
		Version:  version,
		services: map[string]Service{},
		limits:   limits.withDefaults(),
		routes:   map[string][]Route{},
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = DefaultLimits.MaxHeaderBytes
	}
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = DefaultLimits.MaxBodyBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = DefaultLimits.HeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = DefaultLimits.IdleTimeout
	}
	return l
}

// Limits returns the bounds of what callers may send.
func (c Configuration) Limits() Limits { return c.limits.withDefaults() }

// Service returns the named service.
func (c Configuration) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// RouteFor returns the route of the host with the longest prefix that begins
// the path.
func (c Configuration) RouteFor(host, path string) (Route, bool) {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// RouteCount returns the number of routes.
func (c Configuration) RouteCount() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}

// PickService returns the service that the point, from 0 to 1, falls to when the
// parts lie side by side in proportion to their weights.
func (r Route) PickService(point float64) string {
	total := 0.0
	for _, p := range r.WeightedServices {
		total += p.Weight
	}
	at := point * total
	for _, p := range r.WeightedServices {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	if len(r.WeightedServices) == 0 {
		return ""
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
