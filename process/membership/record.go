package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Record is what the fleet knows of a node. Its names between nodes are short,
// since bytes between regions are paid for.
type Record struct {
	// ControlAddress is the address of the node's control calls. It names the node.
	ControlAddress string `json:"node" codec:"n"`
	// GateAddress is where the node takes requests for the target beside it.
	GateAddress string `json:"gate" codec:"g"`
	Service     string `json:"service" codec:"s"`
	DataCentre  string `json:"data_centre" codec:"d"`
	Region      string `json:"region" codec:"r"`
	// Incarnation orders the records of one address: the start of the process, in
	// Unix ms, or a later number if a record with a later one was met.
	Incarnation int64 `json:"issue" codec:"i"`
	// Gone means that the node left for good.
	Gone bool `json:"gone,omitempty" codec:"x,omitempty"`
}

func (r Record) valid() bool { return r.ControlAddress != "" && r.GateAddress != "" && r.Service != "" }

func (r Record) supersedes(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Gone && !old.Gone
}

func (r Record) digest() uint64 {
	d := xxhash.New()
	for _, s := range []string{r.ControlAddress, r.GateAddress, r.Service, r.DataCentre, r.Region} {
		d.WriteString(s)
		d.Write([]byte{0})
	}
	var b [9]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r.Incarnation))
	if r.Gone {
		b[8] = 1
	}
	d.Write(b[:])
	return d.Sum64()
}
