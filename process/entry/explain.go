package entry

import (
	"fmt"
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/process/balance"
	"github.com/cuminwheel/cuminwheel/process/refusal"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// explainDraws is the number of choices from which the share of a gate is determined.
const explainDraws = 200

// Explain tells what the entry would do with a request now. It sends nothing and changes
// no state. The inquiry must be valid.
func (e *Entry) Explain(q Inquiry) Explanation {
	now := time.Now()
	c := &call{in: &http1.IncomingRequest{Method: q.Method, URI: q.Path, Host: q.Host, Path: pathOf(q.Path), ReceivedAt: now}, key: q.Key}
	if q.DeadlineMillis > 0 {
		c.deadline = now.Add(time.Duration(q.DeadlineMillis) * time.Millisecond)
	}
	current := e.options.Configurations.Configuration()
	x := Explanation{ConfigurationVersion: current.Version}
	problem := c.resolve(current)
	if c.route.Name != "" {
		x.Route = &ExplainedRoute{Name: c.route.Name, Host: c.route.Host, Prefix: c.route.Prefix, Idempotent: c.route.Idempotent, Public: c.route.Public, Balancing: balancingOf(c)}
	}
	if limit := current.Limits().MaxBodyBytes; current.Version > 0 && q.BodyBytes > limit {
		problem = outcome.Refused(outcome.CodeBodyTooLarge, "the body has more than %d bytes", limit)
	}
	if problem != nil {
		if e.mayBeResolvedLater(c, problem, current.Version) {
			x.Notes = append(x.Notes, fmt.Sprintf("the entry would first wait up to %v for a newer configuration, and refuse with 503 if it does not come", newVersionWait))
		}
		x.Refusal = explainRefusal(problem, now)
		return x
	}
	e.limitDeadline(c)
	x.DeadlineMillis = c.deadline.Sub(now).Milliseconds()
	e.explainCustomer(c, &x, now)
	var o refusal.Outlook
	if c.modes.IsShared() {
		o = e.refusals.peekOutlook(c, now)
		x.Scheduling = &ExplainedScheduling{CallersRetry: o.CallersRetry, WorkMillis: o.Work.Milliseconds(), Held: e.refusals.held.Load()}
	}
	if q.BodyBytes == 0 {
		c.fingerprint = fingerprint.Of(c.customer.Name, q.Method, q.Host, q.Path, nil)
		if x.Refusal = e.explainKnownRequest(c, now); x.Refusal != nil {
			return x
		}
	} else {
		x.Notes = append(x.Notes, "quarantine and earlier refusals depend on the content of the body and are not considered")
	}
	total := 0.0
	for _, s := range c.route.WeightedServices {
		total += s.Weight
	}
	for _, s := range c.route.WeightedServices {
		of := *c
		of.service = s.Service
		service := e.explainService(&of, o, q.BodyBytes, now)
		if service.Share = 1; total > 0 {
			service.Share = s.Weight / total
		}
		x.Services = append(x.Services, service)
	}
	return x
}

// pathOf returns the path by which the entry finds the route, as the listener does.
func pathOf(uri string) string {
	if u, err := url.ParseRequestURI(uri); err == nil {
		return u.EscapedPath()
	}
	return uri
}

func balancingOf(c *call) string {
	if c.modes.IsEven() {
		return "even"
	}
	return "lowest_cost"
}

func explainRefusal(p *outcome.Problem, now time.Time) *ExplainedRefusal {
	return &ExplainedRefusal{Status: p.Status, Code: p.Code, Detail: p.Detail, RetryAfter: p.ToResponse("", now).Header.Get("Retry-After")}
}

// explainCustomer adds the customer and its tokens.
func (e *Entry) explainCustomer(c *call, x *Explanation, now time.Time) {
	who := c.customer
	if who.Name == "" {
		return
	}
	x.Customer = &ExplainedCustomer{Name: who.Name, Priority: who.Priority, RequestsPerSecond: who.RequestsPerSecond, Burst: who.Burst}
	if e.options.Quotas == nil || !who.HasQuota() {
		return
	}
	d := e.options.Quotas.Peek(who)
	age := int64(-1)
	if d.Age >= 0 {
		age = d.Age.Milliseconds()
	}
	x.Customer.Tokens, x.Customer.HomeReplyAgeMillis = &d.Stock, &age
	if d.RetryAt.After(now) {
		x.Customer.RetryMillis = d.RetryAt.Sub(now).Milliseconds()
	}
	switch {
	case d.HasNoHome:
		x.Notes = append(x.Notes, "the node holds no token and has not discovered the other nodes yet: the entry would refuse with 503 no_quota_home")
	case !d.Allowed:
		x.Notes = append(x.Notes, "the node holds no token: the entry would ask the customer's home and, without a grant in time, refuse with 429 over_quota")
	}
}

// explainKnownRequest returns the refusal of a request that is quarantined or returns
// before its retry time, or nil.
func (e *Entry) explainKnownRequest(c *call, now time.Time) *ExplainedRefusal {
	if c.modes.IsShared() {
		if earlier, ok := e.refusals.peek(c.fingerprint, now); ok && isEarlyReturn(earlier, now) {
			at := refusal.PromiseAgain(now, earlier.RetryAt, c.deadline)
			return explainRefusal(refuseEarlyReturn(earlier, at), now)
		}
	}
	_, isTrialDue := e.options.Quarantine.TrialDue(c.fingerprint, now)
	s := &dispatchState{call: c}
	if p := s.refuseQuarantined(e.options.Quarantine.Peek(c.fingerprint, now), isTrialDue); p != nil {
		return explainRefusal(p, now)
	}
	return nil
}

// explainService tells which gates of the call's service would be tried.
func (e *Entry) explainService(c *call, o refusal.Outlook, bodyBytes int64, now time.Time) ExplainedService {
	s := &dispatchState{call: c, excluded: map[*candidate]bool{}, capacityAt: map[*candidate]time.Time{}}
	candidates := e.directory.peek(c.service)
	x := ExplainedService{Service: c.service}
	if len(candidates) == 0 {
		p := s.finalProblem()
		if c.modes.IsShared() {
			p = p.WithPromise(refusal.Promise(now, p.RetryAt, o.Turn, c.deadline, rand.Float64()))
		}
		x.Refusal = explainRefusal(p, now)
		return x
	}
	if c.modes.IsShared() {
		x.IfNotGranted = describeVerdict(refusal.Decide(e.situation(s, candidates, o, bodyBytes, now)), now)
	}
	snapshots := make([]snapshot, len(candidates))
	for i, to := range candidates {
		snapshots[i] = to.snapshot(now)
		x.Candidates = append(x.Candidates, to.explain(snapshots[i]))
	}
	for number, p := range s.passes() {
		x.Passes = append(x.Passes, e.explainPass(s, p, number+1, candidates, snapshots, x.Candidates, now))
	}
	return x
}

// explainPass returns the first choice in a pass, and adds the cost and the number of the
// pass to the candidates that may be chosen in it.
func (e *Entry) explainPass(s *dispatchState, p selectionPass, number int, candidates []*candidate, snapshots []snapshot, list []ExplainedCandidate, now time.Time) ExplainedPass {
	c := s.call
	remaining := c.deadline.Sub(now)
	x := ExplainedPass{Pass: number, QueueMillis: p.queueTimeout(c.targetLatency(), remaining).Milliseconds()}
	isSkipped := remaining < p.minRemaining || remaining <= 0
	isExcluded, traits := s.exclusions(p, candidates, snapshots, nil, now), s.traits()
	quarantined := !e.options.Quarantine.Peek(c.fingerprint, now).IsZero()
	if quarantined {
		round, _ := e.options.Quarantine.TrialDue(c.fingerprint, now)
		isExcluded = isNotElected(candidates, snapshots, c.fingerprint, round)
	}
	random := rand.New(rand.NewPCG(1, uint64(number))).Float64
	choose := func() int { return p.selectGate(snapshots, isExcluded, traits, random) }
	cost := func(i int) bool {
		cost, ok := p.cost(snapshots[i], traits)
		if ok {
			list[i].Cost = &cost
		}
		return ok && !isExcluded(i)
	}
	if c.modes.IsEven() && !quarantined {
		views, request := e.evenChoice(c, p, candidates, isExcluded, traits, now)
		choose = func() int { return balance.Default.Choose(views, request, random) }
		cost = func(i int) bool {
			parts, ok := balance.Default.Cost(views, i, request)
			list[i].CostMillis = explainCost(parts)
			return ok
		}
	}
	for i := range list {
		if cost(i) && !isSkipped {
			list[i].Passes = append(list[i].Passes, number)
		}
	}
	if isSkipped {
		return x
	}
	counts := make([]int, len(candidates))
	most := -1
	for range explainDraws {
		i := choose()
		if i < 0 {
			break
		}
		if counts[i]++; most < 0 || counts[i] > counts[most] {
			most = i
		}
	}
	if most >= 0 {
		x.Gate, x.Share = candidates[most].address, float64(counts[most])/explainDraws
	}
	return x
}

func explainCost(c balance.Cost) *ExplainedCost {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return &ExplainedCost{Travel: ms(c.Travel), Load: ms(c.Load), Pace: ms(c.Pace), Risk: ms(c.Risk), Total: ms(c.Total())}
}

// explain returns what is known of the gate. Outstanding and slots are those that the gate
// last reported.
func (c *candidate) explain(s snapshot) ExplainedCandidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := ExplainedCandidate{
		Gate: c.address, Tier: c.tier.String(), Passes: []int{}, StateAgeMillis: -1, Suspected: s.suspected, NotAccepting: s.notAccepting,
		Unreachable: s.unreachable, Outstanding: c.state.Outstanding, Slots: c.state.Slots, Sent: len(c.sent),
	}
	if !c.stateReceivedAt.IsZero() {
		x.StateAgeMillis = s.stateAge.Milliseconds()
	}
	return x
}

func describeVerdict(v refusal.Verdict, now time.Time) string {
	switch {
	case v.Reason != "":
		return "refused: " + string(v.Reason)
	case v.Held:
		return fmt.Sprintf("held, next round in %d ms", v.NextRoundAt.Sub(now).Milliseconds())
	}
	return fmt.Sprintf("next round in %d ms", v.NextRoundAt.Sub(now).Milliseconds())
}
