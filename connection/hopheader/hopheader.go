// Package hopheader encodes the metadata that an entry and a gate exchange with
// each proxied request and response. All of it travels in one HTTP header field,
// Cw, as name=value pairs separated by semicolons.
//
// The entry calls Request.Inject before it sends a request; the gate reads it
// with ExtractRequest. The gate calls Response.Inject on each response; the
// entry reads it with ExtractResponse. Both call Strip on headers that come from
// a caller or a target, so that neither can set the field.
//
// An entry may send a request with Expect: 100-continue. It then waits until the
// gate grants it a slot, which the gate signals with a 100 (Continue) response
// that requests the body. Before the grant the request has not run, and it will
// not run unless the entry sends the body, so an entry may abandon a silent gate
// and try another one. After the grant a target may have run it.
package hopheader

import (
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cuminwheel/cuminwheel/request/field"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/go-faster/errors"
)

// headerField is the name of the header field that carries a Request or a
// Response. It is short because traffic between regions is billed per byte.
const headerField = "Cw"

// ErrMalformed means that a peer's header field is absent or cannot be parsed.
var ErrMalformed = errors.New("the other node's header field cannot be read")

// Request is the metadata that an entry sends with a request.
type Request struct {
	// Service is the service that is to run the request. A gate of another
	// service refuses it.
	Service string
	// CallerService is the service on whose VM the request originated.
	CallerService string
	// IsStateQuery means that there is no request to run: the entry only
	// queries the gate's state.
	IsStateQuery bool
	// Node is the control address of the entry's node. It is sent with state queries only, so
	// that a gate which has restarted learns of a node to ask.
	Node string
	// Idempotent means that the request may run more than once.
	Idempotent bool
	// RouteHash is the same for all requests of a route, so that the gate can
	// estimate how long they take.
	RouteHash uint32
	// Priority ranks queued requests; 0 is the most urgent.
	Priority int
	// Customer is the name of the caller's customer, or "". CustomerPriority goes before
	// Priority.
	Customer         string
	CustomerPriority int
	// IsRetry means that the request has already been sent to a target.
	IsRetry bool
	// RetryCharged means that a gate that failed the request has already charged
	// this retry to its own retry budget.
	RetryCharged bool
	// CanRetry means that the entry has time and attempts left to send the
	// request to another target, so the gate may use it to test a suspected
	// one.
	CanRetry bool
	// SoftDeadline is when the response is wanted. A later response is worth
	// less.
	SoftDeadline time.Time
	// Deadline is when the response must have arrived.
	Deadline time.Time
	// EntryLeaves means that the entry's node stops at Deadline, so that a request that is
	// not expected to end before would be cut.
	EntryLeaves bool
	// QueueDeadline is when the request must have been granted a slot.
	QueueDeadline time.Time
	// Notice is what the entry remembers of the gate's target, if that restricts it.
	Notice Notice
}

// Inject sets the metadata in h. Times are sent as the milliseconds that remain
// at now, because the clocks of two nodes differ.
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
	}{{"q", r.IsStateQuery}, {"i", r.Idempotent}, {"r", r.IsRetry}, {"k", r.RetryCharged}, {"f", r.CanRetry}, {"l", r.EntryLeaves}} {
		if f.set {
			b.WriteString(";" + f.name + "=1")
		}
	}
	if r.IsStateQuery && r.Node != "" {
		b.WriteString(";m=" + r.Node)
	}
	if r.Customer != "" {
		b.WriteString(";u=" + url.QueryEscape(r.Customer))
	}
	if r.CustomerPriority != 0 {
		b.WriteString(";y=" + strconv.Itoa(r.CustomerPriority))
	}
	if r.Notice.IsKnown {
		r.Notice.inject(&b)
	}
	h[headerField] = []string{b.String()}
}

