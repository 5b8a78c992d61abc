package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/process/judgement"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/request/choice"
	"github.com/cuminwheel/cuminwheel/request/claim"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/google/uuid"
	"github.com/hashicorp/go-msgpack/v2/codec"
)

// Slope is a measured line with the points that it was fitted to.
type Slope struct {
	Name   string
	Per    string
	Unit   string
	Points []Point
	Line   Line
}

// targetsPerNode follows from the expected fleet.
const targetsPerNode = 8

// measureSlope runs measure at each size.
func measureSlope(name, per, unit string, sizes []float64, measure func(size int) float64) Slope {
	s := Slope{Name: name, Per: per, Unit: unit}
	for _, size := range sizes {
		s.Points = append(s.Points, Point{Size: size, Value: measure(int(size))})
	}
	s.Line = Fit(s.Points)
	return s
}

// nanos returns the time of one call of op in ns.
func nanos(op func(i int)) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for i := range b.N {
			op(i)
		}
	})
	return float64(r.T.Nanoseconds()) / float64(r.N)
}

// heap returns the bytes of the heap that what build returns holds.
func heap(build func() any) float64 {
	runtime.GC()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// wireBytes returns the size of v between nodes.
func wireBytes(v any) float64 {
	var raw []byte
	if err := codec.NewEncoderBytes(&raw, &codec.MsgpackHandle{}).Encode(v); err != nil {
		panic(err)
	}
	return float64(len(raw))
}

func nodeRecord(i int) roster.Node {
	n := roster.Node{
		ID:          fmt.Sprintf("10.%d.%d.%d:7002", i>>16, i>>8&255, i&255),
		Incarnation: 1_780_000_000_000, Version: 7,
		Region: fmt.Sprintf("region-%d", i%3), DataCentre: fmt.Sprintf("centre-%d", i%8),
		Gate: fmt.Sprintf("10.%d.%d.%d:7001", i>>16, i>>8&255, i&255),
	}
	for t := range targetsPerNode {
		n.Targets = append(n.Targets, roster.Target{
			Service: fmt.Sprintf("service-%d", (i*targetsPerNode+t)%int(Expected.Services)),
			Address: fmt.Sprintf("10.%d.%d.%d:%d", i>>16, i>>8&255, i&255, 9000+t), Slots: 3,
		})
	}
	return n
}

func nodeRecords(count int) []roster.Node {
	list := make([]roster.Node, count)
	for i := range list {
		list[i] = nodeRecord(i)
	}
	return list
}

func rosterOf(count int) *roster.Roster {
	r := roster.New(nodeRecord(0))
	r.Merge(nodeRecords(count))
	return r
}

// fullState has the given share of the expected configuration.
func fullState(share float64) ledger.State {
	var e configuration.Entries
	services := int(share * Expected.Services)
	routes := int(Expected.Routes / Expected.Services)
	for i := range services {
		s := configuration.Service{Name: fmt.Sprintf("service-%d", i), FloorSlots: 30}
		for r := range routes {
			s.Routes = append(s.Routes, configuration.Route{PathPrefix: fmt.Sprintf("/service-%d/route-%d", i, r)})
		}
		e.Services = append(e.Services, configuration.Entry[configuration.Service]{Value: s.WithDefaults(), Version: 1, Author: "operator"})
	}
	for i := range int(share * Expected.Customers) {
		c := configuration.Customer{Name: fmt.Sprintf("customer-%d", i), RequestsPerSecond: 10, Burst: 20}
		e.Customers = append(e.Customers, configuration.Entry[configuration.Customer]{Value: c, Version: 1, Author: "operator"})
	}
	return ledger.Snapshot{Next: 1, Version: 1, Entries: e}.State()
}

// changeRecord changes one service's floor or, as operators do more often, the
// limits of one customer.
func changeRecord(i int, version int64) []byte {
	c := configuration.Change{Customers: []configuration.Customer{
		{Name: fmt.Sprintf("customer-%d", i), RequestsPerSecond: 11, Burst: 20},
	}}
	r := ledger.Record{ID: uuid.NewString(), Kind: ledger.KindChange, Author: "operator", Base: version, Change: &c}
	raw, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return raw
}

func measureChoose(targets int) float64 {
	nodes := nodeRecords(targets / targetsPerNode)
	x := choice.Index{}.With(nodes[0], nodes)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_000_000, 0)
	return nanos(func(int) {
		set, _ := x.Set("service-7")
		set.Choose(now, random, nil, true)
	})
}

func measureIndexChange(targets int) float64 {
	nodes := nodeRecords(targets / targetsPerNode)
	x := choice.Index{}.With(nodes[0], nodes)
	changed := nodes[1]
	return nanos(func(i int) {
		changed.Targets = nodes[1].Targets[i%2:]
		x = x.With(nodes[0], []roster.Node{changed})
	})
}

func measureMerge(nodes int) float64 {
	r := rosterOf(nodes)
	n := nodeRecord(nodes / 2)
	return nanos(func(int) {
		n.Version++
		r.Merge([]roster.Node{n})
	})
}

func measureRosterHeap(nodes int) float64 {
	return heap(func() any {
		r := rosterOf(nodes)
		all := r.Nodes()
		return []any{r, choice.Index{}.With(all[0], all)}
	})
}

func measureStateHeap(customers int) float64 {
	return heap(func() any { return fullState(float64(customers) / Expected.Customers) })
}

func measureFold(customers int) float64 {
	s := fullState(float64(customers) / Expected.Customers)
	records := make([][]byte, 512)
	for i := range records {
		records[i] = changeRecord(i, 1<<40)
	}
	return nanos(func(i int) { s, _ = s.With(records[i%len(records)]) })
}

func measureSnapshotBytes(customers int) float64 {
	raw, err := json.Marshal(fullState(float64(customers) / Expected.Customers).Snapshot())
	if err != nil {
		panic(err)
	}
	return float64(len(raw))
}

func measureSnapshotLoad(customers int) float64 {
	raw, err := json.Marshal(fullState(float64(customers) / Expected.Customers).Snapshot())
	if err != nil {
		panic(err)
	}
	return nanos(func(int) {
		var p ledger.Snapshot
		if err := json.Unmarshal(raw, &p); err != nil {
			panic(err)
		}
		p.State()
	})
}

// measureJudge is the time of judging one request among others in progress.
func measureJudge(inFlight int) float64 {
	j := judgement.New(judgement.DialFor(configuration.DetectFast))
	now := time.Unix(1_000_000, 0)
	for range inFlight {
		j.Began(now)
	}
	return nanos(func(int) {
		now = now.Add(time.Millisecond)
		w := j.Began(now)
		j.Ended(w, now.Add(20*time.Millisecond), false)
	})
}

// measureTick is the time of one look at a target's requests in progress.
func measureTick(inFlight int) float64 {
	j := judgement.New(judgement.DialFor(configuration.DetectFast))
	now := time.Unix(1_000_000, 0)
	for range inFlight {
		j.Began(now)
	}
	return nanos(func(int) { j.Tick(now) })
}

func measureClaimHeap(keys int) float64 {
	return heap(func() any {
		m := claim.NewMemory(keys, 1<<30)
		now := time.Now()
		body := make([]byte, 256)
		for range keys {
			k, err := claim.ParseKey(uuid.Must(uuid.NewV7()).String())
			if err != nil {
				panic(err)
			}
			run, _ := m.Begin(k, 1, now)
			run.Answered(claim.Answer{Status: 200, Body: body})
		}
		return m
	})
}
