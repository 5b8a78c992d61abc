package roster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Status is the state of a node as its record gives it.
type Status int

// The states of a node, in the order in which one overrides another at the
// same version.
const (
	StatusAlive Status = iota
	StatusLeaving
	StatusGone
)

func (s Status) String() string {
	switch s {
	case StatusAlive:
		return "alive"
	case StatusLeaving:
		return "leaving"
	}
	return "gone"
}

// TargetState is the state of a target as its gate gives it.
type TargetState int

// The states of a target.
const (
	TargetServing TargetState = iota
	TargetDraining
	TargetEjected
)

func (s TargetState) String() string {
	switch s {
	case TargetServing:
		return "serving"
	case TargetDraining:
		return "draining"
	}
	return "ejected"
}

// Target is a server that announced itself to the node beside it.
type Target struct {
	Service string      `codec:"service" json:"service"`
	Address string      `codec:"address" json:"address"`
	Slots   int         `codec:"slots" json:"slots"`
	State   TargetState `codec:"state" json:"state"`
}

// Node is the record of one node. A Node in a Roster is never changed in
// place; its owner publishes a copy with a higher version.
type Node struct {
	// ID is the control address of the node.
	ID string `codec:"id" json:"id"`
	// Incarnation is the start of the node's process, Unix ms.
	Incarnation int64  `codec:"incarnation" json:"incarnation"`
	Version     int64  `codec:"version" json:"version"`
	Status      Status `codec:"status" json:"status"`
	Region      string `codec:"region" json:"region"`
	DataCentre  string `codec:"data_centre" json:"data_centre"`
	// Gate is the address at which the node takes requests for its targets.
	Gate    string   `codec:"gate" json:"gate"`
	Targets []Target `codec:"targets" json:"targets"`
}

// overrides reports whether n is newer than other, a record of the same node.
func (n Node) overrides(other Node) bool {
	if n.Incarnation != other.Incarnation {
		return n.Incarnation > other.Incarnation
	}
	if n.Version != other.Version {
		return n.Version > other.Version
	}
	return n.Status > other.Status
}

// digest covers what overrides compares.
func (n Node) digest() uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(n.Incarnation))
	binary.LittleEndian.PutUint64(b[8:], uint64(n.Version))
	binary.LittleEndian.PutUint64(b[16:], uint64(n.Status))
	d := xxhash.New()
	_, _ = d.WriteString(n.ID)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Serves reports whether the node has a target of the service that takes work.
func (n Node) Serves(service string) bool {
	for _, t := range n.Targets {
		if t.Service == service && t.State == TargetServing {
			return true
		}
	}
	return false
}
