package entry

import (
	"context"
	"sync"

	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/process/membership"
)

// NodeSource are the nodes that are known.
type NodeSource interface {
	Version() uint64
	Nodes() []membership.Record
}

// directory holds the candidates of each service. Candidates outlive changes of
// the roster, with what is believed of them.
type directory struct {
	nodes      NodeSource
	dataCentre string
	region     string

	mu        sync.Mutex
	version   uint64
	byService map[string][]*candidate
	known     map[membership.Record]*candidate
}

func newDirectory(n NodeSource, dataCentre, region string) *directory {
	return &directory{nodes: n, dataCentre: dataCentre, region: region}
}

// candidates returns the gates of a service.
func (d *directory) candidates(service string) []*candidate {
	version := d.nodes.Version()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byService == nil || d.version != version {
		d.rebuild()
		d.version = version
	}
	return d.byService[service]
}

func (d *directory) rebuild() {
	before := d.known
	d.byService, d.known = map[string][]*candidate{}, map[membership.Record]*candidate{}
	ranks := map[[2]string]int{}
	for _, r := range d.nodes.Nodes() {
		c, ok := before[r]
		if !ok {
			c = d.newCandidate(r)
		}
		place := [2]string{r.Service, r.DataCentre}
		c.setRank(ranks[place])
		ranks[place]++
		d.known[r] = c
		d.byService[r.Service] = append(d.byService[r.Service], c)
	}
	for r, c := range before {
		if d.known[r] == nil {
			c.close()
		}
	}
}

func (d *directory) newCandidate(r membership.Record) *candidate {
	t := tierRemote
	switch {
	case r.DataCentre == d.dataCentre:
		t = tierDataCentre
	case r.Region == d.region:
		t = tierRegion
	}
	pool, closePool := http1.NewPool(r.GateAddress, dialTimeouts[t])
	ctx, cancel := context.WithCancel(context.Background())
	return &candidate{node: r.ControlAddress, address: r.GateAddress, tier: t, pool: pool, ctx: ctx, close: func() {
		cancel()
		closePool()
	}}
}

func (d *directory) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.known {
		c.close()
	}
}
