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
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
)

// Headers reads what callers and targets say in headers.
type Headers interface {
	Caller(h http.Header, arrived time.Time) metadata.CallerRequest
	AnswerID(h http.Header) string
}

// ConfigurationSource is the configuration in force.
type ConfigurationSource interface {
	Configuration() configuration.Configuration
	// Changed returns a channel that is closed when another one comes into force.
	Changed() <-chan struct{}
}

// Meter counts what the entry does.
type Meter interface {
	RecordEntryRequest(route string, code outcome.Code, took time.Duration)
	RecordGateAttempt(tier string, code outcome.Code)
}

// Options are what an entry works with.
type Options struct {
	// Service is the service on whose VM the entry is.
	Service        string
	DataCentre     string
	Region         string
	Nodes          NodeSource
	Configurations ConfigurationSource
	Headers        Headers
	Logger         hclog.Logger
	Meter          Meter
	// EndsAt returns when a leaving node ends; zero if it stays.
	EndsAt func() time.Time
}

// Entry takes requests from callers.
type Entry struct {
	options   Options
	directory *directory
	// started is when the entry was made.
	started time.Time

	mu sync.Mutex
	// points are the last points of the routes' sequences, by route.
	points map[string]float64
}

// New returns an entry and a function that closes its connections to gates.
func New(o Options) (*Entry, func()) {
	d := newDirectory(o.Nodes, o.DataCentre, o.Region)
	return &Entry{options: o, directory: d, started: time.Now(), points: map[string]float64{}}, d.close
}

// call is a request on its way.
type call struct {
	id       string
	in       *http1.IncomingRequest
	header   http.Header
	body     []byte
	version  uint64
	route    configuration.Route
	service  string
	deadline time.Time
}

// relayTime is kept between a target's last word and the end of a leaving node:
// a gate and an entry wait 110 ms beyond the deadline (answerSlack, finalSlack).
const relayTime = 150 * time.Millisecond

// startTime is how long after its start an entry lets requests wait for the first
// configuration and for the first nodes of their service: dialling the store of
// another region and reading it takes 120 ms, on a VM that starts at the same time
// as all others.
const startTime = 600 * time.Millisecond

// configuration returns the one in force. Just after a start, which mostly comes
// with requests that waited for the node, it waits for the first one.
func (e *Entry) configuration(ctx context.Context) configuration.Configuration {
	changed := e.options.Configurations.Changed()
	if c := e.options.Configurations.Configuration(); c.Version > 0 {
		return c
	}
	timer := time.NewTimer(time.Until(e.started.Add(startTime)))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return e.options.Configurations.Configuration()
}

// notReadyRetry is when callers may come back to a node that knows no
// configuration yet; it learns one within a second of the store's answer.
const notReadyRetry = 500 * time.Millisecond

// Serve answers a caller's request.
func (e *Entry) Serve(ctx context.Context, in *http1.IncomingRequest) *http1.Response {
	c, problem := e.read(ctx, in)
	var a *http1.Response
	var code outcome.Code
	asked := 0
	if problem == nil {
		a, asked, problem = e.dispatch(ctx, c)
	}
	now := time.Now()
	if problem != nil {
		code = problem.Code
		a = problem.ToResponse(c.id, now)
	}
	e.options.Meter.RecordEntryRequest(c.route.Name, code, now.Sub(in.ReceivedAt))
	e.options.Logger.Info("request ended", "request", c.id, "route", c.route.Name, "service", c.service,
		"configuration", c.version, "status", a.Status, "code", code, "asked", asked,
		"took_ms", now.Sub(in.ReceivedAt).Milliseconds(), "left_ms", c.deadline.Sub(now).Milliseconds())
	return a
}

// read finds the request's route and reads its body.
func (e *Entry) read(ctx context.Context, in *http1.IncomingRequest) (*call, *outcome.Problem) {
	caller := e.options.Headers.Caller(in.Header, in.ReceivedAt)
	c := &call{id: caller.ID, in: in, deadline: caller.Deadline}
	body, err := in.ReadBody(ctx)
	if err != nil {
		return c, outcome.Refused(outcome.CodeCallerDisconnected, "the body did not come: %v", err)
	}
	c.body = body
	current := e.configuration(ctx)
	c.version = current.Version
	if current.Version == 0 {
		return c, outcome.Refused(outcome.CodeNotReady, "no configuration is known yet").WithRetryAt(time.Now().Add(notReadyRetry))
	}
	route, ok := current.RouteFor(hostOf(in.Host), in.Path)
	if !ok {
		return c, outcome.Refused(outcome.CodeNoRoute, "configuration %d has no route for the host and path", current.Version)
	}
	c.route = route
	c.service = route.PartFor(e.point(route))
	latest := in.ReceivedAt.Add(route.Timeout)
	if c.deadline.IsZero() || latest.Before(c.deadline) {
		c.deadline = latest
	}
	// What a target cannot end while this node lives would be broken off.
	if ends := e.options.EndsAt(); !ends.IsZero() && ends.Add(-relayTime).Before(c.deadline) {
		c.deadline = ends.Add(-relayTime)
	}
	c.header = http1.CopyEndToEnd(in.Header)
	hopheader.Strip(c.header)
	return c, nil
}

// hostOf returns the host without its port.
func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// point returns the next point of a route's sequence, which fills 0 to 1 evenly
// from a random start, so that even few requests fall to parts by weight.
func (e *Entry) point(r configuration.Route) float64 {
	if len(r.Parts) < 2 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.points[r.Name]
	if !ok {
		p = rand.Float64()
	}
	_, p = math.Modf(p + math.Phi - 1)
	e.points[r.Name] = p
	return p
}

// Reasons for which an entry ends an ask.
var (
	errSilent   = errors.New("the gate gave no sign of life")
	errAnswered = errors.New("another gate has answered the request")
)