// ExtractRequest parses the metadata of a request that arrived at the given time
// and removes it from h.
func ExtractRequest(h http.Header, arrived time.Time) (Request, error) {
	params := extractParams(h)
	deadlineMillis, err1 := strconv.ParseInt(params["d"], 10, 64)
	queueMillis, err2 := strconv.ParseInt(params["w"], 10, 64)
	softMillis, err3 := strconv.ParseInt(params["a"], 10, 64)
	if params["s"] == "" || err1 != nil || err2 != nil || err3 != nil {
		return Request{}, ErrMalformed
	}
	priority, customerPriority := extractPriority(params["p"]), extractPriority(params["y"])
	customer, err := url.QueryUnescape(params["u"])
	if err != nil {
		return Request{}, ErrMalformed
	}
	routeHash, _ := strconv.ParseUint(params["t"], 36, 32)
	node := params["m"]
	if node != "" {
		var c field.Checker
		if c.Address("m", node); c.Err() != nil {
			node = ""
		}
	}
	var notice Notice
	if params["e"] != "" {
		notice = extractNotice(params)
	}
	return Request{
		Service: params["s"], CallerService: params["c"], Priority: priority, RouteHash: uint32(routeHash),
		IsStateQuery: params["q"] != "", Node: node, Idempotent: params["i"] != "", IsRetry: params["r"] != "", RetryCharged: params["k"] != "", CanRetry: params["f"] != "", EntryLeaves: params["l"] != "",
		SoftDeadline:  arrived.Add(field.Millis(softMillis)),
		Deadline:      arrived.Add(field.Millis(deadlineMillis)),
		QueueDeadline: arrived.Add(field.Millis(queueMillis)),
		Notice:        notice,
		Customer:      customer, CustomerPriority: customerPriority,
	}, nil
}

// GateState is the state that a gate reports with every response.
type GateState struct {
	// Accepting means that the gate's target accepts new requests.
	Accepting bool
	// Suspected means that the target has failed recently and is only sent
	// requests that can be retried elsewhere.
	Suspected bool
	// Outstanding counts the requests at the target, queued ones included.
	// Slots is how many it runs concurrently.
	Outstanding int
	Slots       int
	// LastSuccessAt is when the target last completed a response that is not an
	// error. It is zero if there has been none.
	LastSuccessAt time.Time
	// AdmitsAt is when the target's request limit admits the next request. It is zero
	// if no limit delays one.
	AdmitsAt time.Time
	// Notice is what the target has said about itself.
	Notice Notice
}

// Response is the metadata that a gate sends with a response.
type Response struct {
	State GateState
	// Problem is why the gate refused or failed the request. It is nil if the
	// response is the target's.
	Problem *outcome.Problem
	// RetryCharged means that the gate has charged a retry at another target of
	// the service to its share of the retry budget.
	RetryCharged bool
}

