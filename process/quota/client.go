package quota

import (
	"context"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/version/customer"
	"github.com/hashicorp/go-hclog"
)

const (
	// maxWait limits the time for which a request waits for a token.
	maxWait = 700 * time.Millisecond
	// retryInterval is the time between two attempts to find a node that may grant.
	retryInterval = 50 * time.Millisecond
	// avoidTime is how long a node that did not reply is called only if no other
	// candidate is left.
	avoidTime = time.Second
	// defaultRetryAfter is the mean retry time if no home has promised one.
	defaultRetryAfter = 500 * time.Millisecond
	// idleTime is the time without requests after which a customer's stock is deleted.
	idleTime = 10 * time.Second
)

// Decision tells whether a request may run, and what the decision rests on.
type Decision struct {
	Allowed bool
	// RetryAt is when a refused request should be sent again.
	RetryAt time.Time
	// Quota is the customer's rate in requests per second.
	Quota float64
	// Stock is the number of tokens that the node holds for the customer.
	Stock int
	// Age is the time since the home last replied; negative if it never did.
	Age time.Duration
	// HasNoHome means that no node was found that may grant, so that it is unknown whether
	// the quota is used up.
	HasNoHome bool
	// expiresAt is when the token that the request has taken expires.
	expiresAt time.Time
}

// Meter records the metrics of quotas.
type Meter interface {
	// RecordQuotaDecision records a request of a customer with a quota. It is refused
	// because the quota is used up, or because no home was found.
	RecordQuotaDecision(result string)
	// RecordQuotaCall records a call for tokens to another node.
	RecordQuotaCall()
}

// Results of RecordQuotaDecision.
const (
	resultAllowed = "allowed"
	resultOver    = "over"
	resultNoHome  = "no_home"
)

// Client takes the tokens for the requests that arrive at the node. It is safe for
// concurrent use.
type Client struct {
	home    *Home
	meter   Meter
	logger  hclog.Logger
	refused sampler

	mu     sync.Mutex
	stocks map[string]*stock
	// avoided holds until when nodes that did not reply are called last.
	avoided map[string]time.Time
}

// NewClient returns a client that holds no tokens. It calls the node's own home without
// the network.
func NewClient(h *Home, m Meter, logger hclog.Logger) *Client {
	return &Client{home: h, meter: m, logger: logger, stocks: map[string]*stock{}, avoided: map[string]time.Time{}}
}

// Take takes a token for a request. A request without one waits until the home replies,
// for maxWait at most. A customer without a quota needs no token.
func (c *Client) Take(ctx context.Context, who customer.Customer) Decision {
	if !who.HasQuota() {
		return Decision{Allowed: true}
	}
	now := time.Now()
	c.mu.Lock()
	s := c.stockOf(who, now)
	s.usage.add(now)
	expiresAt, ok := s.take(now)
	if ok {
		if !s.isCalling && s.isLow(now) {
			s.isCalling = true
			go c.refill(s)
		}
		d := s.decision(now)
		c.mu.Unlock()
		d.Allowed, d.expiresAt = true, expiresAt
		c.meter.RecordQuotaDecision(resultAllowed)
		return d
	}
	if c.home.isAlone() {
		d := s.refuseWithoutHome(now)
		c.mu.Unlock()
		return c.finish(s, d)
	}
	w := &waiter{result: make(chan Decision, 1), until: now.Add(maxWait)}
	s.waiters = append(s.waiters, w)
	if !s.isCalling {
		s.isCalling = true
		go c.refill(s)
	}
	c.mu.Unlock()
	return c.await(ctx, s, w)
}

// Peek describes the node's stock of a customer's tokens and changes nothing. Allowed means
// that Take would not have to wait for the home; RetryAt is the time that the home named
// last, if that is in the future.
func (c *Client) Peek(who customer.Customer) Decision {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.stocks[who.Name]
	if !ok {
		return Decision{Allowed: !who.HasQuota(), Quota: who.RequestsPerSecond, Age: -1, HasNoHome: who.HasQuota() && c.home.isAlone()}
	}
	d := s.decision(now)
	d.Quota, d.Allowed = who.RequestsPerSecond, d.Stock > 0 || !who.HasQuota()
	if s.pausedUntil.After(now) {
		d.RetryAt = s.pausedUntil
	}
	d.HasNoHome = !d.Allowed && c.home.isAlone()
	return d
}

// await waits for the result of a request without a token.
func (c *Client) await(ctx context.Context, s *stock, w *waiter) Decision {
	timer := time.NewTimer(time.Until(w.until))
	defer timer.Stop()
	select {
	case d := <-w.result:
		return c.finish(s, d)
	case <-timer.C:
	case <-ctx.Done():
	}
	now := time.Now()
	c.mu.Lock()
	s.removeWaiter(w)
	d := s.refuseWithoutHome(now)
	c.mu.Unlock()
	select {
	case d := <-w.result: // The result came at the same time.
		return c.finish(s, d)
	default:
	}
	return c.finish(s, d)
}

