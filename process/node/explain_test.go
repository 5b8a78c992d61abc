package node_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an explanation that runs the request, shows the key in a response or
// an error, or reports bad input without the field.
func TestExplainRequest(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2)
	f.publishCustomers(2, draftCustomer("acme", "k1-hidden"))
	f.awaitStatus(f.vms[0], `"configuration_version":2`)
	tests := []struct {
		name, body string
		status     int
		want       string
	}{
		{"served", `{"host":"h","path":"/claim/a","method":"POST","key":"k1-hidden"}`, 200, `"name":"acme"`},
		{"unknown key", `{"host":"h","path":"/claim/a","method":"POST","key":"k2-hidden"}`, 200, `"code":"unauthorized"`},
		{"no host", `{"path":"/claim/a","method":"POST","key":"k1-hidden"}`, 400, "host: set"},
		{"wrong type", `{"host":"h","path":"/","method":"GET","key":["k1-hidden"]}`, 400, "key: set a value of type string"},
		{"wrong number", `{"host":"h","path":"/","method":"GET","body_bytes":"k1-hidden"}`, 400, "body_bytes: set a value of type int64"},
		{"unknown field", `{"k1-hidden":1}`, 400, "body: send a JSON object"},
		{"no JSON", `k1-hidden`, 400, "body: send a JSON object"},
		{"too large", `{"host":"` + strings.Repeat("h", 70_000) + `"}`, 400, "body: send a JSON object"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			res, err := http.Post("http://"+f.vms[0].settings.Metrics+"/explain", "application/json", strings.NewReader(tt.body))
			is.NoErr(err)
			defer res.Body.Close()
			b, err := io.ReadAll(res.Body)
			is.NoErr(err)
			is.Equal(res.StatusCode, tt.status)
			if !strings.Contains(string(b), tt.want) {
				t.Errorf("%s lacks %s", b, tt.want)
			}
			is.True(!strings.Contains(string(b), "hidden"))
		})
	}
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	is.Equal(len(f.executions.byRequest), 0)
}
