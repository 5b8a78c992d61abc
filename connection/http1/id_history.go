package http1

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxServedIDs is how many earlier requests of a connection are remembered. A connection
// carries one request at a time, so that they span several seconds: longer than a request
// is sent again.
const maxServedIDs = 64

// idHistory holds the hashes of the last IDs. Its zero value is empty.
type idHistory struct {
	hashes []uint64
	// next is the index of the oldest hash once there are maxServedIDs.
	next int
}

// add adds an ID, in place of the oldest one if there are too many. Empty IDs are ignored.
func (h *idHistory) add(id string) {
	switch {
	case id == "":
	case len(h.hashes) < maxServedIDs:
		h.hashes = append(h.hashes, xxhash.Sum64String(id))
	default:
		h.hashes[h.next] = xxhash.Sum64String(id)
		h.next = (h.next + 1) % maxServedIDs
	}
}

// contains reports whether the ID is one of the last ones.
func (h *idHistory) contains(id string) bool {
	return id != "" && slices.Contains(h.hashes, xxhash.Sum64String(id))
}
