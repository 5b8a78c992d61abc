package configuration

import (
	"strings"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/version/customer"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against a route that takes the requests of a longer prefix, of another host
// or of a path that only begins with the same letters.
func TestRouteFor(t *testing.T) {
	c := New(1, nil, Limits{}, []Route{
		{Name: "all", Host: "a", Prefix: "/"},
		{Name: "board", Host: "a", Prefix: "/board/"},
		{Name: "today", Host: "a", Prefix: "/board/today/"},
		{Name: "only", Host: "b", Prefix: "/only/"},
	})
	tests := []struct{ host, path, want string }{
		{"a", "/", "all"},
		{"a", "/boards/", "all"},
		{"a", "/board/x", "board"},
		{"a", "/board/today/x", "today"},
		{"b", "/only/x", "only"},
		{"b", "/only", ""},
		{"c", "/board/", ""},
	}
	for _, test := range tests {
		t.Run(test.host+test.path, func(t *testing.T) {
			is := is.New(t)
			r, ok := c.RouteFor(test.host, test.path)
			is.Equal(r.Name, test.want)
			is.Equal(ok, test.want != "")
		})
	}
}

// Evenly spaced points must be divided among the services by weight.
func TestPickService(t *testing.T) {
	is := is.New(t)
	r := Route{WeightedServices: []WeightedService{{"a", 90}, {"none", 0}, {"b", 10}}}
	got := map[string]int{}
	for i := range 1000 {
		got[r.PickService(float64(i)/1000)]++
	}
	is.Equal(got, map[string]int{"a": 900, "b": 100})
	is.Equal(Route{}.PickService(0.5), "")
}

// An invalid draft must be rejected with an error that names the field by its path.
func TestReadDraft(t *testing.T) {
	valid := `{"version": 2, "services": [{"name": "s"}], "routes": [{"name": "r", "host": "h", "prefix": "/p/",
		"timeout_ms": 100, "public": true, "bulk": "download", "parts": [{"service": "s", "weight": 1}]}],
		"balancing": "even", "scheduling": "shared", "customers": [{"name": "a", "keys": ["k1", "k2"], "priority": 1,
		"requests_per_second": 5, "burst": 6}, {"name": "b", "keys": ["k3"]}]}`
	tests := []struct {
		name, from, to, want string
	}{
		{"sound", "", "", ""},
		{"no version", `"version": 2`, `"version": 0`, "version:"},
		{"duplicate service", `{"name": "s"}`, `{"name": "s"}, {"name": "s"}`, "services[1].name:"},
		{"service without name", `{"name": "s"}`, `{"name": "s"}, {"name": ""}`, "services[1].name:"},
		{"no host", `"host": "h"`, `"host": ""`, "routes[0].host:"},
		{"prefix without final slash", `"/p/"`, `"/p"`, "routes[0].prefix:"},
		{"no timeout", `"timeout_ms": 100`, `"timeout_ms": 0`, "routes[0].timeout_ms:"},
		{"undefined service", `"service": "s"`, `"service": "t"`, "routes[0].parts[0].service:"},
		{"no weight", `"weight": 1`, `"weight": 0`, "routes[0].parts:"},
		{"unknown kind of bulk route", `"bulk": "download"`, `"bulk": "both"`, "routes[0].bulk:"},
		{"download that is not idempotent", `"bulk": "download"`, `"bulk": "download", "never_repeat": true`, "routes[0].bulk:"},
		{"unknown balancing", `"even"`, `"odd"`, "balancing:"},
		{"unknown scheduling", `"shared"`, `"random"`, "scheduling:"},
		{"customer without name", `"name": "b"`, `"name": ""`, "customers[1].name: set"},
		{"duplicate customer", `"name": "b"`, `"name": "a"`, "customers[1].name:"},
		{"empty key", `"k2"`, `""`, "customers[0].keys[1]: set"},
		{"shared key", `"k3"`, `"k1"`, "customers[1].keys[0]: customer a"},
		{"negative customer priority", `"priority": 1`, `"priority": -1`, "customers[0].priority: set"},
		{"negative quota", `"requests_per_second": 5`, `"requests_per_second": -5`, "customers[0].requests_per_second: set"},
		{"negative burst", `"burst": 6`, `"burst": -6`, "customers[0].burst: set"},
		{"unknown field", `"version": 2`, `"version": 2, "floor": 1`, `unknown field "floor"`},
		{"truncated input", `"routes"`, `"rou`, "malformed configuration"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := ReadDraft(strings.NewReader(strings.Replace(valid, test.from, test.to, 1)))
			if test.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
	is := is.New(t)
	_, err := ReadDraft(strings.NewReader("{"))
	is.True(errors.Is(err, ErrSyntax))
}

// A limit, a kind or a number of attempts that a draft omits must get its default,
// not zero.
func TestDraftDefaults(t *testing.T) {
	is := is.New(t)
	d, err := ReadDraft(strings.NewReader(`{"version": 5, "services": [{"name": "s"}], "limits": {"idle_timeout_ms": 9000},
		"routes": [{"name": "r", "host": "h", "prefix": "/", "timeout_ms": 100, "parts": [{"service": "s", "weight": 1}]}]}`))
	is.NoErr(err)
	c := d.Configuration()
	is.Equal(c.Version, uint64(5))
	is.Equal(c.Limits().IdleTimeout, 9*time.Second)
	is.Equal(c.Limits().MaxBodyBytes, DefaultLimits.MaxBodyBytes)
	r, ok := c.RouteFor("h", "/x")
	is.True(ok)
	is.True(r.Idempotent)
	is.Equal(r.MaxAttempts, 1)
}

// The customers, modes and kinds of routes of a draft must reach the configuration, and a
// draft without them must have the defaults: its callers need no key.
func TestDraftCustomersAndModes(t *testing.T) {
	is := is.New(t)
	route := func(prefix string, bulk Bulk, public bool) DraftRoute {
		return DraftRoute{Name: "r", Host: "h", Prefix: prefix, TimeoutMillis: 100, Bulk: bulk, Public: public, WeightedServices: []DraftWeightedService{{"s", 1}}}
	}
	d := Draft{Version: 1, Services: []DraftService{{Name: "s"}}, Routes: []DraftRoute{route("/", "", false)}}
	is.NoErr(d.Validate())
	is.Equal(d.Configuration().Customers().Len(), 0)
	is.Equal(d.Configuration().Modes(), Modes{})

	d.Routes = append(d.Routes, route("/up/", BulkUpload, true), route("/down/", BulkDownload, false))
	d.Customers = []DraftCustomer{{Name: "a", Keys: []string{"k"}, Priority: 2, RequestsPerSecond: 5, Burst: 6}}
	d.Balancing, d.Scheduling = BalancingEven, SchedulingShared
	is.NoErr(d.Validate())
	c := d.Configuration()
	found, ok := c.Customers().Lookup("k")
	is.True(ok)
	is.Equal(found, customer.Customer{Name: "a", Priority: 2, RequestsPerSecond: 5, Burst: 6})
	is.True(c.Modes().IsEven())
	is.True(c.Modes().IsShared())
	up, _ := c.RouteFor("h", "/up/")
	is.True(up.Public && !up.Idempotent && up.Bulk == BulkUpload)
	down, _ := c.RouteFor("h", "/down/")
	is.True(!down.Public && down.Idempotent && down.Bulk == BulkDownload)
}
