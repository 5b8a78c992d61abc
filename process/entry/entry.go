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
}

// Quarantine knows the requests that crash targets.
type Quarantine interface {
	// QuarantinedUntil returns until when a request must not be run, or zero.
	QuarantinedUntil(request fingerprint.Fingerprint, now time.Time) time.Time
}

// Options configures an Entry.
type Options struct {
	// Service is the service of the VM on which the entry runs.
	Service        string
	DataCentre     string
	Region         string
	Nodes          NodeSource
	Configurations Configurations
	Headers        Headers
	Logger         hclog.Logger
	Meter          Meter
	Quarantine     Quarantine
	// Quotas limits the requests of customers; nil sets no limit.
	Quotas Quotas
	// Bodies is the budget for the bodies of responses; nil sets no limit.
	Bodies *http1.BodyBudget
	// ShutdownDeadline returns when requests in progress at a leaving node must
	// have ended, or zero if the node is not leaving.
	ShutdownDeadline func() time.Time
}

// Entry accepts requests from callers and dispatches them to gates.
type Entry struct {
	options   Options
	directory *directory
	// startedAt is the start of the startup wait.
	startedAt time.Time

	mu sync.Mutex
	// splitPoints holds the last point of each route's sequence, by route name.
	splitPoints map[string]float64
}

// New returns an entry and a function that closes its connections to gates.
func New(o Options) (*Entry, func()) {
	d := newDirectory(o.Nodes, o.DataCentre, o.Region, o.Bodies)
	return &Entry{options: o, directory: d, startedAt: time.Now(), splitPoints: map[string]float64{}}, d.close
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
	// customer is the caller's customer; its zero value is none.
	customer customer.Customer
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
	e.options.Logger.Info("request ended", "request", c.id, "route", c.route.Name, "service", c.service,
		"configuration", c.configurationVersion, "fingerprint", c.fingerprint, "status", resp.Status, "code", code, "asked", attempts,
		"took_ms", now.Sub(in.ReceivedAt).Milliseconds(), "left_ms", c.deadline.Sub(now).Milliseconds())
	return resp
}

// prepareCall reads the request's body and determines its route, service and
// deadline.
func (e *Entry) prepareCall(ctx context.Context, in *http1.IncomingRequest) (*call, *outcome.Problem) {
	caller := e.options.Headers.ParseCallerHeaders(in.Header, in.ReceivedAt)
	c := &call{id: caller.ID, in: in, deadline: caller.Deadline}
	body, err := in.ReadBody(ctx)
	if err != nil {
		return c, outcome.Refused(outcome.CodeCallerDisconnected, "the body did not come: %v", err)
	}
	c.body = body
	c.fingerprint = fingerprint.Of(in.Method, in.Host, in.URI, body)
	current := e.awaitConfiguration(ctx)
	c.configurationVersion = current.Version
	if current.Version == 0 {
		return c, outcome.Refused(outcome.CodeNotReady, "no configuration is known yet").WithRetryAt(time.Now().Add(defaultRetryAfter))
	}
	route, ok := current.RouteFor(stripPort(in.Host), in.Path)
	if !ok {
		return c, outcome.Refused(outcome.CodeNoRoute, "configuration %d has no route for the host and path", current.Version)
	}
	c.route = route
	c.service = route.PickService(e.nextSplitPoint(route))
	latest := in.ReceivedAt.Add(route.Timeout)
	if c.deadline.IsZero() || latest.Before(c.deadline) {
		c.deadline = latest
	}
	// A request that outlives this node would be cut off, so the target gets an
	// earlier deadline.
	if shutdownAt := e.options.ShutdownDeadline(); !shutdownAt.IsZero() && shutdownAt.Add(-relayMargin).Before(c.deadline) {
		c.deadline = shutdownAt.Add(-relayMargin)
	}
	c.header = http1.CopyEndToEnd(in.Header)
	hopheader.Strip(c.header)
	return c, nil
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
