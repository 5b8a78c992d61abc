// Package hopheader is what an entry and a gate say to each other beside the request
// and the answer that they pass on. Both travel as HTTP/1.1 messages; one field
// of the header holds what the nodes add.
//
// Every request awaits the gate's grant: the gate asks for the body, by a 100
// response, when the request has its slot. Until then it has not run and will
// not unless the entry goes on, so that an entry may leave a gate that is silent
// and ask another.
package hopheader

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/go-faster/errors"
)

// headerField is the header headerField that holds an Ask or a Reply. It is short, since
// bytes between regions are paid for.
const headerField = "Cw"

// ErrMalformed means that a peer's field cannot be read.
var ErrMalformed = errors.New("the other node's header field cannot be read")

// Request is what an entry says of a request.
type Request struct {
	// Service is the service that is to run the request; another one refuses.
	Service string
	// CallerService is the service on whose VM the request began.
	CallerService string
	// IsStateQuery means that nothing is to be run: the entry only asks for the
	// gate's state.
	IsStateQuery bool
	// Idempotent requests may run more than once.
	Idempotent bool
	// RouteHash is equal for requests of one route, so that the gate can tell how long
	// they take.
	RouteHash uint32
	// Priority ranks waiting requests; 0 is the most urgent.
	Priority int
	// IsRetry means that a target has been sent the request before.
	IsRetry bool
	// RetryCharged means that a gate that failed the request has paid for its being
	// sent again.
	RetryCharged bool
	// CanRetry means that the entry has time and attempts left to send the
	// request to another target, so that it can try out a suspected one.
	CanRetry bool
	// SoftDeadline is when the answer is wanted: after it, the answer is worth less.
	SoftDeadline time.Time
	// Deadline is when the request must have its answer.
	Deadline time.Time
	// QueueDeadline is when the request must have its slot.
	QueueDeadline time.Time
}

// Inject writes the ask into a header. Times travel as what is left of them, since
// clocks differ.
func (r Request) Inject(h http.Header, now time.Time) {
	var b strings.Builder
	b.WriteString("s=" + r.Service + ";c=" + r.CallerService)
	b.WriteString(";a=" + formatMillis(r.SoftDeadline.Sub(now)) + ";d=" + formatMillis(r.Deadline.Sub(now)) + ";w=" + formatMillis(r.QueueDeadline.Sub(now)))
	if r.RouteHash != 0 {
		b.WriteString(";t=" + strconv.FormatUint(uint64(r.RouteHash), 36))
	}
	if r.Priority != 0 {
		b.WriteString(";p=" + strconv.Itoa(r.Priority))
	}
	for _, f := range []struct {
		name string
		set  bool
	}{{"q", r.IsStateQuery}, {"i", r.Idempotent}, {"r", r.IsRetry}, {"k", r.RetryCharged}, {"f", r.CanRetry}} {
		if f.set {
			b.WriteString(";" + f.name + "=1")
		}
	}
	h[headerField] = []string{b.String()}
}

// ExtractRequest reads the ask of a request that arrived at the given time and removes
// it from the header.
func ExtractRequest(h http.Header, arrived time.Time) (Request, error) {
	f := extractParams(h)
	deadlineMillis, err1 := strconv.ParseInt(f["d"], 10, 64)
	queueMillis, err2 := strconv.ParseInt(f["w"], 10, 64)
	softMillis, err3 := strconv.ParseInt(f["a"], 10, 64)
	if f["s"] == "" || err1 != nil || err2 != nil || err3 != nil {
		return Request{}, ErrMalformed
	}
	priority, _ := strconv.Atoi(f["p"]) // absent means 0
	kind, _ := strconv.ParseUint(f["t"], 36, 32)
	return Request{
		Service: f["s"], CallerService: f["c"], Priority: priority, RouteHash: uint32(kind),
		IsStateQuery: f["q"] != "", Idempotent: f["i"] != "", IsRetry: f["r"] != "", RetryCharged: f["k"] != "", CanRetry: f["f"] != "",
		SoftDeadline:  arrived.Add(time.Duration(softMillis) * time.Millisecond),
		Deadline:      arrived.Add(time.Duration(deadlineMillis) * time.Millisecond),
		QueueDeadline: arrived.Add(time.Duration(queueMillis) * time.Millisecond),
	}, nil
}

