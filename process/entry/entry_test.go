package entry

import (
	"testing"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// Requests must be split between the services of a route by their weights, with less
// deviation than independent random numbers have.
func TestSplitFollowsWeights(t *testing.T) {
	is := is.New(t)
	f := newGateFleet(t)
	r := configuration.Route{Name: "r", WeightedServices: []configuration.WeightedService{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}}
	got := map[string]int{}
	for range 1000 {
		got[r.PickService(f.entry.nextSplitPoint(r))]++
	}
	is.True(got["b"] >= 98 && got["b"] <= 102)
}
