package home

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminwheel/cuminwheel/process/lease"
	"github.com/cuminwheel/cuminwheel/process/pause"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/hashicorp/go-hclog"
)

// Keeper wins and renews the leases of the seats that this node is a member
// of, and proposes members for seats that lack them.
type Keeper struct {
	clock       func() time.Time
	logger      hclog.Logger
	states      States
	roster      *roster.Roster
	holder      *lease.Holder
	log         Log
	members     Members
	incarnation string
	// proposals holds, for each seat, when its next epoch may be proposed.
	proposals map[string]proposal
	// tryAt holds, for each seat that was not won, when to try again.
	tryAt   map[string]time.Time
	random  *rand.Rand
	leaving atomic.Bool
	// offered takes seats that their holder hands over to this node, and eager
	// holds them until the round that tries to win them.
	offered chan ledger.Seat
	eager   map[string]bool
	// mu keeps a round from winning back what HandOver gives up.
	mu sync.Mutex
}

// Log takes records. An error leaves open whether the record stands.
type Log interface {
	Append(ctx context.Context, raw []byte) (int64, error)
	// Ping reports whether the log answers.
	Ping(ctx context.Context) error
}

// Ask is what a candidate asks of a member for one seat.
type Ask struct {
	Service string `codec:"service"`
	Index   int    `codec:"index"`
	Epoch   int64  `codec:"epoch"`
}

// Members asks the members of seats. The own node is asked like any other.
type Members interface {
	// Grant asks a member to grant the seats to candidate and returns the run
	// of each grant, or lease.Refused.
	Grant(ctx context.Context, member, candidate string, seats []Ask) ([]time.Duration, error)
	// Close asks a member to grant no more under a seat's epoch and returns
	// how long its last grant to anybody but candidate still lasts.
	Close(ctx context.Context, member, candidate string, seat Ask) (time.Duration, error)
	// Release gives a member's grants back. candidate has stopped serving. If
	// it hands the seats over, the first of the other members is to win them
	// at once.
	Release(ctx context.Context, member, candidate string, seats []Ask, handOver bool) error
	// IsFree reports whether the own node's last grant of the seat was over
	// before the given time.
	IsFree(s ledger.Seat, before time.Time) bool
	// IsClosed reports whether the own node closed the seat's epoch before the
	// given time.
	IsClosed(s ledger.Seat, before time.Time) bool
}

// KeeperOptions are what a Keeper needs. All fields must be set.
type KeeperOptions struct {
	Clock   func() time.Time
	Logger  hclog.Logger
	States  States
	Roster  *roster.Roster
	Holder  *lease.Holder
	Log     Log
	Members Members
	// Incarnation tells this process from an earlier one at its address.
	Incarnation string
	Random      *rand.Rand
}

// proposal is an epoch that this node has put, or tried to put, into the log.
type proposal struct {
	epoch   int64
	retryAt time.Time
}

// Timing of the keeper.
const (
	appendTimeout = 3 * time.Second
	askTimeout    = 700 * time.Millisecond
	// proposalRetry is the pause before a proposal that does not show in the
	// log is made again. It has the same epoch, so that at most one counts.
	proposalRetry = 4 * time.Second
	// yieldTime is how much longer each later member waits before it tries to
	// win a free seat, so that members seldom try together.
	yieldTime = 800 * time.Millisecond
	// maxBackOff bounds the random wait after a seat was not won.
	maxBackOff = 2 * time.Second
	// foldPatience and foldPoll are how long, and how often, a keeper looks for
	// what it proposed.
	foldPatience = 500 * time.Millisecond
	foldPoll     = 10 * time.Millisecond
	// maxOffered bounds the seats that wait to be taken over.
	maxOffered = 256
	// wantedMembers lets a seat lose one member without the log.
	wantedMembers = 3
)

// NewKeeper returns a keeper.
func NewKeeper(o KeeperOptions) *Keeper {
	return &Keeper{
		clock:       o.Clock,
		logger:      o.Logger,
		states:      o.States,
		roster:      o.Roster,
		holder:      o.Holder,
		log:         o.Log,
		members:     o.Members,
		incarnation: o.Incarnation,
		proposals:   map[string]proposal{},
		tryAt:       map[string]time.Time{},
		offered:     make(chan ledger.Seat, maxOffered),
		eager:       map[string]bool{},
		random:      o.Random,
	}
}

