package ledger

import (
	"encoding/json"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/go-faster/errors"
)

// Kind tells what a Record does.
type Kind string

// The kinds of records.
const (
	// KindChange changes the configuration.
	KindChange Kind = "change"
	// KindSeat gives a claim seat to a holder.
	KindSeat Kind = "seat"
	// KindSnapshot restates the state so that older records may expire.
	KindSnapshot Kind = "snapshot"
)

// Record is one entry of the log.
type Record struct {
	// ID is unique to one append, so that an append whose answer was lost can
	// be found by reading.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Author is the operator or the node that appended the record.
	Author string `json:"author"`
	// Base is the configuration version that a change was made from.
	Base     int64                 `json:"base,omitempty"`
	Change   *configuration.Change `json:"change,omitempty"`
	Seat     *Seat                 `json:"seat,omitempty"`
	Snapshot *SnapshotPart         `json:"snapshot,omitempty"`
}

// Seat names the nodes among which one at a time is home to a share of a
// service's idempotency keys.
type Seat struct {
	Service string `json:"service" codec:"service"`
	Index   int    `json:"index" codec:"index"`
	// Epoch grows by one with each change of the members.
	Epoch int64 `json:"epoch" codec:"epoch"`
	// Members are control addresses, the preferred holder first.
	Members []string `json:"members" codec:"members"`
}

// Key names the seat within a State.
func (s Seat) Key() string { return seatKey(s.Service, s.Index) }

// ErrMalformed is returned for a record that cannot be read.
var ErrMalformed = errors.New("malformed record")

// Encode returns the record as it stands in the log.
func (r Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	return b, nil
}

// Decode reads a record as it stands in the log.
func Decode(raw []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return Record{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if r.ID == "" {
		return Record{}, errors.Wrap(ErrMalformed, "id is missing")
	}
	return r, nil
}