// finish records a decision.
func (c *Client) finish(s *stock, d Decision) Decision {
	result := resultOver
	switch {
	case d.Allowed:
		result = resultAllowed
	case d.HasNoHome:
		result = resultNoHome
	}
	c.meter.RecordQuotaDecision(result)
	if d.Allowed {
		return d
	}
	if skipped, ok := c.refused.sample(time.Now()); ok {
		c.logger.Info("request over quota", "customer", s.name, "reason", result, "quota", d.Quota, "stock", d.Stock,
			"age_ms", d.Age.Milliseconds(), "retry_in_ms", time.Until(d.RetryAt).Milliseconds(), "not_logged", skipped)
	}
	return d
}

// Refund returns the token of a request that no target got. A token that has expired
// meanwhile is lost.
func (c *Client) Refund(name string, d Decision) {
	now := time.Now()
	if !d.expiresAt.After(now) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.stocks[name]; ok {
		s.add(1, d.expiresAt)
		s.serveWaiters(now)
	}
}

// refill calls the home until no request waits for a token and the stock suffices.
func (c *Client) refill(s *stock) {
	for {
		now := time.Now()
		c.mu.Lock()
		s.dropLate(now)
		waiting := len(s.waiters)
		want := max(waiting, s.usage.lot(now)) - s.count(now)
		if waiting == 0 && !s.isLow(now) {
			s.isCalling = false
			c.mu.Unlock()
			return
		}
		request := TakeRequest{Name: s.name, Rate: s.rate, Burst: s.burst, Want: want, Waiting: waiting}
		order := c.candidatesOf(s, now)
		c.mu.Unlock()

		calledAt, reply := c.call(order, request)
		now = time.Now()
		c.mu.Lock()
		if reply.NotHome {
			// The last waiters are told when another node takes over.
			s.pausedUntil = reply.retryAt(now)
			hasWaiters := len(s.waiters) > 0
			s.isCalling = hasWaiters
			c.mu.Unlock()
			if !hasWaiters {
				return
			}
			time.Sleep(retryInterval)
			continue
		}
		s.repliedAt = now
		reply.Granted = min(reply.Granted, want)
		s.add(reply.Granted, calledAt.Add(tokenTTL))
		s.serveWaiters(now)
		if reply.Granted < want {
			s.pausedUntil = reply.retryAt(now)
			s.refuseWaiters(waiting-reply.Granted, now, s.pausedUntil)
		}
		c.mu.Unlock()
	}
}

// call requests tokens from the candidates in order until one replies, and returns when
// the successful call began.
func (c *Client) call(order []string, request TakeRequest) (time.Time, TakeReply) {
	for _, address := range order {
		calledAt := time.Now()
		if address == c.home.self {
			return calledAt, c.home.take(request)
		}
		c.meter.RecordQuotaCall()
		var reply TakeReply
		// The called node may call another one in turn.
		if !c.home.callWithin(relayedTimeout, address, methodTake, request, &reply) {
			c.mu.Lock()
			c.avoided[address] = time.Now().Add(avoidTime)
			c.mu.Unlock()
			continue
		}
		return calledAt, reply
	}
	return time.Now(), TakeReply{NotHome: true}
}

// relayedTimeout limits a call that the called node may pass on.
const relayedTimeout = callTimeout + callTimeout/2

// candidatesOf returns the nodes to call, those that did not reply lately last. The
// caller holds mu.
func (c *Client) candidatesOf(s *stock, now time.Time) []string {
	if v := c.home.nodes.Version(); s.viewVersion != v || s.candidates[0] == "" {
		s.candidates, s.viewVersion = elect(c.home.nodes.Nodes(), s.name), v
	}
	isDiscovered := c.home.nodes.IsDiscovered()
	var order, avoided []string
	for _, address := range s.candidates {
		switch {
		case address == "" || address == c.home.self && !isDiscovered:
		case c.avoided[address].After(now):
			avoided = append(avoided, address)
		default:
			order = append(order, address)
		}
	}
	if len(c.avoided) > 0 && len(avoided) == 0 {
		for address, until := range c.avoided {
			if !until.After(now) {
				delete(c.avoided, address)
			}
		}
	}
	return append(order, avoided...)
}

// stockOf returns the customer's stock. The caller holds mu.
func (c *Client) stockOf(who customer.Customer, now time.Time) *stock {
	s, ok := c.stocks[who.Name]
	if !ok {
		checked := 0
		for name, old := range c.stocks {
			if now.Sub(old.usage.at) > idleTime && !old.isCalling {
				delete(c.stocks, name)
			}
			if checked++; checked == expireCount {
				break
			}
		}
		s = &stock{name: who.Name}
		c.stocks[who.Name] = s
	}
	s.rate, s.burst = who.RequestsPerSecond, who.Burst
	return s
}
