package entry

import (
	"testing"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// As few as 100 requests must be split between the services of a route by their
// weights. Independent random numbers would miss that share by chance.
func TestSplitFollowsWeights(t *testing.T) {
	is := is.New(t)
	f := newGateFleet(t)
	r := configuration.Route{Name: "r", WeightedServices: []configuration.WeightedService{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}}
	got := map[string]int{}
	for range 100 {
		got[r.PickService(f.entry.nextSplitPoint(r))]++
	}
	is.True(got["b"] >= 9 && got["b"] <= 11)
}
