package membership

import (
	"testing"

	"github.com/matryer/is"
)

// Exactly one of the running nodes must look after the removal of a node that left.
// Otherwise its record, back in a store that returned from an older copy, stays there,
// or all nodes write at once.
func TestEachRemovalHasOneHeir(t *testing.T) {
	addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"}
	tests := []struct {
		name string
		gone []int
	}{
		{"none", nil},
		{"first", []int{0}},
		{"last", []int{4}},
		{"neighbours", []int{1, 2}},
		{"all but one", []int{0, 1, 3, 4}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var records []Record
			isGone := map[string]bool{}
			for _, a := range addresses {
				records = append(records, Record{ControlAddress: a, GateAddress: a, Service: "s", Incarnation: 1})
			}
			for _, i := range test.gone {
				records[i].Gone = true
				isGone[addresses[i]] = true
			}
			heirs := map[string]int{}
			for _, r := range records {
				if r.Gone {
					continue
				}
				v := NewView(r)
				v.Merge(records)
				for _, removed := range v.InheritedRemovals() {
					heirs[removed.ControlAddress]++
				}
			}
			is.Equal(len(heirs), len(test.gone))
			for a, n := range heirs {
				is.True(isGone[a])
				is.Equal(n, 1)
			}
		})
	}
}
