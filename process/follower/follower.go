package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cuminwheel/cuminwheel/process/distribution"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
)

// Source delivers published configurations, in encoded form.
type Source interface {
	// Newest returns the newest configuration, if there is one, and the position from
	// which Next continues.
	Newest(ctx context.Context) (Batch, error)
	// Next waits for configurations published from a position on, at most for wait. It
	// returns them and the position from which the next call continues. The batch is empty
	// if none were published. Errors wrap ErrTrimmed if the source no longer holds the
	// position.
	Next(ctx context.Context, from distribution.Position, wait time.Duration) (Batch, error)
	// ReceivedAt returns when bytes of a response to a call last arrived, or the zero time.
	ReceivedAt() time.Time
}

// Batch is the result of a call to a Source.
type Batch struct {
	// Encoded holds configurations, the oldest first.
	Encoded [][]byte
	// Next is the position after them.
	Next distribution.Position
	// Transfer is the time from the first byte of the response to its last.
	Transfer time.Duration
}

// Newest returns the last configuration of the batch, or nil if it is empty.
func (b Batch) Newest() []byte {
	if len(b.Encoded) == 0 {
		return nil
	}
	return b.Encoded[len(b.Encoded)-1]
}

// bytes returns the size of the configurations.
func (b Batch) bytes() int {
	n := 0
	for _, encoded := range b.Encoded {
		n += len(encoded)
	}
	return n
}

// Fleet is the set of nodes that follow the same source and tell each other of newer
// configurations.
type Fleet interface {
	// Place returns the index of the node among the nodes that read the source, in an order
	// that is the same for all, and their number, which is at least 1.
	Place() (index, count int)
}

// Duty tells a node when it reads the source. At other times it gets configurations from
// other nodes.
type Duty interface {
	// ReadsAt returns from when on the node reads the source; the zero time means always.
	// The channel is closed when that may have changed.
	ReadsAt() (at time.Time, changed <-chan struct{})
	// Position returns the latest position in the source before which there is nothing that
	// the node needs, if one is known.
	Position() (distribution.Position, bool)
	// RecordReading notes that the source responds until a time, and what has been read.
	RecordReading(until time.Time, r distribution.Reading)
	// RecordFailure notes that a call to the source has failed.
	RecordFailure(now time.Time)
}

// ErrTrimmed means that a source no longer holds all configurations that follow a
// position.
var ErrTrimmed = errors.New("the source has trimmed configurations after the position")

const (
	// minBackoff and maxBackoff limit the mean delay between calls to a source
	// that fails. A configuration has to become active within seconds after the
	// source is available again, and calls are billed.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// batchDelay lets configurations that are published in quick succession arrive
	// in one call.
	batchDelay = 400 * time.Millisecond
	// supersededGrace is how long a call to Next may still wait after another node
	// has delivered a newer configuration. After that its connection counts as
	// dead: a connection can stop delivering without an error.
	supersededGrace = time.Second
	// waitEndInterval is the time between the ends of two waits of the whole fleet. A
	// silent connection shows only when a wait ends without a response. The node that
	// notices it reads the newest configuration over another connection, and the others
	// learn from that node.
	waitEndInterval = 250 * time.Millisecond
	// minPeriod and maxWait limit the time between two ends of a node's waits. minPeriod
	// is well below the 2.5 s in which a configuration has to become active, since a small
	// fleet has hardly any other node that would notice a silent connection sooner. The
	// store allows waits of up to 30 s.
	minPeriod = time.Second
	maxWait   = 28 * time.Second
	// minWait is the shortest wait. A response that comes early would otherwise cost a
	// second call for the same slot.
	minWait = 20 * time.Millisecond
	// silenceGrace is how long after the end of its wait a call to Next may still get a
	// response. After that its connection counts as silent.
	silenceGrace = time.Second
	// responseTime is how long after the end of its wait a call may take until the source
	// no longer counts as read.
	responseTime = 300 * time.Millisecond
)

