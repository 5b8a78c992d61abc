package membership_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/process/distribution"
	"github.com/cuminwheel/cuminwheel/process/follower"
	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/cuminwheel/cuminwheel/standin/link"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/go-msgpack/v2/codec"
)

// model is a fleet in several regions, whose nodes follow a store and call each other over
// links that all connections between two regions share. The store is in the first region.
// It runs in the virtual time of a synctest bubble.
type model struct {
	tb testing.TB

	mu sync.Mutex
	// records are the published configurations; the index is the offset.
	records  [][]byte
	appended chan struct{}
	nodes    []*modelNode
	byAddr   map[string]*modelNode
	links    map[[2]string]*link.Bandwidth
	// storeCalls counts the calls to the store.
	storeCalls int
}

// modelNode is a node of a model, with its faults.
type modelNode struct {
	fleet    *model
	record   membership.Record
	current  *follower.Current
	gossiper *membership.Gossiper
	receiver *membership.Receiver
	stop     context.CancelFunc
	// isOld means that the node is of a build in which each node reads the store, and whose
	// messages lack the fields of this one.
	isOld bool

	// The fields below are guarded by the model's mutex.
	// isDown makes calls to the node fail at once; it is stopped.
	isDown bool
	// isCut makes all calls of the node and to it get no response.
	isCut bool
	// storeFault is the fault of the node's calls to the store.
	storeFault storeFault
}

// storeFault is a fault of the calls of one node to the store.
type storeFault int

const (
	storeResponds storeFault = iota
	storeRefuses
	storeIsSilent
)

const (
	// regionDelay is the one-way delay between regions, localDelay that within one.
	regionDelay = 8 * time.Millisecond
	localDelay  = time.Millisecond
	// narrowLink, in bytes per second, is a link of 60 Mbit/s; wideLink one of 4,000.
	narrowLink = 60e6 / 8
	wideLink   = 4000e6 / 8
	// silenceTimeout is how long a call between nodes waits on a connection that it has
	// kept, and then on a new one.
	silenceTimeout = 1400 * time.Millisecond
)

var errDown = errors.New("connection refused")

// newModel returns a running fleet with the given numbers of nodes by region, which know
// each other.
func newModel(ctx context.Context, tb testing.TB, bytesPerSecond float64, first []byte, sizes ...int) *model {
	return newModelWith(ctx, tb, bytesPerSecond, first, func(*modelNode) {}, sizes...)
}

// newModelWith is newModel with a function that changes the nodes before they start.
func newModelWith(ctx context.Context, tb testing.TB, bytesPerSecond float64, first []byte, change func(*modelNode), sizes ...int) *model {
	m := &model{
		tb: tb, records: [][]byte{first}, appended: make(chan struct{}),
		byAddr: map[string]*modelNode{}, links: map[[2]string]*link.Bandwidth{},
	}
	var records []membership.Record
	for region, size := range sizes {
		for i := range size {
			records = append(records, membership.Record{
				ControlAddress: fmt.Sprintf("10.%d.%d.%d:1", region, i/250, i%250), GateAddress: fmt.Sprintf("10.%d.%d.%d:2", region, i/250, i%250),
				Service: "s", DataCentre: fmt.Sprintf("r%d-%d", region, i%2), Region: regionName(region), Incarnation: 1,
			})
		}
		for other := range sizes {
			m.links[[2]string{regionName(region), regionName(other)}] = link.NewBandwidth(bytesPerSecond)
		}
	}
	for _, r := range records {
		n := &modelNode{fleet: m, record: r}
		m.nodes = append(m.nodes, n)
		m.byAddr[r.ControlAddress] = n
	}
	var started []func()
	for _, n := range m.nodes {
		change(n)
		started = append(started, n.prepare(ctx, records))
	}
	for _, start := range started {
		start()
	}
	return m
}

func regionName(i int) string { return "r" + strconv.Itoa(i) }

