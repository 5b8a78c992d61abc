package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/cuminwheel/cuminwheel/version/customer"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
)

// Headers reads the platform's headers in requests and responses.
type Headers interface {
	// ParseCallerHeaders returns the metadata of a caller's request. Its deadline
	// counts from arrived.
	ParseCallerHeaders(h http.Header, arrived time.Time) metadata.CallerRequest
	// ResponseRequestID returns the ID of the request that a response belongs
	// to.
	ResponseRequestID(h http.Header) string
	// RemoveCallerIdentity removes the headers with the key and the customer of a
	// caller's request.
	RemoveCallerIdentity(h http.Header)
}

// Configurations supplies the active configuration.
type Configurations interface {
	// Configuration returns the active configuration. Its version is 0 if none
	// is known yet.
	Configuration() configuration.Configuration
	// Changed returns a channel that is closed when the active configuration
	// changes.
	Changed() <-chan struct{}
}

// Meter records the entry's metrics.
type Meter interface {
	// RecordEntryRequest records a caller's request that has ended. code is
	// empty if the response of a target is returned.
	RecordEntryRequest(route string, code outcome.Code, took time.Duration)
	// RecordGateAttempt records an attempt at a gate of the given tier.
	RecordGateAttempt(tier string, code outcome.Code)
	// RecordEvenChoice records a choice of even balancing: the load of the busiest
	// gate relative to the mean, as known, and the age of what is known of the chosen
	// one.
	RecordEvenChoice(service string, spread float64, age time.Duration)
	// RecordOverruledChoice records that a gate that even balancing chose refused the
	// request.
	RecordOverruledChoice(service string, code outcome.Code)
	RefusalMeter
}

// Quarantine knows the requests that crash targets.
type Quarantine interface {
	// QuarantinedUntil returns until when a request must not be run, or zero.
	QuarantinedUntil(request fingerprint.Fingerprint, now time.Time) time.Time
	// Peek is QuarantinedUntil without removing expired entries.
	Peek(request fingerprint.Fingerprint, now time.Time) time.Time
	// TrialDue returns the round of the trial that a quarantined request may run now.
	TrialDue(request fingerprint.Fingerprint, now time.Time) (round uint64, isDue bool)
}

// Contacts records which nodes were reached.
type Contacts interface {
	Record(peer string, reached bool, now time.Time)
}

// Options configures an Entry.
type Options struct {
	// Service is the service of the VM on which the entry runs.
	Service string
	// Node is the control address of the node itself.
	Node           string
	DataCentre     string
	Region         string
	Nodes          NodeSource
	Configurations Configurations
	Headers        Headers
	Logger         hclog.Logger
	Meter          Meter
	Quarantine     Quarantine
	// Contacts records which nodes were reached; nil records nothing.
	Contacts Contacts
	// Quotas limits the requests of customers; nil sets no limit.
	Quotas Quotas
	// Bodies is the budget for the bodies of responses; nil sets no limit.
	Bodies *http1.BodyBudget
	// ShutdownDeadline returns when requests in progress at a leaving node must
	// have ended, or zero if the node is not leaving.
	ShutdownDeadline func() time.Time
	// KnownVersion returns the newest configuration version that any node is known to
	// have.
	KnownVersion func() uint64
}

// Entry accepts requests from callers and dispatches them to gates.
type Entry struct {
	options   Options
	directory *directory
	refusals  *refusals
	// startedAt is the start of the startup wait.
	startedAt time.Time

	mu sync.Mutex
	// splitPoints holds the last point of each route's sequence, by route name.
	splitPoints map[string]float64

	keyWatch keyWatch
}

// New returns an entry and a function that closes its connections to gates.
func New(o Options) (*Entry, func()) {
	d := newDirectory(o.Nodes, o.DataCentre, o.Region, o.Bodies)
	e := &Entry{options: o, directory: d, refusals: newRefusals(), startedAt: time.Now(), splitPoints: map[string]float64{}}
	return e, func() {
		e.keyWatch.close()
		d.close()
	}
}

// call is a caller's request with its route and deadline.
type call struct {
	id                   string
	in                   *http1.IncomingRequest
	header               http.Header
	body                 []byte
	fingerprint          fingerprint.Fingerprint
	configurationVersion uint64
	route                configuration.Route
	service              string
	deadline             time.Time
	// isCutByShutdown means that the deadline is that of the node, which is leaving.
	isCutByShutdown bool
	// key is the caller's key. It must not be logged or forwarded.
	key string
	// customer is that of the key; its name is empty if the request needs no key.
	customer customer.Customer
	// modes and hasCustomers are those of the configuration that the route is from.
	modes        configuration.Modes
	hasCustomers bool
	// returnSoftDeadline is the soft deadline of a request that was refused before, or
	// zero. Only the shared scheduling sets it.
	returnSoftDeadline time.Time
}

// relayMargin is the time between the latest deadline of a request and the
// shutdown deadline of a leaving node. After the request's deadline, the gate
// waits 30 ms for the target's response and the entry 80 ms for the gate's result
// (resultGrace), 110 ms in all.
const relayMargin = 150 * time.Millisecond

// startupWait is how long after its start an entry lets requests wait for the
// first configuration and for the first nodes of their service. Connecting to
// the store in another region and reading it takes 120 ms; the rest allows for
// a VM that starts at the same time as all others.
const startupWait = 600 * time.Millisecond

