package configuration

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cuminwheel/cuminwheel/version/customer"
)

// Configuration is one version of the configuration. It is immutable.
type Configuration struct {
	// Version is higher in newer configurations; zero means that there is none.
	Version  uint64
	services map[string]Service
	limits   Limits
	// routes holds the routes of each host, the longest prefix first.
	routes    map[string][]Route
	customers customer.Directory
	modes     Modes
}

// Balancing is the way in which entries choose among gates.
type Balancing string

// Scheduling is the way in which gates and entries decide which requests wait and which
// are refused.
type Scheduling string

// The ways of balancing and scheduling. The first of each is the default.
const (
	BalancingLowestCost Balancing = "lowest_cost"
	BalancingEven       Balancing = "even"

	SchedulingDeadline Scheduling = "deadline"
	SchedulingShared   Scheduling = "shared"
)

// Modes select how requests are placed and scheduled. Empty fields mean the defaults.
type Modes struct {
	Balancing  Balancing
	Scheduling Scheduling
}

// IsEven reports whether load is balanced evenly.
func (m Modes) IsEven() bool { return m.Balancing == BalancingEven }

// IsShared reports whether the shared scheduling applies.
func (m Modes) IsShared() bool { return m.Scheduling == SchedulingShared }

// Service is a set of targets that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of a target's health check. Nodes do not use it, since
	// targets with gray failures report that they are healthy.
	HealthPath string
	// MaxConnections is how many connections one target accepts, from all clients
	// together.
	MaxConnections int
}

// Limits are the limits for connections and requests of callers. A zero field
// stands for its default.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is how long a caller may take to send the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout time.Duration
}

// Route sends the requests for a host and a path prefix to one or more services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent means that requests may run more than once. Without it each runs at
	// most once.
	Idempotent bool
	// Bulk means that bodies are large.
	Bulk Bulk
	// Public means that requests need no key, also if the configuration has customers.
	Public bool
	// Timeout is the longest time until a request gets a response or is refused.
	Timeout time.Duration
	// TargetLatency is the latency within which a response is worth most.
	TargetLatency time.Duration
	// Priority ranks the routes of a service; 0 is the highest priority.
	Priority int
	// MaxAttempts is how many targets one request may be sent to.
	MaxAttempts int
	// WeightedServices split the requests in proportion to their weights.
	WeightedServices []WeightedService
}

// Bulk says which bodies of a route are large.
type Bulk string

// The kinds of bulk routes; the empty value means that bodies are small.
const (
	BulkUpload   Bulk = "upload"
	BulkDownload Bulk = "download"
)

// WeightedService is a service of a route with its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// MaxSize bounds the sizes in a configuration, in bytes.
const MaxSize = 1 << 40

// DefaultLimits are the limits that apply unless a configuration sets others.
var DefaultLimits = Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   8 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// New returns a configuration. Limits that are zero take their default values.
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

// withDefaults returns the limits with defaults in place of zeros.
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

// Limits returns the limits for callers, with defaults for those that are zero.
func (c Configuration) Limits() Limits { return c.limits.withDefaults() }

// Service returns the named service.
func (c Configuration) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Customers returns the customers; without any, requests need no key.
func (c Configuration) Customers() customer.Directory { return c.customers }

// WithCustomers returns the configuration with the given customers.
func (c Configuration) WithCustomers(d customer.Directory) Configuration {
	c.customers = d
	return c
}

// Modes returns how requests are placed and scheduled.
func (c Configuration) Modes() Modes { return c.modes }

// WithModes returns the configuration with the given modes.
func (c Configuration) WithModes(m Modes) Configuration {
	c.modes = m
	return c
}

// RouteFor returns the route of the host with the longest prefix that matches the
// path.
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

// PickService returns the service for a point in [0, 1). The interval is divided
// among the weighted services, in their order and in proportion to their weights.
// The last one takes what rounding leaves over. A route without weighted services
// returns "".
func (r Route) PickService(point float64) string {
	totalWeight := 0.0
	for _, s := range r.WeightedServices {
		totalWeight += s.Weight
	}
	offset := point * totalWeight
	for _, s := range r.WeightedServices {
		if offset < s.Weight {
			return s.Service
		}
		offset -= s.Weight
	}
	if len(r.WeightedServices) == 0 {
		return ""
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
