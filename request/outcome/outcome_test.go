package outcome

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

var codes = []Code{
	CodeUnauthorized, CodeOverQuota, CodeNoRoute, CodeBadRequest, CodeBodyTooLarge, CodeNotReady, CodeNoTarget, CodeDraining, CodeTargetSuspected, CodeTargetFull,
	CodeDeadlineExceeded, CodeRetryBudget, CodeShed, CodeMisdirected, CodeUnreachable, CodeCallerDisconnected,
	CodeTimeout, CodeTargetFailed, CodeResponseTruncated, CodeResponseMalformed, CodeResponseMismatched, CodeResponseUnsigned, CodeRefusalUnconfirmed, CodeGateConnectionLost,
}

// A failure with the code of a refusal could get a status that guarantees that
// the request was not run, so that a caller retries one that was run. Whatever
// its code, a failure must have a status that guarantees nothing.
func TestFailureStatusGuaranteesNothing(t *testing.T) {
	for _, c := range codes {
		t.Run(string(c), func(t *testing.T) {
			is := is.New(t)
			p := Failed(c, "test")
			is.Equal(p.Outcome, Unknown)
			is.True(p.Status == http.StatusBadGateway || p.Status == http.StatusGatewayTimeout)
		})
	}
}

// A refusal must have the status of its code: callers retry after a 503 or 429, and must
// not retry with a key that is not known.
func TestRefusalStatus(t *testing.T) {
	tests := []struct {
		code Code
		want int
	}{
		{CodeUnauthorized, http.StatusUnauthorized}, {CodeOverQuota, http.StatusTooManyRequests}, {CodeNoRoute, http.StatusNotFound},
		{CodeNotReady, http.StatusServiceUnavailable}, {CodeTargetFull, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(string(test.code), func(t *testing.T) {
			is := is.New(t)
			p := Refused(test.code, "test")
			is.Equal(p.Outcome, NotRun)
			is.Equal(p.Status, test.want)
			is.Equal(p.ToResponse("1", time.Now()).Header.Get("Retry-After"), "")
		})
	}
}

// A retry time that was chosen for the time that the caller has left must not be raised: a
// caller does not wait for more than a third of it. All others keep callers from retrying
// immediately.
func TestRetryAfter(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name    string
		problem *Problem
		want    string
	}{
		{"none", Refused(CodeNoRoute, "test"), ""},
		{"soon", Refused(CodeTargetFull, "test").WithRetryAt(now.Add(10 * time.Millisecond)), "0.050"},
		{"promised soon", Refused(CodeTargetFull, "test").WithPromise(now.Add(10 * time.Millisecond)), "0.010"},
		{"promised now", Refused(CodeTargetFull, "test").WithPromise(now), "0.001"},
		{"later", Refused(CodeTargetFull, "test").WithRetryAt(now.Add(700 * time.Millisecond)), "0.700"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.problem.ToResponse("1", now).Header.Get("Retry-After"), test.want)
		})
	}
}