// Run renews leases and fills seats until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	t := time.NewTicker(lease.RenewInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			k.Round(ctx)
		case s := <-k.offered:
			k.eager[s.Key()] = true
			k.Round(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Offer tells the keeper that the holder of a seat hands it over. The first of
// the other members tries to win it at once.
func (k *Keeper) Offer(s ledger.Seat, holder string) {
	for _, m := range s.Members {
		if strings.HasPrefix(holder, m+candidateMark) {
			continue
		}
		if m != k.roster.Self().ID {
			return
		}
		select {
		case k.offered <- s:
		default:
		}
		return
	}
}

// Round does once what Run does at each interval.
func (k *Keeper) Round(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving.Load() {
		return
	}
	state := k.states.State()
	seats := k.wanted(state.Seats())
	k.ask(ctx, seats)
	var proposed []ledger.Seat
	for _, s := range seats {
		if next, ok := k.renewMembers(ctx, s); ok {
			proposed = append(proposed, next)
		}
	}
	k.ask(ctx, k.awaitFold(ctx, proposed))
	k.fillVacant(ctx, state)
}

// renewMembers proposes other members for a seat that needs them.
func (k *Keeper) renewMembers(ctx context.Context, s ledger.Seat) (ledger.Seat, bool) {
	_, held := k.holder.Tenure(s, k.clock())
	switch {
	case held && k.needsMembers(s):
		return k.replaceMembers(ctx, s, "a member is gone or missing")
	case !held && k.members.IsClosed(s, k.clock().Add(-proposalRetry)):
		return k.replaceMembers(ctx, s, "the epoch was closed and has no successor")
	}
	return ledger.Seat{}, false
}

// awaitFold waits shortly for proposed seats to show in the log and returns
// those that do and have this node as a member, so that their holder asks for
// them again at once.
func (k *Keeper) awaitFold(ctx context.Context, proposed []ledger.Seat) []ledger.Seat {
	var folded []ledger.Seat
	until := k.clock().Add(foldPatience)
	for _, next := range proposed {
		for {
			s, _ := k.states.State().Seat(next.Service, next.Index)
			if s.Epoch >= next.Epoch {
				if slices.Contains(s.Members, k.roster.Self().ID) {
					folded = append(folded, s)
				}
				break
			}
			if !k.clock().Before(until) || ctx.Err() != nil {
				break
			}
			pause.For(ctx, foldPoll)
		}
	}
	return folded
}

// wanted returns the seats that this node holds or should try to win: the
// preferred member at once, the others one after another.
func (k *Keeper) wanted(all []ledger.Seat) []ledger.Seat {
	now := k.clock()
	self := k.roster.Self().ID
	var list []ledger.Seat
	for _, s := range all {
		place := slices.Index(s.Members, self)
		if place < 0 {
			continue
		}
		if k.eager[s.Key()] {
			delete(k.eager, s.Key())
			list = append(list, s)
			continue
		}
		_, held := k.holder.Tenure(s, now)
		if !held && now.Before(k.tryAt[s.Key()]) {
			continue
		}
		if held || k.members.IsFree(s, now.Add(-time.Duration(place)*yieldTime)) {
			list = append(list, s)
		}
	}
	return list
}

// ask asks each member once for all the seats that it is a member of.
func (k *Keeper) ask(ctx context.Context, seats []ledger.Seat) {
	asked := k.clock()
	byMember := map[string][]ledger.Seat{}
	for _, s := range seats {
		for _, m := range s.Members {
			byMember[m] = append(byMember[m], s)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	grants := newTally()
	var wg sync.WaitGroup
	for member, list := range byMember {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k.askMember(ctx, member, list, grants)
		}()
	}
	wg.Wait()
	now := k.clock()
	var lost []ledger.Seat
	for _, s := range seats {
		if k.holder.Won(s, grants.runs(s), asked, now) {
			continue
		}
		if _, held := k.holder.Tenure(s, now); !held {
			lost = append(lost, s)
		}
	}
	k.yield(ctx, lost)
}

// yield gives back the grants of seats that were not won, so that members who
// try together do not keep each other from a majority, and waits for a random
// time before it tries again.
func (k *Keeper) yield(ctx context.Context, lost []ledger.Seat) {
	for _, s := range lost {
		wait := time.Duration(k.random.Int64N(int64(maxBackOff)))
		k.tryAt[s.Key()] = k.clock().Add(wait)
	}
	k.release(ctx, lost, false)
}

// release gives the grants of seats back to all their members.
func (k *Keeper) release(ctx context.Context, seats []ledger.Seat, handOver bool) {
	byMember := map[string][]Ask{}
	for _, s := range seats {
		for _, m := range s.Members {
			byMember[m] = append(byMember[m], askOf(s))
		}
	}
	var wg sync.WaitGroup
	for member, list := range byMember {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := k.members.Release(ctx, member, k.candidate(), list, handOver); err != nil {
				k.logger.Debug("grants were not given back", "member", member, "error", err)
			}
		}()
	}
	wg.Wait()
}

func (k *Keeper) askMember(ctx context.Context, member string, list []ledger.Seat, grants *tally) {
	asks := make([]Ask, len(list))
	for i, s := range list {
		asks[i] = askOf(s)
	}
	runs, err := k.members.Grant(ctx, member, k.candidate(), asks)
	if err != nil {
		k.logger.Debug("member did not answer", "member", member, "error", err)
		return
	}
	for i, run := range runs {
		if run != lease.Refused && i < len(list) {
			grants.add(list[i], run)
		}
	}
}

// candidate names this process as a holder: a restarted one is another.
func (k *Keeper) candidate() string { return k.roster.Self().ID + candidateMark + k.incarnation }

// candidateMark stands between the node and the incarnation of a candidate.
const candidateMark = "@"

func askOf(s ledger.Seat) Ask { return Ask{Service: s.Service, Index: s.Index, Epoch: s.Epoch} }

// tally collects the runs of grants by seat.
type tally struct {
	mu     sync.Mutex
	grants map[string][]time.Duration
}

func newTally() *tally { return &tally{grants: map[string][]time.Duration{}} }

func (t *tally) add(s ledger.Seat, run time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grants[s.Key()] = append(t.grants[s.Key()], run)
}

func (t *tally) runs(s ledger.Seat) []time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grants[s.Key()]
}
