package distribution

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// readersPerRegion is the number of nodes of a region that read the store, and the
	// size of a block of the tree. Two of them may fail.
	readersPerRegion = 3
	// childBlocks is the number of blocks that have the same parent block. 2,200 nodes are
	// five levels.
	childBlocks = 8
	// maxPlaces limits the number of places that the readers share, so that each one's
	// waits at the store stay short.
	maxPlaces = 6
)

// Member is a node that takes part in the distribution.
type Member struct{ Address, Region string }

// Tree is the place of a node among all nodes. It is immutable.
type Tree struct {
	self Member
	// byRegion has the addresses of each region, by rank.
	byRegion map[string][]string
	rank     int
	// readers are the readers of all regions, sorted.
	readers []string
}

// NewTree returns the place of self among members. It does not matter whether these
// include self.
func NewTree(self Member, members []Member) Tree {
	t := Tree{self: self, byRegion: map[string][]string{self.Region: {self.Address}}}
	for _, m := range members {
		if m.Address != self.Address {
			t.byRegion[m.Region] = append(t.byRegion[m.Region], m.Address)
		}
	}
	for _, addresses := range t.byRegion {
		sortByHash(addresses)
		t.readers = append(t.readers, addresses[:min(len(addresses), readersPerRegion)]...)
	}
	slices.Sort(t.readers)
	t.rank = slices.Index(t.byRegion[self.Region], self.Address)
	return t
}

// sortByHash sorts addresses in an order that has nothing to do with data centres or
// services, so that the nodes of a block seldom fail together.
func sortByHash(addresses []string) {
	type hashed struct {
		hash    uint64
		address string
	}
	list := make([]hashed, len(addresses))
	for i, a := range addresses {
		list[i] = hashed{xxhash.Sum64String(a), a}
	}
	slices.SortFunc(list, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), strings.Compare(a.address, b.address))
	})
	for i, h := range list {
		addresses[i] = h.address
	}
}

// Rank returns the rank of the node in its region.
func (t Tree) Rank() int { return t.rank }

// IsReader reports whether the node is one of the readers of its region.
func (t Tree) IsReader() bool { return t.rank < readersPerRegion }

// Place returns the index of the place of the node among those of the readers of all
// regions, and the number of places. Readers may share one.
func (t Tree) Place() (index, count int) {
	count = min(len(t.readers), maxPlaces)
	if i, ok := slices.BinarySearch(t.readers, t.self.Address); ok {
		return i % count, count
	}
	return t.rank % count, count
}

// block returns the nodes of a block of the own region.
func (t Tree) block(i int) []string {
	region := t.byRegion[t.self.Region]
	from := min(len(region), i*readersPerRegion)
	to := min(len(region), from+readersPerRegion)
	return region[from:to:to]
}

// Parents returns the nodes that tell this one of new versions, without itself. A reader
// has none.
func (t Tree) Parents() []string {
	if t.IsReader() {
		return nil
	}
	return t.block((t.rank/readersPerRegion - 1) / childBlocks)
}

// Children returns the nodes that this one tells of new versions.
func (t Tree) Children() []string {
	own := t.rank / readersPerRegion
	var children []string
	for i := own*childBlocks + 1; i <= (own+1)*childBlocks; i++ {
		children = append(children, t.block(i)...)
	}
	return children
}

// Peers returns the other readers of the region and, for each other region, the reader of
// the same rank. Readers tell each other of new versions, since one may be without the
// store, or a region.
func (t Tree) Peers() []string {
	var peers []string
	for region, addresses := range t.byRegion {
		switch {
		case region == t.self.Region:
			peers = append(peers, t.Readers()...)
		case t.IsReader():
			peers = append(peers, addresses[min(t.rank, len(addresses)-1)])
		}
	}
	return peers
}

// Readers returns the readers of the node's region, without itself.
func (t Tree) Readers() []string {
	return slices.DeleteFunc(slices.Clone(t.block(0)), func(a string) bool { return a == t.self.Address })
}
