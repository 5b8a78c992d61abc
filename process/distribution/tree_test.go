package distribution

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func members(sizes ...int) []Member {
	var list []Member
	for region, size := range sizes {
		for i := range size {
			list = append(list, Member{Address: fmt.Sprintf("10.%d.%d.%d:1", region, i/250, i%250), Region: fmt.Sprintf("r%d", region)})
		}
	}
	return list
}

// Whichever nodes are down, a version that the readers have must reach all other nodes of
// the region, if the nodes leave those that are down out of their trees. With all nodes in
// the trees it must reach them as long as each block has one node that is up.
func TestVersionsReachAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := members(rapid.IntRange(1, 300).Draw(t, "near"), rapid.IntRange(0, 20).Draw(t, "far"))
		down := map[string]bool{}
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(list)-1)).Draw(t, "down") {
			down[list[i].Address] = true
		}
		up := slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return down[m.Address] })
		has := map[string]bool{}
		trees := map[string]Tree{}
		for _, m := range up {
			trees[m.Address] = NewTree(m, up)
			if trees[m.Address].IsReader() {
				has[m.Address] = true
			}
		}
		for range 10 {
			for _, m := range up {
				for _, child := range trees[m.Address].Children() {
					has[child] = has[child] || has[m.Address]
				}
			}
		}
		for _, m := range up {
			if !has[m.Address] {
				t.Fatalf("%s of rank %d does not get the version", m.Address, trees[m.Address].Rank())
			}
		}
	})
}

// Each node that is no reader must be a child of each of its parents, and readers must
// share the places of the whole fleet.
func TestTreeIsConsistent(t *testing.T) {
	for _, sizes := range [][]int{{1}, {2}, {3}, {4}, {16, 16, 16}, {37, 41}, {2234, 2233, 2233}} {
		t.Run(fmt.Sprint(sizes), func(t *testing.T) {
			is := is.New(t)
			list := members(sizes...)
			trees := map[string]Tree{}
			for _, m := range list[:min(len(list), 300)] {
				trees[m.Address] = NewTree(m, list)
			}
			places := map[int]bool{}
			for a, tree := range trees {
				is.Equal(len(tree.Parents()) == 0, tree.IsReader())
				for _, parent := range tree.Parents() {
					if p, ok := trees[parent]; ok {
						is.True(slices.Contains(p.Children(), a))
					}
				}
				is.True(len(tree.Children()) <= readersPerRegion*childBlocks)
				index, count := tree.Place()
				is.True(index >= 0 && index < count)
				if tree.IsReader() {
					is.True(!places[index] || count == maxPlaces && len(sizes) > 2)
					places[index] = true
					is.True(!slices.Contains(tree.Peers(), a))
				}
			}
		})
	}
}

func BenchmarkNewTree(b *testing.B) {
	for _, nodes := range []int{80, 300, 6700} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			list := members(nodes/3, nodes/3, nodes/3)
			for b.Loop() {
				NewTree(list[0], list)
			}
		})
	}
}
