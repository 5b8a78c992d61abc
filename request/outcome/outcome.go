package outcome

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/http1"
)

// Outcome is what became of a request.
type Outcome string

// The outcomes.
const (
	// Answered means that the whole answer follows.
	Answered Outcome = "answered"
	// NotRun means that no target began the request, and none will.
	NotRun Outcome = "not_run"
	// Unknown means that a target may have run the request.
	Unknown Outcome = "unknown"
)

// Code names the reason of a refusal or failure.
type Code string

// The codes of refusals; the request was not run.
const (
	CodeNoRoute            Code = "no_route"
	CodeBadRequest         Code = "bad_request"
	CodeBodyTooLarge       Code = "body_too_large"
	CodeNotReady           Code = "not_ready"
	CodeNoTarget           Code = "no_target"
	CodeDraining           Code = "draining"
	CodeTargetSuspected    Code = "suspect"
	CodeTargetFull         Code = "full"
	CodeDeadlineExceeded   Code = "not_in_time"
	CodeRetryBudget        Code = "retry_budget"
	CodeShed               Code = "shed"
	CodeMisdirected        Code = "misdirected"
	CodeUnreachable        Code = "unreachable"
	CodeCallerDisconnected Code = "caller_gone"
)

// The codes of failures; the outcome is unknown.
const (
	CodeTimeout            Code = "timeout"
	CodeTargetFailed       Code = "target_failed"
	CodeResponseTruncated  Code = "answer_cut_short"
	CodeResponseMismatched Code = "answer_foreign"
	CodeResponseUnsigned   Code = "answer_unsigned"
	CodeGateConnectionLost Code = "gate_lost"
)

// Headers of the product's own answers.
const (
	HeaderOutcome = "Cuminwheel-Outcome"
	HeaderCode    = "Cuminwheel-Code"
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
func Refused(code Code, format string, args ...any) *Problem {
	return &Problem{Outcome: NotRun, Code: code, Status: statusOf(code), Detail: fmt.Sprintf(format, args...)}
}

// Failed returns a problem whose outcome is unknown. Its status promises nothing,
// also if the code is one of a refusal.
func Failed(code Code, format string, args ...any) *Problem {
	status := statusOf(code)
	if status != http.StatusGatewayTimeout {
		status = http.StatusBadGateway
	}
	return &Problem{Outcome: Unknown, Code: code, Status: status, Detail: fmt.Sprintf(format, args...)}
}

// statusOf returns the status that callers get. 503 promises that the request
// was not run; 502 and 504 promise nothing.
func statusOf(code Code) int {
	switch code {
	case CodeNoRoute:
		return http.StatusNotFound
	case CodeBadRequest:
		return http.StatusBadRequest
	case CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeTimeout:
		return http.StatusGatewayTimeout
	case CodeTargetFailed, CodeResponseTruncated, CodeResponseMismatched, CodeResponseUnsigned, CodeGateConnectionLost:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// WithRetryAt returns the problem with a time at which to come back.
func (p Problem) WithRetryAt(t time.Time) *Problem {
	p.RetryAt = t
	return &p
}

// document is the body of a problem.
type document struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail"`
	Code      Code    `json:"code"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id"`
}

// minRetryAfter keeps callers from coming back at once.
const minRetryAfter = 50 * time.Millisecond

// ToResponse returns the problem as the answer to a request. Retry-After is in
// seconds with a fraction.
func (p *Problem) ToResponse(requestID string, now time.Time) *http1.Response {
	h := http.Header{
		"Content-Type": {"application/problem+json"},
		HeaderOutcome:  {string(p.Outcome)},
		HeaderCode:     {string(p.Code)},
	}
	if !p.RetryAt.IsZero() {
		wait := max(minRetryAfter, p.RetryAt.Sub(now))
		h["Retry-After"] = []string{strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)}
	}
	body, err := json.Marshal(document{
		Type: "about:blank", Title: http.StatusText(p.Status), Status: p.Status, Detail: p.Detail,
		Code: p.Code, Outcome: p.Outcome, RequestID: requestID,
	})
	if err != nil {
		// A document of strings and numbers always encodes.
		panic(err)
	}
	return &http1.Response{Status: p.Status, Header: h, Body: body}
}
