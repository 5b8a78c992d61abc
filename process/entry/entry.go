package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/relay"
	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/home"
	"github.com/cuminwheel/cuminwheel/request/choice"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
)

// Entry serves callers.
type Entry struct {
	clock   func() time.Time
	logger  hclog.Logger
	client  *relay.Client
	states  States
	nodes   Nodes
	home    *home.Home
	self    string
	budget  *retryBudget
	limits  *limiter
	holders holders
	meter   Meter
	mu      sync.Mutex
	random  *rand.Rand
	leaving bool
}

// States gives the configuration in force.
type States interface {
	State() ledger.State
	IsReady() bool
}

// Nodes gives what is known of other nodes.
type Nodes interface {
	// Index returns the candidates of all services.
	Index() choice.Index
	// GateOf returns the gate address of a living node.
	GateOf(node string) (string, bool)
	// MayUseRemote reports whether the paid links' budget allows a request.
	MayUseRemote(bytes int) bool
	// SpendRemote takes what has crossed a paid link from the budget.
	SpendRemote(bytes int)
}

// Meter counts what the entry does.
type Meter interface {
	// Outcome counts a request's outcome and its time at this node.
	Outcome(service string, o outcome.Outcome, code outcome.Code, took time.Duration)
	// Attempt counts an attempt by the tier that it went to.
	Attempt(tier choice.Tier, retry bool)
}

// Options are what an Entry needs. All fields must be set.
type Options struct {
	Clock  func() time.Time
	Logger hclog.Logger
	Client *relay.Client
	States States
	Nodes  Nodes
	Home   *home.Home
	// Self is the control address of this node.
	Self   string
	Meter  Meter
	Random *rand.Rand
}

// maxTimeout bounds what a caller may ask for.
const maxTimeout = 10 * time.Minute

// New returns an entry.
func New(o Options) *Entry {
	return &Entry{
		clock:  o.Clock,
		logger: o.Logger,
		client: o.Client,
		states: o.States,
		nodes:  o.Nodes,
		home:   o.Home,
		self:   o.Self,
		meter:  o.Meter,
		random: o.Random,
		budget: newRetryBudget(),
		limits: newLimiter(),
	}
}

// Leave makes the entry refuse new requests.
func (e *Entry) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// ServeHTTP serves a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := e.clock()
	id := uuid.NewString()
	c, problem := e.read(r, id, began)
	var answer *relay.Answer
	if problem == nil {
		answer, problem = e.serve(r.Context(), c)
	}
	if problem != nil {
		if problem.Code == outcome.CodeNotReady {
			w.Header().Set("Connection", "close")
		}
		problem.Write(w, id, e.clock())
		e.finish(c, problem.Outcome, problem.Code, began)
		return
	}
	e.answer(w, r, c, answer, began)
}

func (e *Entry) answer(w http.ResponseWriter, r *http.Request, c *call, answer *relay.Answer, began time.Time) {
	defer answer.Close()
	if err := answer.WriteAnswered(w, r, c.id); err != nil {
		e.logger.Warn("answer was cut short", "request", c.id, "reason", err)
		e.finish(c, outcome.Unknown, outcome.CodeAnswerCut, began)
		panic(http.ErrAbortHandler)
	}
	e.finish(c, outcome.Answered, "", began)
}

func (e *Entry) finish(c *call, o outcome.Outcome, code outcome.Code, began time.Time) {
	service := ""
	if c != nil {
		service = c.service.Name
		e.logger.Info("done", "request", c.id, "service", service, "outcome", o, "code", code, "took", e.clock().Sub(began))
	}
	e.meter.Outcome(service, o, code, e.clock().Sub(began))
}

// read checks a caller's request. The call is nil when there is a problem.
func (e *Entry) read(r *http.Request, id string, now time.Time) (*call, *outcome.Problem) {
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	if leaving || !e.states.IsReady() {
		return nil, outcome.Refused(outcome.CodeNotReady, http.StatusServiceUnavailable,
			"this node is starting or leaving; use another").WithRetryAt(now.Add(time.Second))
	}
	state := e.states.State()
	match, ok := state.Configuration.RouteFor(strings.TrimSuffix(r.URL.Path, "/"))
	if !ok {
		return nil, outcome.Refused(outcome.CodeNoRoute, http.StatusNotFound, "no route serves %s", r.URL.Path)
	}
	service, _ := state.Configuration.Service(match.Service)
	if len(match.Route.Methods) > 0 && !slices.Contains(match.Route.Methods, r.Method) {
		return nil, outcome.Refused(outcome.CodeMethod, http.StatusMethodNotAllowed,
			"%s takes %s", match.Route.PathPrefix, strings.Join(match.Route.Methods, ", "))
	}
	customer := r.Header.Get(outcome.HeaderCustomer)
	if p := e.limit(state.Configuration, customer, now); p != nil {
		return nil, p
	}
	deadline, p := deadlineOf(r, service, now)
	if p != nil {
		return nil, p
	}
	body, p := gate.ReadBody(r, service.MaxBodyBytes)
	if p != nil {
		return nil, p
	}
	return &call{
		id:       id,
		method:   r.Method,
		uri:      r.URL.RequestURI(),
		header:   r.Header,
		body:     body,
		customer: customer,
		service:  service,
		route:    match.Route,
		deadline: deadline,
	}, nil
}

func (e *Entry) limit(c configuration.Configuration, customer string, now time.Time) *outcome.Problem {
	limits, ok := c.Customer(customer)
	if !ok {
		return nil
	}
	retryAt, ok := e.limits.take(limits, now)
	if ok {
		return nil
	}
	return outcome.Refused(outcome.CodeCustomerLimit, http.StatusTooManyRequests,
		"customer %s is over %g requests a second", customer, limits.RequestsPerSecond).WithRetryAt(retryAt)
}

func deadlineOf(r *http.Request, s configuration.Service, now time.Time) (time.Time, *outcome.Problem) {
	timeout := time.Duration(s.TimeoutMillis) * time.Millisecond
	if text := r.Header.Get(outcome.HeaderTimeout); text != "" {
		millis, err := strconv.Atoi(text)
		if err != nil || millis < 1 || millis > int(maxTimeout.Milliseconds()) {
			return time.Time{}, outcome.Refused(outcome.CodeBadRequest, http.StatusBadRequest,
				"%s: give a number of ms from 1 to %d", outcome.HeaderTimeout, maxTimeout.Milliseconds())
		}
		timeout = time.Duration(millis) * time.Millisecond
	}
	return now.Add(timeout), nil
}

func (e *Entry) serve(ctx context.Context, c *call) (*relay.Answer, *outcome.Problem) {
	e.budget.earn()
	if c.route.NeverRepeat {
		return e.serveClaim(ctx, c)
	}
	return e.dispatch(ctx, c)
}
