package gate

import (
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/relay"
	"github.com/cuminwheel/cuminwheel/process/floor"
	"github.com/cuminwheel/cuminwheel/process/judgement"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/hashicorp/go-hclog"
)

// Gate runs requests at the targets beside it.
type Gate struct {
	clock    func() time.Time
	logger   hclog.Logger
	client   *relay.Client
	services Services
	siblings Siblings
	bids     *floor.Bids
	onChange func([]roster.Target)

	mu        sync.Mutex
	pools     map[string]*Pool
	published []roster.Target
	leaving   bool
}

// Services gives the rules of a service in force.
type Services interface {
	Service(name string) (configuration.Service, bool)
}

// Options are what a Gate needs. All fields must be set.
type Options struct {
	Clock    func() time.Time
	Logger   hclog.Logger
	Client   *relay.Client
	Services Services
	Siblings Siblings
	// OnChange is called with all targets when one of them has changed.
	OnChange func([]roster.Target)
}

// New returns a gate without targets.
func New(o Options) *Gate {
	return &Gate{
		clock:    o.Clock,
		logger:   o.Logger,
		client:   o.Client,
		services: o.Services,
		siblings: o.Siblings,
		bids:     floor.NewBids(),
		onChange: o.OnChange,
		pools:    map[string]*Pool{},
	}
}

// Leave makes the gate refuse all further requests.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// ServeHTTP runs a request that an entry sent.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := g.clock()
	id := r.Header.Get(outcome.HeaderRequestID)
	ask, service, problem := g.readAsk(r, now)
	if problem != nil {
		if problem.Code == outcome.CodeLeaving {
			w.Header().Set("Connection", "close")
		}
		problem.Write(w, id, now)
		return
	}
	body, problem := ReadBody(r, service.MaxBodyBytes)
	if problem != nil {
		problem.Write(w, id, now)
		return
	}
	slot, ctx, problem := g.pool(service.Name).Acquire(r.Context(), ask)
	if problem != nil {
		g.logger.Info("refused", "request", id, "service", service.Name, "code", problem.Code, "reason", problem.Detail)
		problem.Write(w, id, g.clock())
		return
	}
	g.logger.Info("began", "request", id, "service", service.Name, "target", slot.Address(),
		"attempt", r.Header.Get(outcome.HeaderAttempt), "deadline", ask.Deadline)
	g.run(ctx, slot, w, r, body, ask)
}

func (g *Gate) readAsk(r *http.Request, now time.Time) (Ask, configuration.Service, *outcome.Problem) {
	g.mu.Lock()
	leaving := g.leaving
	g.mu.Unlock()
	if leaving {
		return Ask{}, configuration.Service{}, outcome.Refused(outcome.CodeLeaving, http.StatusServiceUnavailable,
			"this node is leaving").WithRetryAt(now.Add(noTargetRetry))
	}
	service, ok := g.services.Service(r.Header.Get(outcome.HeaderService))
	if !ok {
		return Ask{}, service, outcome.Refused(outcome.CodeNoTarget, http.StatusServiceUnavailable,
			"service %q is not known here", r.Header.Get(outcome.HeaderService)).WithRetryAt(now.Add(noTargetRetry))
	}
	millis, err := strconv.ParseInt(r.Header.Get(outcome.HeaderDeadline), 10, 64)
	if err != nil {
		return Ask{}, service, outcome.Refused(outcome.CodeBadRequest, http.StatusBadRequest,
			"%s must be a Unix time in ms", outcome.HeaderDeadline)
	}
	ask := Ask{
		Customer:   r.Header.Get(outcome.HeaderCustomer),
		Deadline:   time.UnixMilli(millis),
		Idempotent: r.Header.Get(headerIdempotent) == "1",
	}
	if !now.Before(ask.Deadline) {
		return Ask{}, service, outcome.Refused(outcome.CodeNotInTime, http.StatusServiceUnavailable, "the deadline has passed")
	}
	return ask, service, nil
}

// Pools returns the names of the services that have had targets here.
func (g *Gate) poolNames() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := make([]string, 0, len(g.pools))
	for n := range g.pools {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func (g *Gate) allPools() []*Pool {
	var list []*Pool
	for _, n := range g.poolNames() {
		list = append(list, g.pool(n))
	}
	return list
}

func (g *Gate) pool(service string) *Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.pools[service]
	if !ok {
		rules, _ := g.services.Service(service)
		p = newPool(service, judgement.DialFor(rules.Detection), g.clock)
		g.pools[service] = p
	}
	return p
}
