package membership

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/process/distribution"
	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/cuminwheel/cuminwheel/request/field"
	"github.com/cuminwheel/cuminwheel/version/patch"
	"github.com/hashicorp/go-hclog"
)

// Configurations gives access to the newest configuration that the node has.
// Gossip spreads it to nodes that cannot reach the store.
type Configurations interface {
	// Newest returns the version and the encoded form of the newest
	// configuration.
	Newest() (version uint64, encoded []byte)
	// Offer applies an encoded configuration if it is newer.
	Offer(encoded []byte, source string) error
	// Changed returns a channel that is closed when the active configuration
	// changes.
	Changed() <-chan struct{}
}

// Evidence is what the node knows of requests that crash targets. Gossip spreads it, so
// that every node refuses them.
type Evidence interface {
	// Updates delivers the records that should be spread.
	Updates() <-chan []quarantine.Record
	// Digest returns a hash that is equal for equal evidence.
	Digest(now time.Time) uint64
	Records(now time.Time) []quarantine.Record
	Merge(records []quarantine.Record, now time.Time)
}

// Transport calls a method of another node.
type Transport interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

const (
	// callTimeout limits a call to another node.
	callTimeout = time.Second
	// compareInterval is the mean time between two comparisons that a node
	// starts. A node without the store gets a new configuration within the 2.5 s
	// that operators allow if one of two comparisons is with a node that has it.
	compareInterval = time.Second
	// versionDelay is the mean time between a new configuration and the
	// comparisons that advertise it. By then nearly all nodes have it from their
	// parents in the distribution.
	versionDelay = 300 * time.Millisecond
	// fetchTimeout limits a fetch of a configuration. The transport gives up sooner if
	// nothing arrives any more.
	fetchTimeout = 10 * time.Second
	// hedgeDelay is how long a node waits for a configuration before it asks another holder
	// as well.
	hedgeDelay = 500 * time.Millisecond
	// remoteShare is the share of randomly picked peers that are in another
	// region.
	remoteShare = 0.1
	// fanout is the number of nodes that an update is pushed to and that a new
	// version is advertised to. With 3, an update reaches 10,000 nodes in about
	// nine rounds.
	fanout = 3
)

// Contacts records which nodes were reached.
type Contacts interface {
	Record(peer string, reached bool, now time.Time)
}

// Gossiper spreads records and configurations to other nodes and receives theirs,
// so that the views of all nodes converge, while Run runs.
type Gossiper struct {
	view           *View
	configurations Configurations
	evidence       Evidence
	transport      Transport
	contacts       Contacts
	logger         hclog.Logger
	// pushQueue holds updates until Run pushes them.
	pushQueue chan []Record
	// callers are nodes that have called while the fleet is not discovered.
	callers chan string
	// fetchRequests wakes fetchNewerConfigurations.
	fetchRequests chan struct{}
	compressed    compressedVersion

	mu sync.Mutex
	// holders are nodes that have newer configurations, and behindSince is when the first
	// of them was heard of.
	holders     distribution.Holders
	behindSince time.Time
	// fetched is the last configuration that was fetched, and from whom.
	fetched heldVersion
	// history leads to the active configuration from the last ones before it.
	history patch.History
	// tree is the result of currentTree for a version of the view, and stale if other
	// nodes are reachable than then.
	tree        distribution.Tree
	treeVersion uint64
	treeIsStale bool
	// unreachable are nodes that did not respond to the last call, and when they are
	// called again.
	unreachable map[string]time.Time
	watch       distribution.Watch
	// dutyChanged is closed when the result of ReadsAt may have changed.
	dutyChanged chan struct{}
	// readsUntil is until when the store is known to respond to the node itself.
	readsUntil time.Time
	// reading is the latest position in the log of the store that is known.
	reading distribution.Reading
	// advertised is the newest configuration version that was advertised to other
	// nodes.
	advertised uint64
	// nextRejectionLogAt is when a rejected record is logged again.
	nextRejectionLogAt time.Time
}

// rejectionLogInterval is the time between two rejected records that are logged. A node
// of an older version that holds one sends it with each comparison.
const rejectionLogInterval = 10 * time.Second

