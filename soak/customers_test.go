package soak

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a change of the share of seeds with customers that gives the seeds of
// seeds.txt another meaning than they had when they failed.
func TestSeedsWithCustomers(t *testing.T) {
	tests := []struct {
		seed uint64
		want bool
	}{
		{15, false}, {31, false}, {36, false}, {303, false}, {504, false}, {60, true}, {2, true}, {3, true}, {18, true}, {19, true},
	}
	for _, test := range tests {
		is := is.New(t)
		is.Equal(hasCustomers(test.seed), test.want)
	}
}
