package entry

import (
	"context"
	"maps"
	"sync"

	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/process/membership"
)

// NodeSource supplies the known nodes of the fleet.
type NodeSource interface {
	// Version changes whenever Nodes does.
	Version() uint64
	Nodes() []membership.Record
}

// directory holds the candidates of each service. A node that stays in the node
// source keeps its candidate, with its connections and state, when other nodes
// change.
type directory struct {
	nodes      NodeSource
	dataCentre string
	region     string
	bodies     *http1.BodyBudget
	notices    *notices
	works      *workMeans

	mu sync.Mutex
	// version is the version of nodes that the maps were built from.
	version   uint64
	byService map[string][]*candidate
	byRecord  map[membership.Record]*candidate
	// dataCentres numbers the data centres.
	dataCentres map[string]uint8
}

func newDirectory(n NodeSource, dataCentre, region string, bodies *http1.BodyBudget) *directory {
	return &directory{nodes: n, dataCentre: dataCentre, region: region, bodies: bodies, notices: newNotices(), works: newWorkMeans(), dataCentres: map[string]uint8{}}
}

// candidates returns the gates of a service. It first rebuilds the directory if
// the nodes have changed.
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

// rebuild creates the candidates of new nodes and closes those of nodes that
// have gone. The caller holds mu.
func (d *directory) rebuild() {
	previous := d.byRecord
	d.byService, d.byRecord = map[string][]*candidate{}, map[membership.Record]*candidate{}
	ranks := map[[2]string]int{}
	for _, r := range d.nodes.Nodes() {
		c, ok := previous[r]
		if !ok {
			c = d.newCandidate(r)
		}
		key := [2]string{r.Service, r.DataCentre}
		c.setRank(ranks[key])
		ranks[key]++
		d.byRecord[r] = c
		d.byService[r.Service] = append(d.byService[r.Service], c)
	}
	for r, c := range previous {
		if d.byRecord[r] == nil {
			c.close()
		}
	}
}

// peek returns the same as candidates and changes nothing. If the nodes have changed since
// the last request, it returns copies of the candidates and, for new nodes, candidates
// without connections.
func (d *directory) peek(service string) []*candidate {
	version := d.nodes.Version()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byService != nil && d.version == version {
		return d.byService[service]
	}
	var list []*candidate
	ranks := map[string]int{}
	numbers := maps.Clone(d.dataCentres)
	for _, r := range d.nodes.Nodes() {
		number, ok := numbers[r.DataCentre]
		if !ok {
			number = uint8(len(numbers))
			numbers[r.DataCentre] = number
		}
		if r.Service != service {
			continue
		}
		c := &candidate{node: r.ControlAddress, address: r.GateAddress, tier: d.tierOf(r), dataCentre: number}
		if known, ok := d.byRecord[r]; ok {
			c = known.detachedCopy()
		}
		c.setRank(ranks[r.DataCentre])
		ranks[r.DataCentre]++
		list = append(list, c)
	}
	return list
}

func (d *directory) tierOf(r membership.Record) tier {
	switch {
	case r.DataCentre == d.dataCentre:
		return tierDataCentre
	case r.Region == d.region:
		return tierRegion
	}
	return tierRemote
}

func (d *directory) newCandidate(r membership.Record) *candidate {
	t := d.tierOf(r)
	number, ok := d.dataCentres[r.DataCentre]
	if !ok {
		number = uint8(len(d.dataCentres))
		d.dataCentres[r.DataCentre] = number
	}
	pool, closePool := http1.NewPool(r.GateAddress, dialTimeouts[t])
	pool.SetBodyBudget(d.bodies)
	ctx, cancel := context.WithCancel(context.Background())
	return &candidate{node: r.ControlAddress, address: r.GateAddress, tier: t, dataCentre: number, pool: pool, notices: d.notices, ctx: ctx, close: func() {
		cancel()
		closePool()
	}}
}

func (d *directory) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.byRecord {
		c.close()
	}
}