// awaitConfiguration returns the active configuration. During startupWait it
// waits for the first one, because requests that waited for the node arrive
// right after its start.
func (e *Entry) awaitConfiguration(ctx context.Context) configuration.Configuration {
	changed := e.options.Configurations.Changed()
	if c := e.options.Configurations.Configuration(); c.Version > 0 {
		return c
	}
	timer := time.NewTimer(time.Until(e.startedAt.Add(startupWait)))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return e.options.Configurations.Configuration()
}

// defaultRetryAfter is the Retry-After of refusals without a better estimate. A
// node without a configuration gets one within a second of the store's reply.
const defaultRetryAfter = 500 * time.Millisecond

// Serve returns the response to a caller's request. It is an http1.Handler.
func (e *Entry) Serve(ctx context.Context, in *http1.IncomingRequest) *http1.Response {
	c, problem := e.prepareCall(ctx, in)
	var resp *http1.Response
	var code outcome.Code
	attempts := 0
	if problem == nil {
		resp, attempts, problem = e.dispatchWithinQuota(ctx, c, c.customer)
	}
	now := time.Now()
	if problem != nil {
		code = problem.Code
		resp = problem.ToResponse(c.id, now)
	}
	e.options.Meter.RecordEntryRequest(c.route.Name, code, now.Sub(in.ReceivedAt))
	if code == outcome.CodeNotReady && c.configurationVersion > 0 {
		e.options.Logger.Warn("request refused until a newer configuration arrives", "request", c.id, "configuration", c.configurationVersion,
			"known_version", e.options.KnownVersion(), "reason", problem.Detail)
	}
	e.options.Logger.Info("request ended", "request", c.id, "route", c.route.Name, "service", c.service, "customer", c.customer.Name,
		"configuration", c.configurationVersion, "fingerprint", c.fingerprint, "status", resp.Status, "code", code, "asked", attempts,
		"took_ms", now.Sub(in.ReceivedAt).Milliseconds(), "left_ms", c.deadline.Sub(now).Milliseconds())
	return resp
}

// prepareCall reads the request's body and determines its route, customer, service and
// deadline. The caller's key stays in the call alone.
func (e *Entry) prepareCall(ctx context.Context, in *http1.IncomingRequest) (*call, *outcome.Problem) {
	caller := e.options.Headers.ParseCallerHeaders(in.Header, in.ReceivedAt)
	c := &call{id: caller.ID, in: in, deadline: caller.Deadline, key: caller.Key}
	e.options.Headers.RemoveCallerIdentity(in.Header)
	body, err := in.ReadBody(ctx)
	if err != nil {
		return c, outcome.Refused(outcome.CodeCallerDisconnected, "the body did not come: %v", err)
	}
	c.body = body
	problem := e.authenticate(ctx, c)
	c.fingerprint = fingerprint.Of(c.customer.Name, in.Method, in.Host, in.URI, body)
	if problem != nil {
		return c, problem
	}
	c.service = c.route.PickService(e.nextSplitPoint(c.route))
	e.limitDeadline(c)
	c.header = http1.CopyEndToEnd(in.Header)
	hopheader.Strip(c.header)
	return c, nil
}

// limitDeadline applies the route's timeout and the shutdown deadline of the node.
func (e *Entry) limitDeadline(c *call) {
	latest := c.in.ReceivedAt.Add(c.route.Timeout)
	if c.deadline.IsZero() || latest.Before(c.deadline) {
		c.deadline = latest
	}
	// A request that outlives this node would be cut off, so the target gets an
	// earlier deadline.
	if shutdownAt := e.options.ShutdownDeadline(); !shutdownAt.IsZero() && shutdownAt.Add(-relayMargin).Before(c.deadline) {
		c.deadline, c.isCutByShutdown = shutdownAt.Add(-relayMargin), true
	}
}

// resolve sets the route and the customer of the call by a configuration.
func (c *call) resolve(current configuration.Configuration) *outcome.Problem {
	c.configurationVersion = current.Version
	if current.Version == 0 {
		return outcome.Refused(outcome.CodeNotReady, "no configuration is known yet").WithRetryAt(time.Now().Add(defaultRetryAfter))
	}
	route, ok := current.RouteFor(stripPort(c.in.Host), c.in.Path)
	if !ok {
		return outcome.Refused(outcome.CodeNoRoute, "configuration %d has no route for the host and path", current.Version)
	}
	c.route = route
	c.modes, c.hasCustomers = current.Modes(), current.Customers().Len() > 0
	customers := current.Customers()
	if customers.Len() == 0 || route.Public {
		return nil
	}
	if c.customer, ok = customers.Lookup(c.key); ok {
		return nil
	}
	if c.key == "" {
		return outcome.Refused(outcome.CodeUnauthorized, "the route needs a key, and the request has none")
	}
	return outcome.Refused(outcome.CodeUnauthorized, "configuration %d has no customer with the key", current.Version)
}

// stripPort returns the host without its port.
func stripPort(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// nextSplitPoint returns the next point of a route's low-discrepancy sequence
// (golden ratio steps from a random start). The points cover 0 to 1 evenly, so
// that even a few requests are split by the weights of the route's services.
func (e *Entry) nextSplitPoint(r configuration.Route) float64 {
	if len(r.WeightedServices) < 2 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.splitPoints[r.Name]
	if !ok {
		p = rand.Float64()
	}
	_, p = math.Modf(p + math.Phi - 1)
	e.splitPoints[r.Name] = p
	return p
}

// Causes with which an entry cancels an attempt.
var (
	errSilent             = errors.New("the gate gave no sign of life")
	errOtherGateResponded = errors.New("another gate has answered the request")
)
