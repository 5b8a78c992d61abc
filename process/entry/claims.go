package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/relay"
	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/home"
	"github.com/cuminwheel/cuminwheel/process/pause"
	"github.com/cuminwheel/cuminwheel/request/claim"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/go-faster/errors"
)

// Timing of finding a seat's holder.
const (
	// seatRetry is when a caller may repeat a claim whose holder is not found.
	seatRetry  = 2 * time.Second
	seatRounds = 3
	seatPause  = 200 * time.Millisecond
)

// serveClaim brings a claim to the holder of its key's seat.
func (e *Entry) serveClaim(ctx context.Context, c *call) (*relay.Answer, *outcome.Problem) {
	key, problem := readKey(c.header)
	if problem != nil {
		return nil, problem
	}
	index := key.Seat(c.service.ClaimSeats)
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	for round := range seatRounds {
		if round > 0 {
			pause.For(ctx, seatPause)
		}
		seat, ok := e.states.State().Seat(c.service.Name, index)
		if !ok {
			continue
		}
		answer, problem := e.askMembers(ctx, c, key, seat)
		if !isElsewhere(problem) {
			return answer, problem
		}
	}
	if _, ok := e.states.State().Seat(c.service.Name, index); !ok {
		// No key of a seat that never had members can have run.
		return nil, outcome.Refused(outcome.CodeNoSeat, http.StatusServiceUnavailable,
			"claim seat %d of service %s has no members yet", index, c.service.Name).WithRetryAt(e.clock().Add(seatRetry))
	}
	// That no holder was found says nothing about an earlier attempt with the
	// same key.
	return nil, outcome.Failed(outcome.CodeSeatUnreachable, http.StatusServiceUnavailable,
		"the holder of the claim seat was not found; repeat with the same key").WithRetryAt(e.clock().Add(seatRetry))
}

// askMembers tries the seat's members, the last known holder first, until one
// of them takes the claim.
func (e *Entry) askMembers(ctx context.Context, c *call, key claim.Key, seat ledger.Seat) (*relay.Answer, *outcome.Problem) {
	var problem *outcome.Problem
	for _, member := range e.holders.order(seat) {
		e.logger.Info("chose", "request", c.id, "service", c.service.Name, "key", key, "seat", seat.Index,
			"member", member, "epoch", seat.Epoch, "reason", "claim_seat", "deadline", c.deadline)
		var answer *relay.Answer
		if member == e.self {
			answer, problem = e.runAtHome(ctx, c, key)
		} else {
			answer, problem = e.sendHome(ctx, c, seat.Index, member)
		}
		switch {
		case isElsewhere(problem):
			continue
		case problem != nil && (problem.Code == outcome.CodeTimeout || problem.Code == outcome.CodeGateLost):
			e.holders.silent(seat, member)
		default:
			e.holders.found(seat, member)
		}
		return answer, problem
	}
	return nil, problem
}

// isElsewhere reports whether a member certainly did nothing with the claim
// since it does not hold the seat or was not reached.
func isElsewhere(p *outcome.Problem) bool {
	return p != nil && (p.Code == outcome.CodeSeatMoved || p.Code == outcome.CodeSeatUnreachable)
}

// holders remembers which member of a seat took the last claim.
type holders struct {
	mu    sync.Mutex
	known map[string]string
}

// order returns the members with the last known holder first.
func (h *holders) order(s ledger.Seat) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, ok := h.known[s.Key()]
	if !ok || !slices.Contains(s.Members, last) {
		return s.Members
	}
	list := []string{last}
	for _, m := range s.Members {
		if m != last {
			list = append(list, m)
		}
	}
	return list
}

// silent puts the member after a silent one first: the silent one may be frozen
// and have lost the seat.
func (h *holders) silent(s ledger.Seat, member string) {
	i := slices.Index(s.Members, member)
	h.found(s, s.Members[(i+1)%len(s.Members)])
}

func (h *holders) found(s ledger.Seat, member string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known == nil {
		h.known = map[string]string{}
	}
	h.known[s.Key()] = member
}

