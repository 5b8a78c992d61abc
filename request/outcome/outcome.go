package outcome

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/http1"
)

// Outcome is the result of a request.
type Outcome string

// The outcomes.
const (
	// Answered means that the complete response follows.
	Answered Outcome = "answered"
	// NotRun means that no target started to run the request, and none will.
	NotRun Outcome = "not_run"
	// Unknown means that a target may have run the request.
	Unknown Outcome = "unknown"
)

// Code identifies the reason of a refusal or a failure.
type Code string

// Codes of refusals: the request was not run. CodeCallerDisconnected is also the
// code of a failure if the request may have been run.
const (
	// CodeNoRoute means that no route matches the host and path.
	CodeNoRoute      Code = "no_route"
	CodeBadRequest   Code = "bad_request"
	CodeBodyTooLarge Code = "body_too_large"
	// CodeUnauthorized means that the route needs a key and that the caller's key is
	// missing, unknown or removed.
	CodeUnauthorized Code = "unauthorized"
	// CodeOverQuota means that the customer's quota is used up.
	CodeOverQuota Code = "over_quota"
	// CodeNoQuotaHome means that no node was found that knows how much of the customer's
	// quota is used.
	CodeNoQuotaHome Code = "no_quota_home"
	// CodeNotReady means that the node has no configuration yet.
	CodeNotReady Code = "not_ready"
	// CodeNoTarget means that no target of the service is available.
	CodeNoTarget Code = "no_target"
	// CodeDraining means that the target is draining or has deregistered, or that
	// the node is leaving.
	CodeDraining Code = "draining"
	// CodeTargetSuspected means that the target failed recently.
	CodeTargetSuspected Code = "suspect"
	// CodeTargetFull means that no slot becomes free soon enough.
	CodeTargetFull Code = "full"
	// CodeTargetLimited means that the target has named a request limit, which is used
	// up.
	CodeTargetLimited Code = "limited"
	// CodeQuarantined means that the request has crashed several targets.
	CodeQuarantined Code = "quarantined"
	// CodeDeadlineExceeded means that the deadline passed before the request was
	// run.
	CodeDeadlineExceeded Code = "not_in_time"
	// CodeRetryBudget means that the retry budget is used up.
	CodeRetryBudget Code = "retry_budget"
	// CodeShed means that the target itself rejected the request without running it.
	CodeShed Code = "shed"
	// CodeMisdirected means that another target has the address.
	CodeMisdirected Code = "misdirected"
	// CodeUnreachable means that the gate or the target cannot be reached.
	CodeUnreachable Code = "unreachable"
	// CodeCallerDisconnected means that the caller, or the entry on its behalf,
	// disconnected.
	CodeCallerDisconnected Code = "caller_gone"
)

// ConcernsService reports whether a refusal with the code says something about the targets of
// the service, so that an equal request would be refused as well. The others concern one
// request, its caller or its key.
func (c Code) ConcernsService() bool {
	switch c {
	case CodeNoTarget, CodeDraining, CodeTargetSuspected, CodeTargetFull, CodeTargetLimited, CodeRetryBudget, CodeShed, CodeMisdirected,
		CodeUnreachable, CodeNoMemory:
		return true
	}
	return false
}

// Codes of failures: the outcome is unknown.
const (
	// CodeTimeout means that no response came before the deadline or before the
	// node shut down.
	CodeTimeout Code = "timeout"
	// CodeTargetFailed means that the connection to the target failed without a
	// response.
	CodeTargetFailed Code = "target_failed"
	// CodeResponseTruncated means that the response started but did not complete.
	CodeResponseTruncated Code = "answer_cut_short"
	// CodeResponseMalformed means that the target's answer is no HTTP response.
	CodeResponseMalformed Code = "answer_malformed"
	// CodeResponseMismatched means that the response belongs to another request.
	CodeResponseMismatched Code = "answer_foreign"
	// CodeResponseUnsigned means that a successful response lacks the target's
	// proof of origin.
	CodeResponseUnsigned Code = "answer_unsigned"
	// CodeRefusalUnconfirmed means that the target's status says that the request was not
	// run, but the target does not confirm it.
	CodeRefusalUnconfirmed Code = "refusal_unconfirmed"
	// CodeNoMemory means that the node has no memory left for the response. As the code of
	// a refusal, it means that there is none for the request's body.
	CodeNoMemory Code = "no_memory"
	// CodeGateConnectionLost means that the connection to the gate failed, or that
	// the gate's response was invalid, when the request may have been run.
	CodeGateConnectionLost Code = "gate_lost"
)