// Causes with which a call to Next is cancelled.
var (
	errSuperseded = errors.New("another node delivered a newer configuration than the source")
	errSilent     = errors.New("no response by the end of the wait")
)

// Follower passes the configurations of a source to Current.
type Follower struct {
	source  Source
	current *Current
	fleet   Fleet
	// duty is nil if the node always reads the source.
	duty   Duty
	logger hclog.Logger
	// clock is the time of day, which differs between nodes.
	clock func() time.Time
	// respondedAt is when the source last responded, in Unix nanoseconds; zero if it has
	// not yet.
	respondedAt atomic.Int64
}

// New returns a Follower that passes the configurations of s to c.
func New(s Source, c *Current, f Fleet, logger hclog.Logger) *Follower {
	return &Follower{source: s, current: c, fleet: f, logger: logger, clock: time.Now}
}

// WithDuty makes the follower read only when it is the node's duty. It must be called before
// Run.
func (f *Follower) WithDuty(d Duty) *Follower {
	f.duty = d
	return f
}

// RespondedAt returns when the source last responded to a call, or the zero time. A call
// that waits for changes has not been responded to until it returns.
func (f *Follower) RespondedAt() time.Time {
	nanos := f.respondedAt.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Run reads the newest configuration and then waits for changes, until ctx ends. After an
// error it asks for changes without a wait, or for the newest configuration if the source no
// longer has the position.
func (f *Follower) Run(ctx context.Context) {
	var position *distribution.Position // nil means that the newest configuration is read
	backoff := time.Duration(0)
	isTrimmed := false
	for {
		hasWaited := f.awaitDuty(ctx)
		if ctx.Err() != nil {
			return
		}
		if hasWaited || position == nil && !isTrimmed {
			position = f.latest(position)
		}
		calledAt := time.Now()
		wait, isProbe := f.nextWait(f.clock()), backoff > 0
		if isProbe {
			wait = minWait // shows soon whether the source responds again
		}
		next, received, err := f.poll(ctx, position, wait, isProbe)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrTrimmed):
			f.logger.Info("the store has trimmed configurations; reading the newest", "position", offsetOf(position))
			position, backoff, isTrimmed = nil, 0, true
			continue
		case err != nil:
			if backoff == 0 {
				f.logger.Warn("store unavailable; retrying", "reason", err, "position", offsetOf(position), "waited_ms", time.Since(calledAt).Milliseconds())
			}
			if f.duty != nil {
				f.duty.RecordFailure(time.Now())
			}
			if backoff == 0 && time.Since(calledAt) >= silenceGrace {
				// The connection has been silent for as long already.
				backoff = minBackoff
				continue
			}
			backoff = min(maxBackoff, max(minBackoff, 2*backoff))
			sleep(ctx, time.Duration((0.5+rand.Float64())*float64(backoff)))
			continue
		}
		if backoff > 0 {
			f.logger.Info("store available again", "position", next.Offset)
			backoff = 0
		}
		f.respondedAt.Store(time.Now().UnixNano())
		position, isTrimmed = &next, false
		f.recordReading(time.Now().Add(f.nextWait(f.clock())+responseTime), next)
		if received {
			sleep(ctx, batchDelay)
		}
	}
}

// nextWait returns how long the next call to Next waits: until the node's own slot in a
// period that all nodes share. The slots are spread evenly, so that a wait of some node
// ends every waitEndInterval, also when all nodes begin to wait at once, after a change.
// Nodes whose clocks differ have other slots than intended; each still has one in a period.
func (f *Follower) nextWait(now time.Time) time.Duration {
	index, count := f.fleet.Place()
	period := min(maxWait, max(minPeriod, time.Duration(count)*waitEndInterval))
	slot := period * time.Duration(2*index+1) / time.Duration(2*count)
	wait := slot - time.Duration(now.UnixNano()%int64(period))
	if wait < minWait {
		wait += period
	}
	return wait
}