func readKey(h http.Header) (claim.Key, *outcome.Problem) {
	key, err := claim.ParseKey(h.Get(outcome.HeaderKey))
	switch {
	case errors.Is(err, claim.ErrKeyMissing):
		return key, outcome.Refused(outcome.CodeClaimKeyMissing, http.StatusBadRequest, "%v", err)
	case err != nil:
		return key, outcome.Refused(outcome.CodeClaimKeyFormat, http.StatusBadRequest, "%v", err)
	}
	return key, nil
}

// runAtHome runs a claim whose seat this node holds.
func (e *Entry) runAtHome(ctx context.Context, c *call, key claim.Key) (*relay.Answer, *outcome.Problem) {
	return e.home.Serve(ctx, home.Claim{
		Key:      key,
		Service:  c.service.Name,
		Seats:    c.service.ClaimSeats,
		ID:       c.id,
		Method:   c.method,
		URI:      c.uri,
		Body:     c.body,
		Deadline: c.deadline,
	}, func(ctx context.Context) (*relay.Answer, *outcome.Problem) {
		return e.dispatch(ctx, c)
	})
}

// sendHome relays a claim to a member of its seat.
func (e *Entry) sendHome(ctx context.Context, c *call, index int, member string) (*relay.Answer, *outcome.Problem) {
	address, ok := e.nodes.GateOf(member)
	if !ok {
		return nil, outcome.Failed(outcome.CodeSeatUnreachable, http.StatusServiceUnavailable, "the member is gone")
	}
	answer, err := e.client.Send(ctx, address, c.toHome(index))
	if errors.Is(err, relay.ErrNotSent) {
		return nil, outcome.Failed(outcome.CodeSeatUnreachable, http.StatusServiceUnavailable, "the member cannot be reached")
	}
	if err != nil {
		return nil, relay.ProblemOf(ctx, err, "holder of the claim seat", outcome.CodeGateLost)
	}
	if answer.Rest != nil {
		answer.Close()
		return nil, outcome.Failed(outcome.CodeTargetFailed, http.StatusBadGateway, "the answer to the claim is too large")
	}
	problem := outcome.FromHeader(answer.Header, answer.Status, e.clock())
	if problem == nil {
		return answer, nil
	}
	problem.Detail = detailOf(problem.Code)
	return nil, problem
}

func detailOf(code outcome.Code) string {
	return "the holder of the claim seat reported " + string(code)
}

// ServeHome serves a claim that another entry sent to this node's seat.
func (e *Entry) ServeHome(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(outcome.HeaderRequestID)
	c, key, problem := e.readHomeCall(r, id)
	var answer *relay.Answer
	if problem == nil {
		answer, problem = e.runAtHome(r.Context(), c, key)
	}
	if problem != nil {
		problem.Write(w, id, e.clock())
		return
	}
	if err := answer.WriteAnswered(w, r, id); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (e *Entry) readHomeCall(r *http.Request, id string) (*call, claim.Key, *outcome.Problem) {
	key, problem := readKey(r.Header)
	if problem != nil {
		return nil, key, problem
	}
	service, ok := e.states.State().Configuration.Service(r.Header.Get(outcome.HeaderService))
	millis, err := strconv.ParseInt(r.Header.Get(outcome.HeaderDeadline), 10, 64)
	if !ok || err != nil {
		return nil, key, outcome.Failed(outcome.CodeSeatMoved, http.StatusServiceUnavailable, "the service is not known here")
	}
	body, problem := gate.ReadBody(r, service.MaxBodyBytes)
	if problem != nil {
		return nil, key, problem
	}
	h := r.Header.Clone()
	h.Del(outcome.HeaderSeat)
	return &call{
		id:       id,
		method:   r.Method,
		uri:      r.URL.RequestURI(),
		header:   h,
		body:     body,
		customer: r.Header.Get(outcome.HeaderCustomer),
		service:  service,
		route:    configuration.Route{NeverRepeat: true},
		deadline: time.UnixMilli(millis),
	}, key, nil
}
