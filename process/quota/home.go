package quota

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/request/field"
)

// Transport calls a method of another node.
type Transport interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Nodes supplies the nodes that have not left. Version grows with each change. Until
// IsDiscovered any node may be missing.
type Nodes interface {
	Version() uint64
	Nodes() []membership.Record
	IsDiscovered() bool
}

const (
	// callTimeout limits a call to another node. Two regions are up to 60 ms apart there
	// and back; the rest allows for a VM that is out of CPU quota for a tenth of a second.
	callTimeout = 200 * time.Millisecond
	// rateMemory is how long the lowest rate that an entry named applies. Entries get a
	// configuration at different times; the lower rate counts meanwhile.
	rateMemory = time.Second
	// minIdle is the time without calls after which a customer's state is deleted.
	minIdle = 10 * time.Second
)

// Home grants tokens of the customers whose home the node is. It is safe for
// concurrent use.
type Home struct {
	self      string
	nodes     Nodes
	transport Transport
	probes    prober
	outages   outageTable

	peersMu sync.Mutex
	// sortedPeers is the result of peers for peersVersion.
	sortedPeers  []string
	peersVersion uint64

	mu       sync.Mutex
	accounts map[string]*account
	// isDiscovered means that the node has discovered the fleet. A node that does not know
	// the others would find itself to be the home of all customers.
	isDiscovered bool
	// homeFrom is from when the node fills the buckets of its customers: its start, unless it
	// has discovered the fleet so late that another node may have granted in its place.
	homeFrom time.Time
	// viewVersion, known and removals follow the changes of the nodes. known holds when
	// the node learned of another one; zero for those that it knew at its discovery.
	viewVersion uint64
	known       map[string]time.Time
	removals    []removal
}

// account is the state of one customer.
type account struct {
	bucket bucket
	// since is the time from which the bucket was filled: when the node became the home
	// or took over for it.
	since       time.Time
	rate, burst float64
	// rateNamedAt is when an entry last named the rate.
	rateNamedAt time.Time
	usedAt      time.Time
	candidates  candidates
	viewVersion uint64
	// isMoving means that a call for the bucket of the former home is in progress.
	isMoving bool
	// movedTo is the new home that has taken the bucket. Calls are passed on to it until
	// movedUntil; it gets no second bucket after that either.
	movedTo    string
	movedUntil time.Time
}

// NewHome returns a home without state.
func NewHome(self string, nodes Nodes, t Transport) *Home {
	h := &Home{
		self: self, nodes: nodes, transport: t, homeFrom: time.Now(),
		accounts: map[string]*account{}}
	h.probes = prober{call: h.call, contacts: contacts{}}
	h.outages = outageTable{home: h, byAddress: map[string]*outage{}}
	h.FollowNodes()
	return h
}

// FollowNodes notes the changes of the nodes since the last call. It must be called when
// the node has discovered the fleet.
func (h *Home) FollowNodes() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.followNodes(time.Now())
}

// isAlone reports whether the node knows no other one and cannot tell that there is none.
func (h *Home) isAlone() bool { return !h.nodes.IsDiscovered() && len(h.nodes.Nodes()) <= 1 }

// call calls a method of another node and reports whether it replied in time.
func (h *Home) call(address, method string, args, reply any) bool {
	return h.callWithin(callTimeout, address, method, args, reply)
}

func (h *Home) callWithin(timeout time.Duration, address, method string, args, reply any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if h.transport.Call(ctx, address, method, args, reply) != nil {
		return false
	}
	// A node that sends an invalid reply is as good as one that sends none.
	take, ok := reply.(*TakeReply)
	return !ok || take.Validate() == nil
}

// take grants tokens, or passes the call on to the node that may grant them.
func (h *Home) take(request TakeRequest) TakeReply {
	if request.Via != "" {
		via := request.Via
		request.Via, request.Forwarded = "", true
		return h.forward(via, request)
	}
	if request.Rate <= 0 {
		return TakeReply{NotHome: true}
	}
	now := time.Now()
	h.mu.Lock()
	h.followNodes(now)
	if !h.isDiscovered {
		h.mu.Unlock()
		// It has no bucket for a new home either.
		return TakeReply{NotHome: request.NewHome == ""}
	}
	a := h.accountOf(request, now)
	order := a.candidates
	rank := order.rankOf(h.self)
	switch {
	case request.NewHome != "":
		reply := h.release(a, request, h.probes.knownShare(now), now)
		h.mu.Unlock()
		h.outages.clear(request.NewHome)
		return reply
	case a.movedUntil.After(now) && rank == 0:
		to := a.movedTo
		h.mu.Unlock()
		if request.Forwarded {
			return TakeReply{NotHome: true}
		}
		request.Forwarded = true
		return h.forward(to, request)
	case rank == 0:
		since := homeSince(request.Name, h.self, h.homeFrom, h.removals)
		h.mu.Unlock()
		return h.takeAsHome(request, order, since)
	}
	h.mu.Unlock()
	if rank < 0 || request.Forwarded {
		return TakeReply{NotHome: true}
	}
	return h.takeForOthers(request, order[:rank])
}

// forward calls another node's home.
func (h *Home) forward(address string, request TakeRequest) TakeReply {
	var reply TakeReply
	if !h.call(address, methodTake, request, &reply) {
		return TakeReply{NotHome: true}
	}
	return reply
}

