package quota

import (
	"slices"
	"time"
)

const (
	// handoverPeriod is how long after a node became a customer's home another node may
	// not know it yet and still grant. Gossip reaches all nodes within a few seconds.
	handoverPeriod = 10 * time.Second
	// handoverPatience is how long a new home tries to reach the node that was the home.
	handoverPatience = takeoverDelay
	// movedRetry is how long a node passes calls on to the node that it was told is the
	// home, before it asks again.
	movedRetry = time.Second
)

// takeAsHome grants tokens after it has got what is left in the bucket of the former
// home, if the node became the home only recently.
func (h *Home) takeAsHome(request TakeRequest, order candidates, since time.Time) TakeReply {
	now := time.Now()
	h.mu.Lock()
	a := h.accountOf(request, now)
	isNew := a.since.Before(since)
	if !isNew || now.Sub(since) > handoverPeriod || order[1] == "" {
		h.mu.Unlock()
		return h.grant(request, since)
	}
	if a.isMoving {
		h.mu.Unlock()
		return TakeReply{NotHome: true}
	}
	a.isMoving = true
	h.mu.Unlock()

	reply, ok := h.requestBucket(order[1:], request)
	now = time.Now()
	h.mu.Lock()
	a.isMoving = false
	if !ok && now.Sub(since) < handoverPatience || a.movedUntil.After(now) {
		h.mu.Unlock()
		return TakeReply{NotHome: true}
	}
	switch {
	case ok && reply.MovedTo != "":
		// Until this node learns of the one that comes before it.
		a.movedTo, a.movedUntil = reply.MovedTo, now.Add(movedRetry)
		h.mu.Unlock()
		request.Forwarded = true
		return h.forward(reply.MovedTo, request)
	case !ok:
		// The former home may still grant; nothing but the time from now on is this node's.
		a.begin(now, 0)
	case reply.HasBucket:
		a.begin(now, reply.Level)
	default:
		a.begin(since, 0)
	}
	h.mu.Unlock()
	return h.grant(request, since)
}

// requestBucket requests what is left in the bucket of the former home: the first of the
// candidates, or the next one if the first has become a candidate lately as well. ok is
// false if one did not reply, so that it may still grant. reply.MovedTo is a node that
// comes before this one and has the bucket.
func (h *Home) requestBucket(former []string, request TakeRequest) (reply TakeReply, ok bool) {
	request = TakeRequest{Name: request.Name, Rate: request.Rate, Burst: request.Burst, NewHome: h.self}
	asked := map[string]bool{h.self: true, "": true}
	queue := slices.Clone(former)
	for len(queue) > 0 {
		address := queue[0]
		queue = queue[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		if reply = (TakeReply{}); !h.call(address, methodTake, request, &reply) {
			return reply, false
		}
		if reply.HasBucket || reply.MovedTo != "" && outranks(request.Name, reply.MovedTo, h.self) {
			return reply, true
		}
		queue = append([]string{reply.MovedTo}, queue...)
	}
	return TakeReply{}, true
}

// release replies to a node that has become the customer's home: with what is left in
// the bucket, or with the node that has the bucket. The caller holds mu.
func (h *Home) release(a *account, request TakeRequest, share float64, now time.Time) TakeReply {
	wasHome := h.wasHome(a.candidates, request.NewHome, now)
	switch {
	case a.movedTo == request.NewHome:
		// It has restarted, or lost the reply. What has come in since was for it to grant.
		return TakeReply{HasBucket: true}
	case a.movedUntil.After(now):
		return TakeReply{MovedTo: a.movedTo}
	case a.since.IsZero() && wasHome:
		a.since = homeSince(request.Name, h.self, h.homeFrom, h.removals)
		a.bucket.at = a.since
	case !a.since.IsZero() && outranks(request.Name, h.self, request.NewHome):
		return TakeReply{MovedTo: h.self}
	case !wasHome && now.Sub(a.bucket.at) > checkMemory:
		// The bucket is from an earlier outage, after which another node has granted.
		return TakeReply{}
	}
	return a.moveTo(request.NewHome, share, now)
}

// begin starts the bucket of a node that grants from then on, and forgets whom it gave an
// earlier one to.
func (a *account) begin(since time.Time, level float64) {
	a.since, a.bucket = since, bucket{level: level, at: since}
	a.movedTo, a.movedUntil = "", time.Time{}
}

// moveTo gives the bucket to the customer's new home.
func (a *account) moveTo(address string, share float64, now time.Time) TakeReply {
	if !a.since.IsZero() {
		a.bucket.fill(now, a.rate, a.burst, share)
	}
	reply := TakeReply{HasBucket: !a.since.IsZero(), Level: max(0, a.bucket.level)}
	a.bucket.level = 0
	a.movedTo, a.movedUntil = address, now.Add(handoverPeriod)
	return reply
}

// wasHome reports whether the node was the home until new nodes joined. A node that
// restarts is not new, so that it does not get a full bucket. The caller holds mu.
func (h *Home) wasHome(order candidates, newHome string, now time.Time) bool {
	for _, address := range order {
		learnedAt, known := h.known[address]
		isNew := !known || now.Sub(learnedAt) < handoverPeriod
		if !isNew || address == h.self {
			_, known = h.known[newHome]
			return address == h.self && (!known || now.Sub(h.known[newHome]) < handoverPeriod)
		}
	}
	return false
}
