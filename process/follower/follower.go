package follower

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cuminwheel/cuminwheel/connection/logservice"
	"github.com/cuminwheel/cuminwheel/process/pause"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
)

// Follower keeps a Journal current.
type Follower struct {
	clock     func() time.Time
	logger    hclog.Logger
	journal   *ledger.Journal
	roster    *roster.Roster
	log       Log
	caller    roster.Caller
	random    *rand.Rand
	assembler ledger.Assembler
	// restatedAt is the Next of the newest snapshot seen in the log.
	restatedAt int64
	restateDue time.Time
}

// Log reads and appends records.
type Log interface {
	Read(ctx context.Context, offset int64, deadline time.Time) (logservice.Batch, error)
	Append(ctx context.Context, raw []byte) (int64, error)
}

// Options are what a Follower needs. All fields must be set.
type Options struct {
	Clock   func() time.Time
	Logger  hclog.Logger
	Journal *ledger.Journal
	Roster  *roster.Roster
	Log     Log
	Caller  roster.Caller
	Random  *rand.Rand
}

// Shape of the tree and timing.
const (
	readersPerDataCentre = 2
	childrenPerParent    = 30
	waitTime             = 8 * time.Second
	peerTimeout          = waitTime + 2*time.Second
	snapshotTimeout      = 20 * time.Second
	snapshotPeers        = 3
	retryPause           = 300 * time.Millisecond
	maxReplyBytes        = 1 << 20
	// restateRecords and restateInterval bound how much of the log a reader
	// without peers has to fold, and how old a snapshot gets before the
	// records that it stands for expire.
	restateRecords  = 1000
	restateInterval = 30 * time.Minute
)

// New returns a follower.
func New(o Options) *Follower {
	return &Follower{
		clock:      o.Clock,
		logger:     o.Logger,
		journal:    o.Journal,
		roster:     o.Roster,
		log:        o.Log,
		caller:     o.Caller,
		random:     o.Random,
		restateDue: o.Clock().Add(restateInterval),
	}
}

// Run follows the log until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.logger.Debug("following the log", "error", err)
			f.pause(ctx)
		}
	}
}

// step makes the journal current once, from the best source there is.
func (f *Follower) step(ctx context.Context) error {
	if !f.journal.IsReady() && f.askSnapshots(ctx) {
		return nil
	}
	rank, ranked := f.rank()
	if rank < readersPerDataCentre || !f.journal.IsReady() {
		if err := f.readLog(ctx); err == nil {
			return nil
		}
		// A reader does not wait at a peer, which may wait for this reader: it
		// must see at once when the log is back.
		f.pause(ctx)
		return f.readPeer(ctx, f.anyPeer(), 0)
	}
	parents := parentsOf(rank, ranked)
	for _, p := range parents {
		if err := f.readPeer(ctx, p, waitTime); err == nil {
			return nil
		}
	}
	if err := f.readPeer(ctx, f.anyPeer(), 0); err == nil {
		return nil
	}
	return f.readLog(ctx)
}

// rank returns this node's place among the living nodes of its data centre.
func (f *Follower) rank() (int, []string) {
	self := f.roster.Self()
	var ids []string
	for _, n := range f.roster.Nodes() {
		if n.Status == roster.StatusAlive && n.DataCentre == self.DataCentre && n.Region == self.Region {
			ids = append(ids, n.ID)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return rankHash(ids[i]) < rankHash(ids[j]) })
	for i, id := range ids {
		if id == self.ID {
			return i, ids
		}
	}
	return len(ids), ids
}

func rankHash(id string) uint64 { return xxhash.Sum64String("rank/" + id) }

// parentsOf returns the two nodes that the node of the given rank waits at.
func parentsOf(rank int, ranked []string) []string {
	if len(ranked) < readersPerDataCentre {
		return nil
	}
	group := (rank - readersPerDataCentre) / childrenPerParent
	first := group % readersPerDataCentre
	if group >= readersPerDataCentre {
		first = group
	}
	second := first ^ 1
	if second >= len(ranked) || second >= rank {
		second = 0
	}
	return []string{ranked[first], ranked[second]}
}

