package relay

import (
	"context"
	"net/http"

	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/go-faster/errors"
)

// ProblemOf says what became of a request that Send returned an error for. ctx
// is the one that Send had, peer names whom the request went to, and lost is
// the code for a peer that gave no answer. Only a request that was not sent
// certainly did not run.
func ProblemOf(ctx context.Context, err error, peer string, lost outcome.Code) *outcome.Problem {
	switch {
	case errors.Is(err, ErrNotSent):
		return outcome.Refused(outcome.CodeNoTarget, http.StatusServiceUnavailable, "the %s cannot be reached", peer)
	case errors.Is(err, ErrCrossed):
		return outcome.Failed(outcome.CodeAnswerCrossed, http.StatusBadGateway, "the %s answered another request", peer)
	case ctx.Err() != nil:
		return outcome.Failed(outcome.CodeTimeout, http.StatusGatewayTimeout, "the %s did not answer by the deadline", peer)
	case errors.Is(err, ErrCutShort):
		return outcome.Failed(outcome.CodeAnswerCut, http.StatusBadGateway, "the %s's answer was cut short", peer)
	}
	return outcome.Failed(lost, http.StatusBadGateway, "the %s gave no answer", peer)
}

// WriteAnswered sends the answer on as the outcome of the request id.
func (a *Answer) WriteAnswered(w http.ResponseWriter, r *http.Request, id string) error {
	a.Header.Set(outcome.HeaderOutcome, string(outcome.Answered))
	a.Header.Set(outcome.HeaderRequestID, id)
	return a.Write(w, r.Method == http.MethodHead)
}
