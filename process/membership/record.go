package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cuminwheel/cuminwheel/request/field"
)

// Record describes a node to the other nodes. Its names on the wire are short,
// since traffic between regions is billed.
type Record struct {
	// ControlAddress is where the node serves the calls of other nodes. It
	// identifies the node.
	ControlAddress string `json:"node" codec:"n"`
	// GateAddress is where the node accepts requests for the target beside it.
	GateAddress string `json:"gate" codec:"g"`
	Service     string `json:"service" codec:"s"`
	DataCentre  string `json:"data_centre" codec:"d"`
	Region      string `json:"region" codec:"r"`
	// Incarnation orders the records of one address. It is the start time of the
	// process in Unix ms, or one more than the incarnation of a foreign record of
	// the address that is as new or newer.
	Incarnation int64 `json:"issue" codec:"i"`
	// Departures identifies, by hashes, the incarnations of the target that have announced
	// to the node that they leave, the earliest first. The others keep the list for the
	// node, which forgets it when its process is killed.
	Departures string `json:"departures,omitempty" codec:"l,omitempty"`
	// Gone means that the node left for good.
	Gone bool `json:"gone,omitempty" codec:"x,omitempty"`
}

// maxClockSkew bounds how far the incarnation of a record may lie in the future. It is far
// above the difference of any two clocks, and leaves room to raise an incarnation above
// that of a foreign record.
const maxClockSkew = 365 * 24 * time.Hour

// Validate returns a *field.Error for the first invalid field, or nil. Records come from
// the store and from other nodes. None enters a view unless it is valid at that time.
func (r Record) Validate(now time.Time) error {
	var c field.Checker
	c.Address("node", r.ControlAddress)
	c.Address("gate", r.GateAddress)
	c.Name("service", r.Service)
	c.Label("data_centre", r.DataCentre)
	c.Label("region", r.Region)
	c.StartTime("issue", r.Incarnation, now, maxClockSkew)
	if _, err := ParseDepartures(r.Departures); err != nil {
		c.Reject("departures", "%s is %v", field.Quote(r.Departures), err)
	}
	return c.Err()
}

// supersedes reports whether r replaces old, a record of the same address. Copies of one
// record may differ in their departures, of which some have been added on the way; the order
// of their texts makes all nodes keep the same one.
func (r Record) supersedes(old Record) bool {
	switch {
	case r.Incarnation != old.Incarnation:
		return r.Incarnation > old.Incarnation
	case r.Gone != old.Gone:
		return r.Gone
	case len(r.Departures) != len(old.Departures):
		return len(r.Departures) > len(old.Departures)
	}
	return r.Departures > old.Departures
}

// join returns what two records of one address tell together: the one that supersedes the
// other, with the departures of the other if it lacks the last of them. The node has then
// restarted and may not have learned of them yet.
func (r Record) join(other Record) Record {
	newer, older := r, other
	if !r.supersedes(other) {
		newer, older = other, r
	}
	if newer.lacksLastDeparture(older) {
		newer.Departures = uniteDepartures(older.Departures, newer.Departures)
	}
	return newer
}

// digest returns a hash of all fields.
func (r Record) digest() uint64 {
	d := xxhash.New()
	for _, s := range []string{r.ControlAddress, r.GateAddress, r.Service, r.DataCentre, r.Region} {
		d.WriteString(s)
		d.Write([]byte{0})
	}
	// Nodes of older versions hash records without departures alike.
	d.WriteString(r.Departures)
	var b [9]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r.Incarnation))
	if r.Gone {
		b[8] = 1
	}
	d.Write(b[:])
	return d.Sum64()
}
