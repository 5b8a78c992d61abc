package entry

import (
	"testing"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// Few requests fall to the parts of a route by their weights.
func TestPointsAreEven(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	r := configuration.Route{Name: "r", Parts: []configuration.Part{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}}
	got := map[string]int{}
	for range 100 {
		got[r.PartFor(f.entry.point(r))]++
	}
	is.True(got["b"] >= 9 && got["b"] <= 11)
}
