package outcome

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome is what became of a request.
type Outcome string

// The outcomes.
const (
	// Answered means that the whole answer follows.
	Answered Outcome = "answered"
	// NotRun means that no target began the request.
	NotRun Outcome = "not_run"
	// Unknown means that a target may have run the request.
	Unknown Outcome = "unknown"
)

// Code names the reason of a refusal or failure.
type Code string

// The codes of refusals; the request was not run.
const (
	CodeNoRoute         Code = "no_route"
	CodeMethod          Code = "method_not_allowed"
	CodeBadRequest      Code = "bad_request"
	CodeBodyTooLarge    Code = "body_too_large"
	CodeCustomerLimit   Code = "customer_limit"
	CodeNotInTime       Code = "not_in_time"
	CodeNoTarget        Code = "no_target"
	CodeLeaving         Code = "leaving"
	CodeNotReady        Code = "not_ready"
	CodeClaimKeyMissing Code = "claim_key_missing"
	CodeClaimKeyFormat  Code = "claim_key_format"
	CodeClaimKeyEarly   Code = "claim_key_too_early"
	CodeClaimMemoryFull Code = "claim_memory_full"
	CodeClaimReused     Code = "claim_key_reused"
	CodeNoSeat          Code = "no_claim_seat"
	CodeSeatMoved       Code = "claim_seat_moved"
)

// The codes of failures; the outcome is unknown.
const (
	CodeTimeout         Code = "timeout"
	CodeTargetFailed    Code = "target_failed"
	CodeSlowGate        Code = "slow_gate"
	CodeAnswerCut       Code = "answer_cut_short"
	CodeAnswerCrossed   Code = "answer_crossed"
	CodeGateLost        Code = "gate_lost"
	CodeClaimKeyOld     Code = "claim_key_too_old"
	CodeClaimUnsure     Code = "claim_outcome_unknown"
	CodeSeatUnreachable Code = "claim_seat_unreachable"
)

// Headers of the protocol with callers and between nodes.
const (
	HeaderOutcome   = "Cuminwheel-Outcome"
	HeaderCode      = "Cuminwheel-Code"
	HeaderRequestID = "Cuminwheel-Request-Id"
	HeaderCustomer  = "Cuminwheel-Customer"
	// HeaderTimeout is a caller's own bound in ms from the arrival.
	HeaderTimeout = "Cuminwheel-Timeout-Ms"
	// HeaderDeadline is the absolute deadline between nodes, Unix ms.
	HeaderDeadline = "Cuminwheel-Deadline"
	HeaderAttempt  = "Cuminwheel-Attempt"
	HeaderService  = "Cuminwheel-Service"
	// HeaderSeat is the claim seat and its epoch between nodes.
	HeaderSeat = "Cuminwheel-Seat"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderRetryAfterMillis is Retry-After in ms.
	HeaderRetryAfterMillis = "Cuminwheel-Retry-After-Ms"
)

// Problem is a refusal or a failure. It is an error.
type Problem struct {
	Outcome Outcome
	Code    Code
	Status  int
	Detail  string
	// RetryAt is when the caller may come back; zero leaves it open.
	RetryAt time.Time
}

func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Code, p.Outcome, p.Detail)
}

// Refused returns a problem that says the request was not run.
func Refused(code Code, status int, format string, args ...any) *Problem {
	return &Problem{Outcome: NotRun, Code: code, Status: status, Detail: fmt.Sprintf(format, args...)}
}

// Failed returns a problem whose outcome is unknown.
func Failed(code Code, status int, format string, args ...any) *Problem {
	return &Problem{Outcome: Unknown, Code: code, Status: status, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAt returns the problem with a time at which to come back.
func (p Problem) WithRetryAt(t time.Time) *Problem {
	p.RetryAt = t
	return &p
}

// document is the body of a problem.
type document struct {
	Type             string  `json:"type"`
	Title            string  `json:"title"`
	Status           int     `json:"status"`
	Detail           string  `json:"detail"`
	Code             Code    `json:"code"`
	Outcome          Outcome `json:"outcome"`
	RequestID        string  `json:"request_id"`
	RetryAfterMillis int64   `json:"retry_after_ms,omitempty"`
}

// Write sends the problem as the response to a request.
func (p *Problem) Write(w http.ResponseWriter, requestID string, now time.Time) {
	d := document{
		Type:      "about:blank",
		Title:     http.StatusText(p.Status),
		Status:    p.Status,
		Detail:    p.Detail,
		Code:      p.Code,
		Outcome:   p.Outcome,
		RequestID: requestID,
	}
	h := w.Header()
	if !p.RetryAt.IsZero() {
		wait := max(0, p.RetryAt.Sub(now))
		d.RetryAfterMillis = wait.Milliseconds()
		seconds := (wait + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(max(1, seconds)), 10))
		h.Set(HeaderRetryAfterMillis, strconv.FormatInt(d.RetryAfterMillis, 10))
	}
	body, err := json.Marshal(d)
	if err != nil {
		body = nil
	}
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(p.Outcome))
	h.Set(HeaderCode, string(p.Code))
	h.Set(HeaderRequestID, requestID)
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// FromHeader returns the problem that a peer's response carries in its
// headers, or nil for an answer. A response without a known outcome counts as
// a failure whose outcome is unknown.
func FromHeader(h http.Header, status int, now time.Time) *Problem {
	p := &Problem{
		Outcome: Outcome(h.Get(HeaderOutcome)),
		Code:    Code(h.Get(HeaderCode)),
		Status:  status,
	}
	switch p.Outcome {
	case Answered:
		return nil
	case NotRun, Unknown:
	default:
		return Failed(CodeGateLost, http.StatusBadGateway, "the gate's response names no outcome")
	}
	if ms, err := strconv.ParseInt(h.Get(HeaderRetryAfterMillis), 10, 64); err == nil {
		p.RetryAt = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return p
}
