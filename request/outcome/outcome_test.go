package outcome

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

var codes = []Code{
	CodeNoRoute, CodeBadRequest, CodeBodyTooLarge, CodeNotReady, CodeNoTarget, CodeDraining, CodeSuspect, CodeFull,
	CodeNotInTime, CodeRetryBudget, CodeShed, CodeMisdirected, CodeUnreachable, CodeCallerGone,
	CodeTimeout, CodeTargetFailed, CodeAnswerCut, CodeAnswerForeign, CodeUnsigned, CodeGateLost,
}

// A failure whose outcome is unknown never has a status that promises that the
// request was not run, whatever its code.
func TestFailuresPromiseNothing(t *testing.T) {
	for _, c := range codes {
		t.Run(string(c), func(t *testing.T) {
			is := is.New(t)
			p := Failed(c, "test")
			is.Equal(p.Outcome, Unknown)
			is.True(p.Status == http.StatusBadGateway || p.Status == http.StatusGatewayTimeout)
		})
	}
}