// prepare creates the node, which knows the given records, and returns the function that
// runs it.
func (n *modelNode) prepare(ctx context.Context, known []membership.Record) (start func()) {
	ctx, n.stop = context.WithCancel(ctx)
	logger := hclog.NewNullLogger()
	view := membership.NewView(n.record)
	view.Merge(known)
	n.current = follower.NewCurrent(decodeVersion, logger)
	n.gossiper = membership.NewGossiper(view, n.current, quarantine.NewTable(logger), n, logger)
	n.receiver = membership.NewReceiver(n.gossiper)
	f := follower.New(n, n.current, n.gossiper, logger)
	if !n.isOld {
		f = f.WithDuty(n.gossiper)
	}
	return func() {
		go f.Run(ctx)
		go n.gossiper.Run(ctx)
	}
}

// decodeVersion decodes the version of a configuration of encodeRoutes.
func decodeVersion(b []byte) (configuration.Configuration, error) {
	var w struct {
		Version uint64 `json:"version"`
	}
	if i := bytes.IndexByte(b, ','); i > 0 && json.Unmarshal(append(bytes.Clone(b[:i]), '}'), &w) == nil {
		return configuration.New(w.Version, nil, configuration.Limits{}, nil), nil
	}
	return configuration.Configuration{}, errors.New("malformed")
}

// encodeRoutes returns the encoded form of a version with a number of routes. Each version
// changes one route.
func encodeRoutes(version uint64, routes int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"paths":[`, version)
	random := rand.New(rand.NewPCG(7, 7))
	for i := range routes {
		service := random.Uint32()
		if routes > 0 && i == int(version)%routes {
			service = uint32(version)
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","prefix":"/%08x/%x/","kind":"non_idempotent","timeout":"6000ms","target_latency":"5000ms","priority":2,"attempts":3,"service":"s%08x"},`,
			random.Uint32(), random.Uint32(), random.Uint32()%256, service)
	}
	fmt.Fprintf(&b, `null]}`)
	return b.Bytes()
}

// publish appends a configuration to the store.
func (m *model) publish(encoded []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = append(m.records, encoded)
	close(m.appended)
	m.appended = make(chan struct{})
}

// version returns the active version of a node.
func (n *modelNode) version() uint64 { return n.current.Configuration().Version }

// carry returns when n bytes have passed from one region to another.
func (m *model) carry(ctx context.Context, from, to string, n int) error {
	if from == to {
		return sleepFor(ctx, localDelay)
	}
	if err := m.links[[2]string{from, to}].Wait(ctx, n); err != nil {
		return err
	}
	return sleepFor(ctx, regionDelay)
}