// takeForOthers passes the call on to the first of the nodes that come before this one
// in rendezvous order and can be reached. If none can, it grants tokens in their place
// once they have been unreachable for takeoverDelay.
func (h *Home) takeForOthers(request TakeRequest, before []string) TakeReply {
	var since time.Time
	for _, address := range before {
		route := h.outages.routeTo(address, time.Now())
		if route.isDown {
			if route.takeoverAt.After(since) {
				since = route.takeoverAt
			}
			continue
		}
		forwarded := request
		forwarded.Forwarded = true
		var reply TakeReply
		if route.relay != "" {
			forwarded.Forwarded, forwarded.Via = false, address
		}
		if h.call(cmp.Or(route.relay, address), methodTake, forwarded, &reply) {
			return reply
		}
		h.outages.recordFailure(address, time.Now())
		return TakeReply{NotHome: true}
	}
	if now := time.Now(); since.After(now) {
		h.probes.ensure(h.peers, now)
		return TakeReply{NotHome: true, RetryAfterMS: since.Sub(now).Milliseconds()}
	}
	return h.grant(request, since)
}

// grant takes tokens from the customer's bucket, which is empty at since.
func (h *Home) grant(request TakeRequest, since time.Time) TakeReply {
	share, ok := h.probes.share(h.peers, time.Now())
	if !ok {
		return TakeReply{NotHome: true}
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accountOf(request, now)
	switch {
	case a.since.Before(since):
		a.begin(since, 0)
	case a.movedUntil.After(now):
		return TakeReply{NotHome: true}
	}
	a.bucket.fill(now, a.rate, a.burst, share)
	granted := a.bucket.take(request.Want)
	if granted == request.Want {
		return TakeReply{Granted: granted}
	}
	retryAt := a.bucket.promise(now, a.rate*max(share, 1-fullContact), max(0, request.Waiting-granted))
	return TakeReply{Granted: granted, RetryAfterMS: max(1, retryAt.Sub(now).Milliseconds())}
}

// accountOf returns the customer's account with its rate and its candidates up to
// date. The caller holds mu.
func (h *Home) accountOf(request TakeRequest, now time.Time) *account {
	h.followNodes(now)
	a, ok := h.accounts[request.Name]
	if !ok {
		h.expireSome(now)
		a = &account{rate: request.Rate, burst: request.Burst, rateNamedAt: now}
		h.accounts[request.Name] = a
	}
	if request.Rate <= a.rate || now.Sub(a.rateNamedAt) > rateMemory {
		a.rate, a.burst, a.rateNamedAt = request.Rate, request.Burst, now
	}
	a.usedAt = now
	if a.viewVersion != h.viewVersion || a.candidates[0] == "" {
		a.candidates, a.viewVersion = elect(h.nodes.Nodes(), request.Name), h.viewVersion
	}
	return a
}

// followNodes records the nodes that left since the last call. The caller holds mu.
func (h *Home) followNodes(now time.Time) {
	if !h.isDiscovered {
		if !h.nodes.IsDiscovered() {
			return
		}
		h.isDiscovered = true
		if from := now.Add(-takeoverDelay); from.After(h.homeFrom) {
			h.homeFrom = from
		}
	}
	version := h.nodes.Version()
	if version == h.viewVersion {
		return
	}
	known := map[string]time.Time{}
	for _, n := range h.nodes.Nodes() {
		learnedAt, ok := h.known[n.ControlAddress]
		if !ok && h.known != nil {
			learnedAt = now
		}
		known[n.ControlAddress] = learnedAt
	}
	for address := range h.known {
		if _, ok := known[address]; !ok {
			h.removals = append(h.removals, removal{address, now})
		}
	}
	h.removals = slices.DeleteFunc(h.removals, func(r removal) bool { return now.Sub(r.at) > time.Minute })
	h.viewVersion, h.known = version, known
}

// expireCount is the number of accounts that are checked when one is created, so that
// the number of idle ones stays bounded at a constant cost.
const expireCount = 4

// expireSome deletes a few accounts that are idle and whose bucket is full again. The
// caller holds mu.
func (h *Home) expireSome(now time.Time) {
	checked := 0
	for name, a := range h.accounts {
		full := field.Seconds((a.burst + extraBurst) / a.rate)
		if now.Sub(a.usedAt) > max(minIdle, full) && !a.isMoving {
			delete(h.accounts, name)
		}
		if checked++; checked == expireCount {
			return
		}
	}
}

// peers returns the addresses of the other nodes, sorted by location.
func (h *Home) peers() []string {
	version := h.nodes.Version()
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	if version == h.peersVersion {
		return h.sortedPeers
	}
	nodes := slices.Clone(h.nodes.Nodes())
	slices.SortFunc(nodes, func(a, b membership.Record) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.ControlAddress, b.ControlAddress))
	})
	var addresses []string
	for _, n := range nodes {
		if n.ControlAddress != h.self {
			addresses = append(addresses, n.ControlAddress)
		}
	}
	h.peersVersion, h.sortedPeers = version, addresses
	return addresses
}

// checkPeer reports whether a node is reached.
func (h *Home) checkPeer(address string) bool {
	return address == h.self || h.call(address, methodCheck, CheckRequest{}, &CheckReply{})
}