func (f *Follower) anyPeer() string {
	self := f.roster.Self().ID
	var ids []string
	for _, n := range f.roster.Nodes() {
		if n.Status == roster.StatusAlive && n.ID != self {
			ids = append(ids, n.ID)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return ids[f.random.IntN(len(ids))]
}

var errNoPeer = errors.New("no peer is known")

// readPeer takes records after the own state from a peer, which waits for the
// first of them.
func (f *Follower) readPeer(ctx context.Context, peer string, wait time.Duration) error {
	if peer == "" {
		return errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	args := ReadArgs{Offset: f.journal.State().Next, WaitMillis: int(wait.Milliseconds())}
	var reply ReadReply
	if err := f.caller.Call(ctx, peer, "Journal.Read", args, &reply); err != nil {
		return err
	}
	if reply.Expired {
		return f.takeSnapshot(ctx, peer)
	}
	f.fold(args.Offset, reply.Records)
	return nil
}

// readLog waits at the log for records after the own state.
func (f *Follower) readLog(ctx context.Context) error {
	next := f.journal.State().Next
	wait := f.clock().Add(waitTime)
	if !f.journal.IsReady() {
		wait = f.clock()
	}
	b, err := f.log.Read(ctx, next, wait)
	var truncated *logservice.TruncatedError
	if errors.As(err, &truncated) {
		return f.recover(ctx, truncated.First)
	}
	if err != nil {
		return err
	}
	f.fold(b.First, b.Records)
	if f.journal.State().Next >= b.Next {
		f.journal.CaughtUp()
	}
	return f.restate(ctx)
}

func (f *Follower) fold(offset int64, records [][]byte) {
	for _, d := range f.journal.Fold(offset, records) {
		f.logger.Info("folded", "offset", d.Offset, "id", d.ID, "accepted", d.Accepted, "code", d.Code, "reason", d.Reason)
	}
	for _, raw := range records {
		if r, err := ledger.Decode(raw); err == nil && r.Snapshot != nil {
			f.restatedAt = max(f.restatedAt, r.Snapshot.Next)
		}
	}
}

// recover starts from a snapshot in the log when the first records of the log
// have expired and no peer has a state. Only a snapshot that no expired record
// follows can be continued.
func (f *Follower) recover(ctx context.Context, first int64) error {
	for offset := first; ; {
		b, err := f.log.Read(ctx, offset, f.clock())
		if err != nil {
			return err
		}
		for _, raw := range b.Records {
			f.tryInstall(raw, first)
		}
		offset = b.First + int64(len(b.Records))
		if offset >= b.Next {
			break
		}
	}
	if f.journal.State().Next < first {
		return errors.Errorf("records before offset %d have expired and no whole snapshot follows", first)
	}
	return nil
}

func (f *Follower) tryInstall(raw []byte, first int64) {
	r, err := ledger.Decode(raw)
	if err != nil || r.Snapshot == nil {
		return
	}
	s, whole := f.assembler.Add(*r.Snapshot)
	if whole && s.Next >= first && f.journal.Install(s.State()) {
		f.logger.Info("started from a snapshot in the log", "next", s.Next)
	}
}

// restate puts a snapshot into the log when the last one has become old. The
// first reader of all does so; one that several nodes write is the same.
func (f *Follower) restate(ctx context.Context) error {
	s := f.journal.State()
	now := f.clock()
	grown := s.Next - f.restatedAt
	due := grown >= restateRecords || grown > 1 && !now.Before(f.restateDue)
	if !due || !f.isRestater() {
		return nil
	}
	f.restateDue = now.Add(restateInterval)
	f.restatedAt = s.Next
	parts, err := s.Snapshot().Parts()
	if err != nil {
		return err
	}
	for _, p := range parts {
		if err := f.appendPart(ctx, p); err != nil {
			return err
		}
	}
	f.logger.Info("restated the state", "next", s.Next, "parts", len(parts))
	return nil
}

func (f *Follower) isRestater() bool {
	self := f.roster.Self()
	for _, n := range f.roster.Nodes() {
		if n.Status == roster.StatusAlive && rankHash(n.ID) < rankHash(self.ID) {
			return false
		}
	}
	return true
}

func (f *Follower) pause(ctx context.Context) {
	jitter := time.Duration(f.random.Int64N(int64(retryPause)))
	pause.For(ctx, retryPause+jitter)
}

// askSnapshots takes the newest state of a few peers, so that a peer that lags
// does not set this node back.
func (f *Follower) askSnapshots(ctx context.Context) bool {
	for range snapshotPeers {
		peer := f.anyPeer()
		if peer == "" {
			break
		}
		if err := f.takeSnapshot(ctx, peer); err != nil {
			f.logger.Debug("no snapshot from peer", "peer", peer, "error", err)
		}
	}
	return f.journal.IsReady()
}

func (f *Follower) takeSnapshot(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	var reply SnapshotReply
	args := SnapshotArgs{Newer: f.journal.State().Next}
	if err := f.caller.Call(ctx, peer, "Journal.Snapshot", args, &reply); err != nil {
		return err
	}
	if !reply.Ready {
		return errors.New("peer is not ready")
	}
	if len(reply.Data) > 0 {
		var s ledger.Snapshot
		if err := json.Unmarshal(reply.Data, &s); err != nil {
			return errors.Wrap(err, "read snapshot")
		}
		f.journal.Install(s.State())
	}
	f.journal.CaughtUp()
	return nil
}