func sleepFor(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callBytes is the size of a call to the store and of a response without records.
const callBytes = 250

// callStore applies the faults of the node to a call to the store.
func (n *modelNode) callStore(ctx context.Context) error {
	m := n.fleet
	m.mu.Lock()
	m.storeCalls++
	fault := n.storeFault
	if n.isCut {
		fault = storeIsSilent
	}
	m.mu.Unlock()
	switch fault {
	case storeRefuses:
		return errors.New("503")
	case storeIsSilent:
		// The client of the store gives up a call after 3 s.
		return cmp.Or(sleepFor(ctx, 3*time.Second), errors.New("no response"))
	}
	return m.carry(ctx, n.record.Region, regionName(0), callBytes)
}

// Newest implements follower.Source. The store encodes values in base64.
func (n *modelNode) Newest(ctx context.Context) (follower.Batch, error) {
	if err := n.callStore(ctx); err != nil {
		return follower.Batch{}, err
	}
	m := n.fleet
	m.mu.Lock()
	end := len(m.records)
	newest := m.records[end-1]
	m.mu.Unlock()
	if err := m.carry(ctx, regionName(0), n.record.Region, callBytes+len(newest)*4/3); err != nil {
		return follower.Batch{}, err
	}
	return follower.Batch{Encoded: [][]byte{newest}, Next: distribution.Position{Offset: int64(end)}}, nil
}

// ReceivedAt implements follower.Source.
func (n *modelNode) ReceivedAt() time.Time { return time.Time{} }

// Next implements follower.Source.
func (n *modelNode) Next(ctx context.Context, from distribution.Position, wait time.Duration) (follower.Batch, error) {
	if err := n.callStore(ctx); err != nil {
		return follower.Batch{}, err
	}
	m := n.fleet
	m.mu.Lock()
	appended := m.appended
	isNew := from.Offset < int64(len(m.records))
	m.mu.Unlock()
	if !isNew {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-appended:
		case <-timer.C:
		case <-ctx.Done():
			return follower.Batch{}, ctx.Err()
		}
	}
	m.mu.Lock()
	batch := follower.Batch{Encoded: m.records[from.Offset:len(m.records):len(m.records)], Next: distribution.Position{Offset: int64(len(m.records))}}
	isMute := n.isCut || n.storeFault == storeIsSilent
	m.mu.Unlock()
	if isMute {
		<-ctx.Done()
		return follower.Batch{}, ctx.Err()
	}
	size := callBytes
	for _, encoded := range batch.Encoded {
		size += len(encoded)
	}
	if err := m.carry(ctx, regionName(0), n.record.Region, size); err != nil {
		return follower.Batch{}, err
	}
	return batch, nil
}

// Call implements membership.Transport.
func (n *modelNode) Call(ctx context.Context, address, method string, args, reply any) error {
	m := n.fleet
	peer, ok := m.byAddr[address]
	if !ok {
		return errDown
	}
	if err := m.carry(ctx, n.record.Region, peer.record.Region, encodedSize(m.tb, args)); err != nil {
		return err
	}
	m.mu.Lock()
	isCut, isDown := n.isCut || peer.isCut, peer.isDown
	m.mu.Unlock()
	if isCut {
		return cmp.Or(sleepFor(ctx, silenceTimeout), errors.New("no reply"))
	}
	if isDown {
		return errDown
	}
	request, result := args.(membership.Message), &membership.Message{}
	isTell := method == membership.ReceiverName+".Tell"
	if n.isOld || peer.isOld {
		request = asOld(request, isTell)
	}
	var err error
	switch method {
	case membership.ReceiverName + ".Tell":
		err = peer.receiver.Tell(request, result)
	case membership.ReceiverName + ".Fetch":
		err = peer.receiver.Fetch(request, result)
	case membership.ReceiverName + ".Compare":
		err = peer.receiver.Compare(request, result)
	default:
		err = errors.Errorf("unknown method %s", method)
	}
	if err != nil {
		return err
	}
	if err := m.carry(ctx, peer.record.Region, n.record.Region, encodedSize(m.tb, result)); err != nil {
		return err
	}
	if n.isOld || peer.isOld {
		*result = asOld(*result, isTell)
	}
	*reply.(*membership.Message) = *result
	return nil
}

// asOld returns a message without what older builds neither send nor read.
func asOld(m membership.Message, isTell bool) membership.Message {
	m.ConfigurationDigest, m.Patches, m.WantsReaders = 0, nil, false
	m.ReaderAge, m.ReadVersion, m.ReadEra, m.ReadOffset = 0, 0, 0, 0
	if isTell {
		m.ConfigurationVersion, m.ConfigurationHolder = 0, ""
	}
	return m
}

// encodedSize returns the size of a message in a call.
func encodedSize(tb testing.TB, message any) int {
	const framing = 40
	n := &countingWriter{}
	if err := codec.NewEncoder(n, &codec.MsgpackHandle{}).Encode(message); err != nil {
		tb.Fatal(err)
	}
	return n.bytes + framing
}

// countingWriter counts what is written to it.
type countingWriter struct{ bytes int }

func (w *countingWriter) Write(b []byte) (int, error) {
	w.bytes += len(b)
	return len(b), nil
}