// Headers of responses that the proxy itself generates.
const (
	HeaderOutcome = "Cuminwheel-Outcome"
	HeaderCode    = "Cuminwheel-Code"
)

// Problem is a refusal or a failure. It implements error.
type Problem struct {
	Outcome Outcome
	Code    Code
	Status  int
	Detail  string
	// RetryAt is the earliest time for a retry; zero means that none is
	// suggested.
	RetryAt time.Time
	// IsPromise means that RetryAt was chosen for the time that the caller has left, so
	// that Retry-After is not raised to the usual minimum.
	IsPromise bool
}

func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Code, p.Outcome, p.Detail)
}

// Refused returns a problem for a request that was not run.
func Refused(code Code, format string, args ...any) *Problem {
	return &Problem{Outcome: NotRun, Code: code, Status: statusOf(code), Detail: fmt.Sprintf(format, args...)}
}

// Failed returns a problem whose outcome is unknown. Its status is 502 or 504,
// which guarantee nothing, even if the code is that of a refusal.
func Failed(code Code, format string, args ...any) *Problem {
	status := statusOf(code)
	if status != http.StatusGatewayTimeout {
		status = http.StatusBadGateway
	}
	return &Problem{Outcome: Unknown, Code: code, Status: status, Detail: fmt.Sprintf(format, args...)}
}

// PromisesNotRun reports whether callers take a status as the promise that the request has
// not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// statusOf returns the status that callers get. 503 and 429 guarantee that the request
// was not run; 502 and 504 guarantee nothing.
func statusOf(code Code) int {
	switch code {
	case CodeNoRoute:
		return http.StatusNotFound
	case CodeOverQuota:
		return http.StatusTooManyRequests
	case CodeBadRequest:
		return http.StatusBadRequest
	case CodeUnauthorized:
		return http.StatusUnauthorized
	case CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeTimeout:
		return http.StatusGatewayTimeout
	case CodeTargetFailed, CodeResponseTruncated, CodeResponseMalformed, CodeResponseMismatched, CodeResponseUnsigned, CodeRefusalUnconfirmed, CodeGateConnectionLost:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// WithRetryAt returns a copy of the problem with the given retry time.
func (p Problem) WithRetryAt(t time.Time) *Problem {
	p.RetryAt = t
	return &p
}

// WithPromise returns a copy of the problem with a retry time that was chosen for the time
// that the caller has left.
func (p Problem) WithPromise(t time.Time) *Problem {
	p.RetryAt, p.IsPromise = t, true
	return &p
}

// document is a problem document as of RFC 9457.
type document struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail"`
	Code      Code    `json:"code"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id"`
}

const (
	// minRetryAfter keeps callers from retrying immediately.
	minRetryAfter = 50 * time.Millisecond
	// minPromise is the shortest Retry-After that the header can state.
	minPromise = time.Millisecond
)

// ToResponse returns the problem as the response to a request. Retry-After is
// in seconds with a decimal fraction.
func (p *Problem) ToResponse(requestID string, now time.Time) *http1.Response {
	h := http.Header{
		"Content-Type": {"application/problem+json"},
		HeaderOutcome:  {string(p.Outcome)},
		HeaderCode:     {string(p.Code)},
	}
	if !p.RetryAt.IsZero() {
		wait := max(minRetryAfter, p.RetryAt.Sub(now))
		if p.IsPromise {
			wait = max(minPromise, p.RetryAt.Sub(now))
		}
		h["Retry-After"] = []string{strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)}
	}
	body, err := json.Marshal(document{
		Type: "about:blank", Title: http.StatusText(p.Status), Status: p.Status, Detail: p.Detail,
		Code: p.Code, Outcome: p.Outcome, RequestID: requestID,
	})
	if err != nil {
		// A struct of strings and numbers always encodes.
		panic(err)
	}
	return &http1.Response{Status: p.Status, Header: h, Body: body}
}