// awaitDuty waits until it is the node's duty to read the source, or until ctx ends, and
// reports whether it had to wait. A node without a configuration reads in any case.
func (f *Follower) awaitDuty(ctx context.Context) (hasWaited bool) {
	for ctx.Err() == nil && f.duty != nil && f.current.Configuration().Version > 0 {
		at, changed := f.duty.ReadsAt()
		wait := time.Until(at)
		if wait <= 0 {
			if hasWaited {
				f.logger.Info("begins to read the store", "no_reader_heard_until", at)
			}
			break
		}
		hasWaited = true
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return hasWaited
}

// latest returns the later one of a position and the one that other nodes have named.
func (f *Follower) latest(position *distribution.Position) *distribution.Position {
	if f.duty == nil {
		return position
	}
	named, ok := f.duty.Position()
	if ok && (position == nil || named.IsAfter(*position)) {
		return &named
	}
	return position
}

// recordReading tells the other nodes that the source responds until a time.
func (f *Follower) recordReading(until time.Time, next distribution.Position) {
	if f.duty != nil {
		f.duty.RecordReading(until, distribution.Reading{Version: f.current.Configuration().Version, Next: next})
	}
}

// offsetOf returns the offset of a position for the log.
func offsetOf(p *distribution.Position) int64 {
	if p == nil {
		return -1
	}
	return p.Offset
}

// poll makes one call to the source and offers what it returns to Current: Newest
// if the position is nil, otherwise Next. It returns the position for the next
// call, and whether Next returned any configuration. A probe may take as long as the source
// allows: one that is slow still responds.
func (f *Follower) poll(ctx context.Context, position *distribution.Position, wait time.Duration, isProbe bool) (next distribution.Position, received bool, err error) {
	if position == nil {
		batch, err := f.source.Newest(ctx)
		if err == nil {
			f.offer(batch)
		}
		return batch.Next, false, err
	}
	waitCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go f.cancelIfSuperseded(waitCtx, cancel)
	if !isProbe {
		go f.cancelWhenStalled(waitCtx, wait+silenceGrace, func() { cancel(errSilent) })
	}
	batch, err := f.source.Next(waitCtx, *position, wait)
	if err != nil {
		return *position, false, err
	}
	f.offer(batch)
	return batch.Next, len(batch.Encoded) > 0, nil
}

// cancelWhenStalled calls cancel after a time, or once nothing of the response has arrived
// for silenceGrace. A response that still arrives is not given up: its bytes would have to
// be sent again.
func (f *Follower) cancelWhenStalled(ctx context.Context, after time.Duration, cancel func()) {
	for {
		sleep(ctx, after)
		idle := time.Since(f.source.ReceivedAt())
		if ctx.Err() != nil || idle >= silenceGrace {
			cancel()
			return
		}
		after = silenceGrace - idle
	}
}

// cancelIfSuperseded cancels a call to Next that makes no progress once supersededGrace has
// passed since another configuration became active.
func (f *Follower) cancelIfSuperseded(waitCtx context.Context, cancel context.CancelCauseFunc) {
	select {
	case <-waitCtx.Done():
		return
	case <-f.current.Changed():
	}
	f.cancelWhenStalled(waitCtx, supersededGrace, func() { cancel(errSuperseded) })
}

// offer offers the configurations of a batch to Current, the last one first, so that those
// that it supersedes are not applied. If one is invalid, the active one stays.
func (f *Follower) offer(b Batch) {
	if len(b.Encoded) == 0 {
		return
	}
	f.logger.Info("configurations read from the store", "count", len(b.Encoded), "bytes", b.bytes(), "transfer_ms", b.Transfer.Milliseconds())
	for _, encoded := range slices.Backward(b.Encoded) {
		if err := f.current.Offer(encoded, "store"); err != nil {
			f.logger.Error("invalid published configuration; keeping the active one", "reason", err)
		}
	}
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
