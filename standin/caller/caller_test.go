package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/matryer/is"
)

// attempt is what the test's server gets.
type attempt struct {
	uri, id, body string
	at            time.Time
}

// Guards against callers that do not honour Retry-After, that wait for longer than a third
// of their time, and whose return is not the same request under a new ID.
func TestCallersReturn(t *testing.T) {
	tests := []struct {
		name                        string
		maxReturns, refusals        int
		retryAfter                  string
		attempts, answered, returns int
		wait                        time.Duration
	}{
		{"callers that do not return", 0, 1, "0.100", 1, 0, 0, 0},
		{"served at the first return", 2, 1, "0.100", 2, 1, 1, 100 * time.Millisecond},
		{"served at the second return", 2, 2, "0.050", 3, 1, 2, 50 * time.Millisecond},
		{"gives up", 2, 9, "0.050", 3, 0, 2, 50 * time.Millisecond},
		{"more than a third of the time", 2, 1, "0.900", 1, 0, 0, 0},
		{"no retry time", 2, 1, "", 1, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var mu sync.Mutex
			var attempts []attempt
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				id := r.Header.Get("Cuminwheel-Request-Id")
				mu.Lock()
				attempts = append(attempts, attempt{r.RequestURI, id, string(body), time.Now()})
				refuses := len(attempts) <= test.refusals
				mu.Unlock()
				if err != nil || refuses {
					w.Header().Set(outcome.HeaderCode, string(outcome.CodeTargetFull))
					if test.retryAfter != "" {
						w.Header().Set("Retry-After", test.retryAfter)
					}
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				w.Write(target.EncodeResponse("s", r.URL.Path, id))
			}))
			defer server.Close()
			g, closeGenerator := New(Workload{
				Entries: []string{strings.TrimPrefix(server.URL, "http://")}, Host: "h", Paths: []string{"/a"}, ClaimPaths: []string{"/c"}, ClaimShare: 1,
				Rate: 10, Until: time.Now().Add(50 * time.Millisecond), Timeout: 2 * time.Second, MaxInFlight: 1, MaxReturns: test.maxReturns, Seed: 1,
			})
			defer closeGenerator()
			r := g.Run(t.Context())
			is.Equal(r.Sent, 1)
			is.Equal(r.Answered, test.answered)
			is.Equal(r.NotRun, 1-test.answered)
			is.Equal(r.Returns, test.returns)
			is.Equal(len(attempts), test.attempts)
			executions := map[string]int{}
			if test.answered == 1 {
				executions[attempts[len(attempts)-1].id] = 1
			}
			is.True(g.Audit(r, executions).IsCorrect())
			for i := 1; i < len(attempts); i++ {
				is.Equal(attempts[i].uri, attempts[0].uri)
				is.Equal(attempts[i].body, attempts[0].body)
				is.True(attempts[i].id != attempts[i-1].id)
				is.True(attempts[i].at.Sub(attempts[i-1].at) >= test.wait)
			}
		})
	}
}