// GateState is what a gate says of itself with every answer.
type GateState struct {
	// Accepting means that the gate's target takes new work.
	Accepting bool
	// Suspect means that the target has failed lately and takes only work that
	// may fail.
	Suspect bool
	// Outstanding and Slots are the requests that the target has, waiting ones
	// included, and how many it runs at once.
	Outstanding int
	Slots       int
	// LastSuccessAt is when the target last gave a whole answer that is no error;
	// zero if it has not yet.
	LastSuccessAt time.Time
}

// Response is what a gate says with an answer.
type Response struct {
	State GateState
	// Problem is nil for a target's answer.
	Problem *outcome.Problem
	// RetryCharged means that the gate has paid for sending the request to another
	// target of the service, out of its part of the bound on repeats.
	RetryCharged bool
}

// Inject writes the reply into an answer's header.
func (r Response) Inject(h http.Header, now time.Time) {
	var b strings.Builder
	b.WriteString("b=" + strconv.Itoa(r.State.Outstanding) + ";n=" + strconv.Itoa(r.State.Slots))
	if !r.State.LastSuccessAt.IsZero() {
		b.WriteString(";a=" + formatMillis(now.Sub(r.State.LastSuccessAt)))
	}
	if r.State.Accepting {
		b.WriteString(";o=1")
	}
	if r.State.Suspect {
		b.WriteString(";q=1")
	}
	if r.RetryCharged {
		b.WriteString(";k=1")
	}
	if p := r.Problem; p != nil {
		b.WriteString(";x=" + string(p.Code))
		if p.Outcome == outcome.Unknown {
			b.WriteString(";u=1")
		}
		if !p.RetryAt.IsZero() {
			b.WriteString(";t=" + formatMillis(p.RetryAt.Sub(now)))
		}
	}
	h[headerField] = []string{b.String()}
}

// ExtractResponse reads the reply and removes it from the header.
func ExtractResponse(h http.Header, now time.Time) (Response, error) {
	f := extractParams(h)
	busy, err1 := strconv.Atoi(f["b"])
	slots, err2 := strconv.Atoi(f["n"])
	if err1 != nil || err2 != nil {
		return Response{}, ErrMalformed
	}
	r := Response{
		State:        GateState{Accepting: f["o"] != "", Suspect: f["q"] != "", Outstanding: busy, Slots: slots},
		RetryCharged: f["k"] != "",
	}
	if ms, err := strconv.ParseInt(f["a"], 10, 64); err == nil {
		r.State.LastSuccessAt = now.Add(-time.Duration(ms) * time.Millisecond)
	}
	code := outcome.Code(f["x"])
	switch {
	case code == "":
		return r, nil
	case f["u"] != "":
		r.Problem = outcome.Failed(code, "the gate reported it")
	default:
		r.Problem = outcome.Refused(code, "the gate reported it")
	}
	if ms, err := strconv.ParseInt(f["t"], 10, 64); err == nil {
		r.Problem = r.Problem.WithRetryAt(now.Add(time.Duration(ms) * time.Millisecond))
	}
	return r, nil
}

func extractParams(h http.Header) map[string]string {
	params := map[string]string{}
	for _, part := range strings.Split(h.Get(headerField), ";") {
		name, value, _ := strings.Cut(part, "=")
		params[name] = value
	}
	delete(h, headerField)
	return params
}

// Strip removes what only nodes may say from a caller's or target's header.
func Strip(h http.Header) { delete(h, headerField) }

func formatMillis(d time.Duration) string { return strconv.FormatInt(max(0, d.Milliseconds()), 10) }
