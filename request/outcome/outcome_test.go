package outcome

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

var codes = []Code{
	CodeNoRoute, CodeBadRequest, CodeBodyTooLarge, CodeNotReady, CodeNoTarget, CodeDraining, CodeTargetSuspected, CodeTargetFull,
	CodeDeadlineExceeded, CodeRetryBudget, CodeOverQuota, CodeShed, CodeMisdirected, CodeUnreachable, CodeCallerDisconnected,
	CodeTimeout, CodeTargetFailed, CodeResponseTruncated, CodeResponseMismatched, CodeResponseUnsigned, CodeGateConnectionLost,
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
