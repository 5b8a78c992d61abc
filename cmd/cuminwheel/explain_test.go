package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cuminwheel/cuminwheel/process/entry"
	"github.com/matryer/is"
)

// Guards against a key in the URL or the output, and against a text without the refusal,
// the choice or the state of a gate.
func TestExplainOutput(t *testing.T) {
	cost, tokens, age := 0.25, 3, int64(40)
	tests := []struct {
		name        string
		explanation entry.Explanation
		want        []string
	}{
		{"refused", entry.Explanation{
			ConfigurationVersion: 7,
			Refusal:              &entry.ExplainedRefusal{Status: 401, Code: "unauthorized", Detail: "no customer", RetryAfter: "0.500"},
		}, []string{"configuration 7", "refused: 401 unauthorized (no customer), Retry-After 0.500"}},
		{"served", entry.Explanation{
			Route:    &entry.ExplainedRoute{Name: "read", Host: "h", Prefix: "/", Balancing: "even"},
			Customer: &entry.ExplainedCustomer{Name: "acme", RequestsPerSecond: 5, Burst: 5, Tokens: &tokens, HomeReplyAgeMillis: &age},
			Services: []entry.ExplainedService{{
				Service: "s", Share: 0.75,
				Passes: []entry.ExplainedPass{{Pass: 1, Gate: "10.0.0.1:7001", Share: 0.9}, {Pass: 2}},
				Candidates: []entry.ExplainedCandidate{
					{Gate: "10.0.0.1:7001", Tier: "data_centre", Passes: []int{1}, StateAgeMillis: 12, Outstanding: 2, Slots: 5, CostMillis: &entry.ExplainedCost{Travel: 1, Load: 2, Pace: -0.5, Risk: 0, Total: 2.5}},
					{Gate: "10.0.0.2:7001", Tier: "remote", StateAgeMillis: -1, Suspected: true, Unreachable: true, Cost: &cost},
				},
			}},
			Notes: []string{"something"},
		}, []string{
			"route read:", "customer acme: priority 0, quota 5/s, burst 5, tokens held 3, home replied 40 ms ago", "service s: 75.0% of the requests",
			"pass 1: 10.0.0.1:7001 (90% of the choices)", "pass 2: no gate",
			"reported 12 ms ago, outstanding 2, slots 5, sent 0, passes [1], cost 2.500 ms (travel 1.000, load 2.000, pace -0.500, risk 0.000)",
			"reported never, outstanding 0, slots 0, sent 0, suspected, unreachable, passes [], cost 0.250", "note: something",
		}},
	}
	for _, tt := range tests {
		for _, asJSON := range []bool{false, true} {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					is.Equal(r.Method+" "+r.RequestURI, "POST /explain")
					var q entry.Inquiry
					is.NoErr(json.NewDecoder(r.Body).Decode(&q))
					is.Equal(q, entry.Inquiry{Host: "h", Path: "/a?b=c", Method: "PUT", Key: "hidden", DeadlineMillis: 300, BodyBytes: 9})
					is.NoErr(json.NewEncoder(w).Encode(tt.explanation))
				}))
				defer server.Close()
				var out bytes.Buffer
				app := newApp()
				app.Reader, app.Writer = strings.NewReader("hidden\n"), &out
				args := []string{
					"cuminwheel", "explain", "--metrics", strings.TrimPrefix(server.URL, "http://"), "--host", "h", "--path", "/a?b=c",
					"--method", "PUT", "--key-file", "-", "--deadline-ms", "300", "--body-bytes", "9",
				}
				if asJSON {
					args = append(args, "--json")
				}
				is.NoErr(app.Run(t.Context(), args))
				is.True(!strings.Contains(out.String(), "hidden"))
				if asJSON {
					var got entry.Explanation
					is.NoErr(json.Unmarshal(out.Bytes(), &got))
					is.Equal(got.ConfigurationVersion, tt.explanation.ConfigurationVersion)
					return
				}
				for _, want := range tt.want {
					if !strings.Contains(out.String(), want) {
						t.Errorf("%s lacks %q", out.String(), want)
					}
				}
			})
		}
	}
}
