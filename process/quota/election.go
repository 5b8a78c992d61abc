package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cuminwheel/cuminwheel/process/membership"
)

// candidateCount is the number of nodes that may serve as a customer's home: the home
// and those that take over, in this order.
const candidateCount = 3

// candidates are the first nodes in rendezvous order for a customer, by control
// address; empty if the fleet is smaller.
type candidates [candidateCount]string

// score returns a node's score for a customer; the node with the highest one is the home.
func score(customer uint64, address string) uint64 {
	x := xxhash.Sum64String(address) ^ customer
	// The finalizer of splitmix64 spreads the XOR over all bits.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// elect returns the customer's candidates among the nodes.
func elect(nodes []membership.Record, customer string) candidates {
	var result candidates
	var scores [candidateCount]uint64
	hash := xxhash.Sum64String(customer)
	for _, n := range nodes {
		address, s := n.ControlAddress, score(hash, n.ControlAddress)
		for i := range result {
			if result[i] == "" || s > scores[i] {
				result[i], address = address, result[i]
				scores[i], s = s, scores[i]
				if address == "" {
					break
				}
			}
		}
	}
	return result
}

// outranks reports whether a comes before b in the customer's rendezvous order.
func outranks(customer, a, b string) bool {
	hash := xxhash.Sum64String(customer)
	return score(hash, a) > score(hash, b)
}

// rankOf returns the position of a node, or -1.
func (c candidates) rankOf(address string) int {
	for i, a := range c {
		if a == address {
			return i
		}
	}
	return -1
}

// removal is a node that left and when this node learned of it.
type removal struct {
	address string
	at      time.Time
}

// homeSince returns from when self has been the customer's home: its start, or the
// last removal of a node that came before it in rendezvous order.
func homeSince(customer, self string, started time.Time, removals []removal) time.Time {
	since := started
	hash := xxhash.Sum64String(customer)
	own := score(hash, self)
	for _, r := range removals {
		if r.at.After(since) && score(hash, r.address) > own {
			since = r.at
		}
	}
	return since
}
