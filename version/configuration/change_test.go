package configuration

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Each *.json under testdata is read; what comes of it stands beside it in
// *.golden: the change as printed, or the faults.
func TestParseGolden(t *testing.T) {
	inputs, err := filepath.Glob("testdata/*.json")
	if err != nil || len(inputs) == 0 {
		t.Fatal("no inputs", err)
	}
	for _, name := range inputs {
		t.Run(filepath.Base(name), func(t *testing.T) {
			is := is.New(t)
			f, err := os.Open(name)
			is.NoErr(err)
			defer f.Close()
			var got strings.Builder
			change, err := ParseChange(f)
			if err != nil {
				got.WriteString(err.Error() + "\n")
			} else {
				is.NoErr(change.Print(&got))
			}
			want, err := os.ReadFile(strings.TrimSuffix(name, ".json") + ".golden")
			is.NoErr(err)
			is.Equal(got.String(), string(want))
		})
	}
}

func routes(c Configuration, paths ...string) []string {
	var list []string
	for _, p := range paths {
		m, _ := c.RouteFor(p)
		list = append(list, m.Service+m.Route.PathPrefix)
	}
	return list
}

// The longest prefix in whole segments wins, and routes go with their service.
func TestRouteFor(t *testing.T) {
	is := is.New(t)
	c := Configuration{}.With(Change{Services: []Service{
		{Name: "a", Routes: []Route{{PathPrefix: "/turnos"}, {PathPrefix: "/turnos/hoy"}}},
		{Name: "b", Routes: []Route{{PathPrefix: "/"}}},
	}}, 1, "ana")
	paths := []string{"/turnos", "/turnos/x/y", "/turnos/hoy", "/turnos/hoy/z", "/turnosx", "", "/other"}
	is.Equal(routes(c, paths...), []string{
		"a/turnos", "a/turnos", "a/turnos/hoy", "a/turnos/hoy", "b/", "b/", "b/",
	})
	c = c.With(Change{Services: []Service{{Name: "a", Routes: []Route{{PathPrefix: "/nuevo"}}}}}, 2, "ana")
	is.Equal(routes(c, "/turnos/hoy", "/nuevo"), []string{"b/", "a/nuevo"})
	c = c.With(Change{RemoveServices: []string{"a", "b"}}, 3, "ana")
	is.Equal(routes(c, "/nuevo", "/"), []string{"", ""})
	is.Equal(len(c.Services()), 0)
}

// Entries carry everything, also what was removed.
func TestEntriesRestore(t *testing.T) {
	is := is.New(t)
	c := Configuration{}.With(Change{
		Services:  []Service{{Name: "a", ClaimSeats: 7, Routes: []Route{{PathPrefix: "/a"}}}},
		Customers: []Customer{{Name: "growers", RequestsPerSecond: 1, Burst: 1}, {Name: "mills", RequestsPerSecond: 1, Burst: 1}},
	}, 1, "ana")
	c = c.With(Change{RemoveServices: []string{"a"}, RemoveCustomers: []string{"mills"}}, 2, "luz")
	again := FromEntries(c.Entries())
	is.Equal(again.Entries(), c.Entries())
	_, ok := again.RouteFor("/a")
	is.True(!ok)
	_, ok = again.Customer("mills")
	is.True(!ok)
	touch := again.NewestTouch(Change{RemoveServices: []string{"a"}})
	is.Equal(touch, Touch{Path: "services/a", Version: 2, Author: "luz"})
	name, seats := again.ReseatedService(Change{Services: []Service{{Name: "a", ClaimSeats: 3}}})
	is.Equal(name, "a")
	is.Equal(seats, 7) // outlives the service
}

func FuzzParseChange(f *testing.F) {
	f.Add(`{"services":[{"name":"a","routes":[{"path_prefix":"/a"}]}]}`)
	f.Add(`{"customers":[{"name":"c","requests_per_second":1e308,"burst":1}]}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, text string) {
		c, err := ParseChange(strings.NewReader(text))
		if err != nil {
			return
		}
		var b strings.Builder
		if err := c.Print(&b); err != nil {
			t.Fatal(err)
		}
		if _, err := ParseChange(strings.NewReader(b.String())); err != nil {
			t.Fatalf("%q prints as %q, which is refused: %v", text, b.String(), err)
		}
	})
}
