package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
)

// Source is where configurations are published.
type Source interface {
	// Newest returns the newest encoded configuration, if there is one, and the
	// position at which Next goes on.
	Newest(ctx context.Context) (encoded []byte, position int64, err error)
	// Next waits for configurations that were published after a position and
	// returns them, oldest first, with the position after them.
	Next(ctx context.Context, position int64) (encoded [][]byte, next int64, err error)
}

// ErrTrimmed means that a source no longer holds what follows a position.
var ErrTrimmed = errors.New("the source has forgotten configurations")

const (
	// firstPause and lastPause bound the time between calls to a source that
	// fails. A configuration must be in force within seconds of the source's
	// return, and calls are paid for.
	firstPause = 200 * time.Millisecond
	lastPause  = 1500 * time.Millisecond
	// batchPause lets configurations that are published in quick succession
	// come with one call.
	batchPause = 400 * time.Millisecond
	// overtakenAfter is how long a configuration that another node handed on may
	// be missing from the source's answers before the wait for them counts as
	// dead: a connection may have gone silent.
	overtakenAfter = time.Second
)

// errOvertaken ends a wait that another node's configuration has overtaken.
var errOvertaken = errors.New("another node had a newer configuration")

// Follower takes a source's configurations over into Current.
type Follower struct {
	source  Source
	current *Current
	logger  hclog.Logger
}

// New returns a follower.
func New(s Source, c *Current, logger hclog.Logger) *Follower {
	return &Follower{source: s, current: c, logger: logger}
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	position := int64(-1)
	pause := time.Duration(0)
	for ctx.Err() == nil {
		next, took, err := f.step(ctx, position)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrTrimmed):
			f.logger.Info("the store forgot configurations; reading the newest", "position", position)
			position, pause = -1, 0
			continue
		case err != nil:
			if pause == 0 {
				f.logger.Warn("store lost", "reason", err, "position", position)
			}
			// The next call is a short one, which tells soon whether the store
			// answers again.
			position = -1
			pause = min(lastPause, max(firstPause, 2*pause))
			sleep(ctx, time.Duration((0.5+rand.Float64())*float64(pause)))
			continue
		}
		if pause > 0 {
			f.logger.Info("store regained", "position", next)
			pause = 0
		}
		position = next
		if took {
			sleep(ctx, batchPause)
		}
	}
}

// step makes one call and reports whether it brought a configuration.
func (f *Follower) step(ctx context.Context, position int64) (next int64, took bool, err error) {
	if position < 0 {
		encoded, next, err := f.source.Newest(ctx)
		if err == nil && encoded != nil {
			f.offer(encoded)
		}
		return next, false, err
	}
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go f.watch(waiting, cancel)
	list, next, err := f.source.Next(waiting, position)
	if err != nil {
		return position, false, err
	}
	for _, encoded := range list {
		f.offer(encoded)
	}
	return next, len(list) > 0, nil
}

// watch ends a wait for the source some time after a configuration has come into
// force from elsewhere.
func (f *Follower) watch(waiting context.Context, cancel context.CancelCauseFunc) {
	select {
	case <-waiting.Done():
		return
	case <-f.current.Changed():
	}
	sleep(waiting, overtakenAfter)
	cancel(errOvertaken)
}

func (f *Follower) offer(encoded []byte) {
	if err := f.current.Offer(encoded, "store"); err != nil {
		f.logger.Error("a published configuration cannot be used; the one in force stays", "reason", err)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
