package hopheader

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A notice must arrive as it was sent, in both directions. One that a gate does not know
// must never be read as the absence of a limit.
func TestNoticeRoundTrip(t *testing.T) {
	notices := []Notice{
		{IsKnown: true}, {}, {Incarnation: 9}, {IsKnown: true, Incarnation: 9, HasLimit: true, Limit: 3.5},
		{IsKnown: true, Incarnation: 9, HasLimit: true}, {IsKnown: true, Incarnation: 9, Leaving: true},
		{Incarnation: 9, Leaving: true}, {IsKnown: true, Incarnation: 9, HasLimit: true, Limit: 0.2, Leaving: true},
	}
	for _, n := range notices {
		is := is.New(t)
		now := time.Now()
		h := http.Header{}
		Response{State: GateState{Notice: n}}.Inject(h, now)
		resp, err := ExtractResponse(h, now)
		is.NoErr(err)
		is.Equal(resp.State.Notice, n)
		if !n.IsKnown || !n.IsRestrictive() {
			continue
		}
		Request{Service: "s", Notice: n}.Inject(h, now)
		req, err := ExtractRequest(h, now)
		is.NoErr(err)
		is.Equal(req.Notice, n)
	}
	is := is.New(t)
	is.Equal(extractNotice(map[string]string{"e": "9", "l": "NaN"}).IsKnown, false)
}
