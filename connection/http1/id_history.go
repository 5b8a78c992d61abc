package http1

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minServedIDs is how many earlier requests of a connection are remembered at least.
	minServedIDs = 64
	// maxServedIDs bounds the requests that are remembered because they may be sent again.
	// A connection that has carried as many is not reused.
	maxServedIDs = 1024
)

// idHistory holds the IDs of the last requests of a connection, and of all that may be sent
// again. Its zero value is empty.
type idHistory struct {
	// served are the requests, the earliest first.
	served []servedID
}

// servedID is the hash of an ID, and the time until which the request may be sent again.
type servedID struct {
	hash  uint64
	until time.Time
}

// add adds the ID of a request that may be sent again until the given time. Empty IDs are
// ignored.
func (h *idHistory) add(id string, until, now time.Time) {
	if id == "" {
		return
	}
	h.served = append(h.served, servedID{xxhash.Sum64String(id), until})
	expired := 0
	for expired < len(h.served)-minServedIDs && !h.served[expired].until.After(now) {
		expired++
	}
	h.served = slices.Delete(h.served, 0, expired)
}

// isFull reports whether no further ID can be remembered.
func (h *idHistory) isFull() bool { return len(h.served) >= maxServedIDs }

// contains reports whether the ID is remembered.
func (h *idHistory) contains(id string) bool {
	if id == "" || len(h.served) == 0 {
		return false
	}
	hash := xxhash.Sum64String(id)
	return slices.ContainsFunc(h.served, func(s servedID) bool { return s.hash == hash })
}