// NewGossiper returns a gossiper for the records of a view.
func NewGossiper(v *View, c Configurations, e Evidence, t Transport, logger hclog.Logger) *Gossiper {
	return &Gossiper{
		view: v, configurations: c, evidence: e, transport: t, logger: logger, pushQueue: make(chan []Record, 64), fetchRequests: make(chan struct{}, 1), callers: make(chan string, maxCallers),
		unreachable: map[string]time.Time{}, dutyChanged: make(chan struct{}), treeIsStale: true,
	}
}

// Run pushes updates, passes on configurations and compares views until ctx
// ends.
func (g *Gossiper) Run(ctx context.Context) {
	go g.fetchNewerConfigurations(ctx)
	go g.announceVersions(ctx)
	go g.watchReaders(ctx)
	go g.discover(ctx)
	for {
		wait := time.Duration((0.5 + rand.Float64()) * float64(compareInterval))
		select {
		case <-ctx.Done():
			return
		case updates := <-g.pushQueue:
			g.push(ctx, updates)
		case records := <-g.evidence.Updates():
			g.pushEvidence(ctx, records)
		case <-time.After(wait):
			g.Compare(ctx)
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Merge stores records in the view and queues those that are new to it for a
// push.
func (g *Gossiper) Merge(records []Record) {
	g.logRejected(records, time.Now())
	updates := g.view.Merge(records)
	if len(updates) == 0 {
		return
	}
	for _, r := range updates {
		g.logger.Info("membership changed", "node", r.ControlAddress, "service", r.Service, "data_centre", r.DataCentre,
			"issue", r.Incarnation, "gone", r.Gone)
	}
	g.QueuePush(updates)
}

// logRejected logs the first record that the view will not store, now and then.
func (g *Gossiper) logRejected(records []Record, now time.Time) {
	for _, r := range records {
		err := r.Validate(now)
		if err == nil {
			continue
		}
		g.mu.Lock()
		isDue := !now.Before(g.nextRejectionLogAt)
		if isDue {
			g.nextRejectionLogAt = now.Add(rejectionLogInterval)
		}
		g.mu.Unlock()
		if isDue {
			g.logger.Warn("record from another node rejected", "node", field.Quote(r.ControlAddress), "reason", err)
		}
		return
	}
}

// QueuePush queues records to be pushed to a few random nodes. If the queue is
// full, the records are dropped and spread by comparisons alone.
func (g *Gossiper) QueuePush(updates []Record) {
	select {
	case g.pushQueue <- updates:
	default:
	}
}

// push sends updates, together with all that are queued, to a few random nodes.
func (g *Gossiper) push(ctx context.Context, updates []Record) {
	for more := true; more; {
		select {
		case queued := <-g.pushQueue:
			updates = append(updates, queued...)
		default:
			more = false
		}
	}
	for range fanout {
		peer, ok := g.pickPeer()
		if !ok {
			return
		}
		go g.tell(ctx, peer, updates)
	}
}

// tell sends records to a peer and reports whether the peer has them now.
func (g *Gossiper) tell(ctx context.Context, peer Record, records []Record) bool {
	var reply Message
	if !g.call(ctx, peer, methodTell, Message{Sender: g.self(), Records: records}, &reply) {
		return false
	}
	g.Merge(reply.Records)
	return true
}

// pushEvidence sends records, together with all that are queued, to a few random nodes
// of any region: a request that crashes targets may come again anywhere.
func (g *Gossiper) pushEvidence(ctx context.Context, records []quarantine.Record) {
	for more := true; more; {
		select {
		case queued := <-g.evidence.Updates():
			records = append(records, queued...)
		default:
			more = false
		}
	}
	nodes := g.view.Nodes()
	for range fanout {
		if peer := nodes[rand.IntN(len(nodes))]; peer.ControlAddress != g.self() {
			go g.call(ctx, peer, methodTell, Message{Sender: g.self(), Evidence: records}, &Message{})
		}
	}
}

// compareEvidence completes a comparison: the peer has sent its evidence if that
// differs, and gets the own one if it lacks some of it.
func (g *Gossiper) compareEvidence(ctx context.Context, peer Record, reply Message) {
	now := time.Now()
	g.evidence.Merge(reply.Evidence, now)
	if g.evidence.Digest(now) != reply.EvidenceDigest {
		g.call(ctx, peer, methodTell, Message{Sender: g.self(), Evidence: g.evidence.Records(now)}, &Message{})
	}
}

// PushAndWait sends a record to a few random nodes, waits for their replies and returns
// how many of the nodes have the record.
func (g *Gossiper) PushAndWait(ctx context.Context, r Record) (holders int) {
	told := make(chan bool, fanout)
	for range fanout {
		go func() {
			peer, ok := g.pickPeer()
			told <- ok && g.tell(ctx, peer, []Record{r})
		}()
	}
	for range fanout {
		if <-told {
			holders++
		}
	}
	return holders
}

// Compare compares the view with that of a random node and reports whether that node
// replied. A node that has restarted learns so what the others hold of it.
func (g *Gossiper) Compare(ctx context.Context) bool {
	peer, ok := g.pickPeer()
	return ok && g.compareWith(ctx, peer)
}

// CompareWith is Compare with the node at a control address, which the view need not know.
func (g *Gossiper) CompareWith(ctx context.Context, address string) bool {
	return g.compareWith(ctx, Record{ControlAddress: address})
}

// compareWith exchanges digests and configuration versions with a peer. If the
// views differ, both nodes send each other the records in the buckets that
// differ. It reports whether the exchange is complete.
func (g *Gossiper) compareWith(ctx context.Context, peer Record) bool {
	request := g.withKnowledge(Message{Sender: g.self(), Digest: g.view.Digest()})
	request.EvidenceDigest = g.evidence.Digest(time.Now())
	request.ConfigurationVersion, request.ConfigurationHolder = g.newestKnownVersion()
	var reply Message
	if !g.call(ctx, peer, methodCompare, request, &reply) {
		return false
	}
	g.recordRemoteVersion(cmp.Or(reply.ConfigurationHolder, peer.ControlAddress), reply.ConfigurationVersion)
	g.compareEvidence(ctx, peer, reply)
	if !g.exchangeRecords(ctx, peer, reply.BucketDigests) {
		return false
	}
	g.view.learnFrom(reply)
	return true
}

// withKnowledge returns the message with what the own view lacks.
func (g *Gossiper) withKnowledge(m Message) Message {
	m.IsUndiscovered, m.IsNewcomer = !g.view.IsDiscovered(), !g.view.IsWitness()
	return m
}

// exchangeRecords sends the records in the buckets that differ from those of a peer, which
// sends its own. It reports whether the views then hold the same. Without digests they do.
func (g *Gossiper) exchangeRecords(ctx context.Context, peer Record, bucketDigests []uint64) bool {
	if len(bucketDigests) == 0 {
		return true
	}
	digests := g.view.BucketDigests(len(bucketDigests))
	push := g.withKnowledge(Message{Sender: g.self(), BucketCount: len(digests)})
	for i := range digests {
		if digests[i] != bucketDigests[i] {
			push.WantedBuckets = append(push.WantedBuckets, i)
		}
	}
	if len(push.WantedBuckets) == 0 {
		return true
	}
	push.Records = g.view.RecordsInBuckets(push.WantedBuckets, push.BucketCount)
	var wanted Message
	if !g.call(ctx, peer, methodTell, push, &wanted) {
		return false
	}
	g.Merge(wanted.Records)
	return true
}

// self returns the control address of the node itself.
func (g *Gossiper) self() string { return g.view.Self().ControlAddress }

// WithContacts makes the gossiper record which nodes it reached. It must be called before
// Run.
func (g *Gossiper) WithContacts(c Contacts) *Gossiper {
	g.contacts = c
	return g
}

// call reports whether the peer replied without an error.
func (g *Gossiper) call(ctx context.Context, peer Record, method string, args Message, reply *Message) bool {
	return g.callWithin(ctx, callTimeout, peer, method, args, reply)
}

// callWithin is call with another time limit.
func (g *Gossiper) callWithin(ctx context.Context, timeout time.Duration, peer Record, method string, args Message, reply *Message) bool {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := g.transport.Call(callCtx, peer.ControlAddress, method, args, reply)
	if ctx.Err() == nil {
		g.recordContact(peer.ControlAddress, err == nil, time.Now())
	}
	if g.contacts != nil {
		g.contacts.Record(peer.ControlAddress, err == nil, time.Now())
	}
	if err != nil {
		g.logger.Debug("call to another node failed", "node", peer.ControlAddress, "method", method, "reason", err)
		return false
	}
	*reply = reply.checked()
	return true
}
