package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/relay"
	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/home"
	"github.com/cuminwheel/cuminwheel/request/claim"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/go-faster/errors"
)

// seatRetry is when a caller may repeat a claim whose seat cannot be reached.
const seatRetry = 2 * time.Second

// serveClaim brings a claim to the holder of its key's seat.
func (e *Entry) serveClaim(ctx context.Context, c *call) (*relay.Answer, *outcome.Problem) {
	key, problem := readKey(c.header)
	if problem != nil {
		return nil, problem
	}
	index := key.Seat(c.service.ClaimSeats)
	seat, ok := e.states.State().Seat(c.service.Name, index)
	if !ok {
		// No key of a seat that never had a holder can have run.
		return nil, outcome.Refused(outcome.CodeNoSeat, http.StatusServiceUnavailable,
			"claim seat %d of service %s has no holder yet", index, c.service.Name).WithRetryAt(e.clock().Add(seatRetry))
	}
	e.logger.Info("chose", "request", c.id, "service", c.service.Name, "key", key, "seat", index,
		"holder", seat.Holder, "epoch", seat.Epoch, "reason", "claim_seat", "deadline", c.deadline)
	if seat.Holder == e.self {
		return e.runAtHome(ctx, c, key)
	}
	return e.sendHome(ctx, c, index, seat.Holder)
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

// sendHome relays a claim to the node that holds its seat. That the holder was
// not reached says nothing about an earlier attempt with the same key, so the
// outcome is unknown then.
func (e *Entry) sendHome(ctx context.Context, c *call, index int, holder string) (*relay.Answer, *outcome.Problem) {
	address, ok := e.nodes.GateOf(holder)
	if !ok {
		return nil, e.seatUnreachable("the node that holds the claim seat is gone")
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	answer, err := e.client.Send(ctx, address, c.toHome(index))
	if errors.Is(err, relay.ErrNotSent) {
		return nil, e.seatUnreachable("the node that holds the claim seat cannot be reached")
	}
	if err != nil {
		return nil, problemOf(ctx, err)
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

func (e *Entry) seatUnreachable(detail string) *outcome.Problem {
	return outcome.Failed(outcome.CodeSeatUnreachable, http.StatusServiceUnavailable, "%s; repeat with the same key", detail).
		WithRetryAt(e.clock().Add(seatRetry))
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
	answer.Header.Set(outcome.HeaderOutcome, string(outcome.Answered))
	answer.Header.Set(outcome.HeaderRequestID, id)
	if err := answer.Write(w, r.Method == http.MethodHead); err != nil {
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
