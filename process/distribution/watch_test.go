package distribution

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_780_000_000, 0)

// treeOf returns the tree of the node with a rank in a region of the given size.
func treeOf(rank, size int) Tree {
	list := members(size)
	for _, m := range list {
		if t := NewTree(m, list); t.Rank() == rank {
			return t
		}
	}
	panic("no such rank")
}

// Nodes that hear of readers must not read, and when no reader is left, some must begin
// soon and the others step by step.
func TestReadsAt(t *testing.T) {
	tests := []struct {
		name             string
		rank, size       int
		earliest, latest time.Duration
	}{
		{"a reader", 2, 41, -time.Hour, 0},
		{"a child of the readers", 3, 41, CheckInterval + 100*time.Millisecond, 2 * time.Second},
		{"the last child of the readers", 26, 41, 2 * time.Second, 4 * time.Second},
		{"a grandchild hears of readers two checks later", 27, 300, 2*CheckInterval + 200*time.Millisecond, 5 * time.Second},
		{"a descendant of three levels", 219, 300, 3*CheckInterval + 300*time.Millisecond, 6 * time.Second},
		{"a node beyond the limit", 280, 300, time.Hour, 1e6 * time.Hour},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			at := Watch{}.WithReader(epoch).WithReader(epoch.Add(-time.Second)).ReadsAt(treeOf(test.rank, test.size))
			if at.IsZero() {
				at = epoch.Add(-time.Hour)
			}
			is.True(!at.Before(epoch.Add(test.earliest)))
			is.True(!at.After(epoch.Add(test.latest)))
		})
	}
}