// Inject sets the metadata in h. Times are sent as the milliseconds before or
// after now.
func (r Response) Inject(h http.Header, now time.Time) {
	var b strings.Builder
	b.WriteString("b=" + strconv.Itoa(r.State.Outstanding) + ";n=" + strconv.Itoa(r.State.Slots))
	if !r.State.LastSuccessAt.IsZero() {
		b.WriteString(";a=" + formatMillis(now.Sub(r.State.LastSuccessAt)))
	}
	if r.State.AdmitsAt.After(now) {
		b.WriteString(";w=" + formatMillis(r.State.AdmitsAt.Sub(now)))
	}
	r.State.Notice.inject(&b)
	if r.State.Accepting {
		b.WriteString(";o=1")
	}
	if r.State.Suspected {
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

// ExtractResponse parses the metadata of a response that arrived at now and
// removes it from h.
func ExtractResponse(h http.Header, now time.Time) (Response, error) {
	params := extractParams(h)
	busy, err1 := strconv.Atoi(params["b"])
	slots, err2 := strconv.Atoi(params["n"])
	var c field.Checker
	c.Int("b", int64(busy), 0, field.MaxCount)
	c.Int("n", int64(slots), 0, field.MaxCount)
	if err1 != nil || err2 != nil || c.Err() != nil {
		return Response{}, ErrMalformed
	}
	r := Response{
		State:        GateState{Accepting: params["o"] != "", Suspected: params["q"] != "", Outstanding: busy, Slots: slots},
		RetryCharged: params["k"] != "",
	}
	if ms, err := strconv.ParseInt(params["a"], 10, 64); err == nil {
		r.State.LastSuccessAt = now.Add(-field.Millis(ms))
	}
	if ms, err := strconv.ParseInt(params["w"], 10, 64); err == nil {
		r.State.AdmitsAt = now.Add(field.Millis(ms))
	}
	r.State.Notice = extractNotice(params)
	code := outcome.Code(params["x"])
	switch {
	case code == "":
		return r, nil
	case params["u"] != "":
		r.Problem = outcome.Failed(code, "the gate reported it")
	default:
		r.Problem = outcome.Refused(code, "the gate reported it")
	}
	if ms, err := strconv.ParseInt(params["t"], 10, 64); err == nil {
		r.Problem = r.Problem.WithRetryAt(now.Add(field.Millis(ms)))
	}
	return r, nil
}

// extractPriority parses a rank. One that is absent or malformed counts as 0.
func extractPriority(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return min(max(n, 0), field.MaxPriority)
}

// extractParams splits the header field into its parameters and removes it from h.
func extractParams(h http.Header) map[string]string {
	params := map[string]string{}
	for _, part := range strings.Split(h.Get(headerField), ";") {
		name, value, _ := strings.Cut(part, "=")
		params[name] = value
	}
	delete(h, headerField)
	return params
}

// Strip removes the field from the header of a caller or a target, since only
// nodes may set it.
func Strip(h http.Header) { delete(h, headerField) }

// formatMillis formats d in milliseconds; a negative duration counts as 0.
func formatMillis(d time.Duration) string { return strconv.FormatInt(max(0, d.Milliseconds()), 10) }

// Notice is what a target has said about itself in its responses. Gates report it to
// entries, and entries return it with their requests, so that a gate that has
// restarted learns it again from every entry that has passed it on.
type Notice struct {
	// IsKnown is false if the gate has not heard from the target since it started.
	IsKnown bool
	// Incarnation identifies the run of the target.
	Incarnation uint32
	// HasLimit means that the target takes at most Limit requests per second.
	HasLimit bool
	Limit    float64
	// Leaving means that the target must get no new requests.
	Leaving bool
}

// IsRestrictive reports whether the target must get fewer requests than its slots allow.
func (n Notice) IsRestrictive() bool { return n.HasLimit || n.Leaving }

// unknownLimit is the value of a limit that the gate does not know.
const unknownLimit = "?"

// inject writes the parameters of the notice. A notice without restrictions has none.
func (n Notice) inject(b *strings.Builder) {
	if n.IsKnown && !n.IsRestrictive() {
		return
	}
	b.WriteString(";e=" + strconv.FormatUint(uint64(n.Incarnation), 36))
	switch {
	case !n.IsKnown:
		b.WriteString(";l=" + unknownLimit)
	case n.HasLimit:
		b.WriteString(";l=" + strconv.FormatFloat(n.Limit, 'g', 6, 64))
	}
	if n.Leaving {
		b.WriteString(";g=1")
	}
}

// extractNotice reads the parameters that inject writes. A limit that cannot be parsed
// counts as unknown.
func extractNotice(params map[string]string) Notice {
	incarnation, err := strconv.ParseUint(params["e"], 36, 32)
	if err != nil {
		return Notice{IsKnown: params["e"] == ""}
	}
	n := Notice{IsKnown: true, Incarnation: uint32(incarnation), Leaving: params["g"] != ""}
	if text := params["l"]; text != "" {
		limit, err := strconv.ParseFloat(text, 64)
		if err != nil || !(limit >= 0) || math.IsInf(limit, 0) {
			n.IsKnown = false
			return n
		}
		n.HasLimit, n.Limit = true, limit
	}
	return n
}
