package home

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cuminwheel/cuminwheel/process/lease"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/request/claim"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
)

// Keeper keeps the seats of the services that this node serves filled.
type Keeper struct {
	clock    func() time.Time
	logger   hclog.Logger
	bound    time.Duration
	states   States
	roster   *roster.Roster
	holder   *lease.Holder
	guardian *lease.Guardian
	log      Log
	peers    Peers
	proposed map[string]proposal
	leaving  bool
}

// Log takes records. An error leaves open whether the record stands.
type Log interface {
	Append(ctx context.Context, raw []byte) (int64, error)
}

// Peers asks a guardian to renew leases.
type Peers interface {
	Renew(ctx context.Context, guardian string, seats []ledger.Seat) ([]bool, error)
}

// KeeperOptions are what a Keeper needs. All fields must be set.
type KeeperOptions struct {
	Clock    func() time.Time
	Logger   hclog.Logger
	Bound    time.Duration
	States   States
	Roster   *roster.Roster
	Holder   *lease.Holder
	Guardian *lease.Guardian
	Log      Log
	Peers    Peers
}

// proposal is a record that has been appended and perhaps not been folded yet.
type proposal struct {
	epoch   int64
	retryAt time.Time
}

// Timing of the keeper.
const (
	appendTimeout = 3 * time.Second
	renewTimeout  = 700 * time.Millisecond
	// proposalRetry is the pause before a proposal that does not show in the
	// log is appended again. It is the same epoch, so at most one counts.
	proposalRetry = 4 * time.Second
)

// NewKeeper returns a keeper.
func NewKeeper(o KeeperOptions) *Keeper {
	return &Keeper{
		clock:    o.Clock,
		logger:   o.Logger,
		bound:    o.Bound,
		states:   o.States,
		roster:   o.Roster,
		holder:   o.Holder,
		guardian: o.Guardian,
		log:      o.Log,
		peers:    o.Peers,
		proposed: map[string]proposal{},
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
		case <-ctx.Done():
			return
		}
	}
}

// Round does once what Run does at each interval.
func (k *Keeper) Round(ctx context.Context) {
	seats := k.states.State().Seats()
	k.renew(ctx, seats)
	for _, s := range seats {
		k.tend(ctx, s)
	}
	k.fillVacant(ctx)
}

// HandOver gives up all seats that this process holds, before it leaves.
func (k *Keeper) HandOver(ctx context.Context) {
	k.leaving = true
	for _, s := range k.states.State().Seats() {
		if k.holder.Holds(s) {
			k.replaceSelf(ctx, s)
		}
	}
}

// renew asks each guardian once for all the seats that it guards.
func (k *Keeper) renew(ctx context.Context, seats []ledger.Seat) {
	byGuardian := map[string][]ledger.Seat{}
	for _, s := range seats {
		if k.holder.Holds(s) {
			byGuardian[s.Guardian] = append(byGuardian[s.Guardian], s)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	done := make(chan struct{}, len(byGuardian))
	for guardian, list := range byGuardian {
		go func() {
			defer func() { done <- struct{}{} }()
			asked := k.clock()
			granted, err := k.peers.Renew(ctx, guardian, list)
			if err != nil {
				k.logger.Debug("lease was not renewed", "guardian", guardian, "error", err)
				return
			}
			for i, ok := range granted {
				if ok && i < len(list) {
					k.holder.Renewed(list[i], asked)
				}
			}
		}()
	}
	for range byGuardian {
		<-done
	}
}

// tend looks after one seat that this node holds or guards.
func (k *Keeper) tend(ctx context.Context, s ledger.Seat) {
	now := k.clock()
	self := k.roster.Self().ID
	switch {
	case k.leaving:
	case k.holder.Holds(s):
		if k.isGone(s.Guardian) && now.After(k.holder.Until(s)) {
			k.replaceGuardian(ctx, s)
		}
	case s.Holder == self:
		// An earlier process of this node held the seat. It has ended, since
		// this one has taken its address.
		k.replaceHolder(ctx, s, now)
	case k.guardian.Guards(s) && k.guardian.IsQuiet(s, now):
		over := k.guardian.Close(s)
		if !now.Before(over) {
			k.replaceHolder(ctx, s, over)
		}
	}
}

func (k *Keeper) isGone(node string) bool {
	n, ok := k.roster.Node(node)
	return !ok || n.Status != roster.StatusAlive
}

// replaceGuardian keeps the seat at this process, which remembers its keys.
func (k *Keeper) replaceGuardian(ctx context.Context, s ledger.Seat) {
	k.holder.Stop(s)
	next := s
	next.Epoch++
	next.Guardian = k.pickGuardian(s, s.Holder)
	k.propose(ctx, next, "the guardian is gone")
}

// replaceSelf hands a seat of this process to another node.
func (k *Keeper) replaceSelf(ctx context.Context, s ledger.Seat) {
	k.holder.Stop(s)
	next := k.successor(s, k.clock())
	k.propose(ctx, next, "the holder leaves")
}

// replaceHolder gives the seat a new holder after the earlier one's lease was
// over at the given time.
func (k *Keeper) replaceHolder(ctx context.Context, s ledger.Seat, over time.Time) {
	k.propose(ctx, k.successor(s, over), "the holder is gone")
}

func (k *Keeper) successor(s ledger.Seat, over time.Time) ledger.Seat {
	next := s
	next.Epoch++
	next.FromMillis = claim.FirstKeyAfter(over, k.bound).UnixMilli()
	holder, ok := k.pickHolder(s)
	if !ok {
		return ledger.Seat{}
	}
	next.Holder = holder.ID
	next.HolderIncarnation = holder.Incarnation
	next.Guardian = k.pickGuardian(s, holder.ID)
	return next
}

// fillVacant proposes the first epoch of seats that have none. The node that
// the hash prefers does so; first in the log wins if views differ.
func (k *Keeper) fillVacant(ctx context.Context) {
	if k.leaving {
		return
	}
	state := k.states.State()
	for _, service := range state.Configuration.Services() {
		if !service.HasNeverRepeat() {
			continue
		}
		for i := range service.ClaimSeats {
			if _, taken := state.Seat(service.Name, i); taken {
				continue
			}
			k.fill(ctx, ledger.Seat{Service: service.Name, Index: i})
		}
	}
}

func (k *Keeper) fill(ctx context.Context, vacant ledger.Seat) {
	holder, ok := k.pickHolder(vacant)
	if !ok || holder.ID != k.roster.Self().ID {
		return
	}
	k.propose(ctx, k.successor(vacant, k.clock()), "the seat is vacant")
}

func (k *Keeper) propose(ctx context.Context, next ledger.Seat, reason string) {
	now := k.clock()
	last := k.proposed[next.Key()]
	if next.Guardian == "" || last.epoch == next.Epoch && now.Before(last.retryAt) {
		return
	}
	k.proposed[next.Key()] = proposal{epoch: next.Epoch, retryAt: now.Add(proposalRetry)}
	r := ledger.Record{ID: uuid.NewString(), Kind: ledger.KindSeat, Author: k.roster.Self().ID, Seat: &next}
	raw, err := r.Encode()
	if err != nil {
		k.logger.Error("seat record cannot be encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = k.log.Append(ctx, raw)
	k.logger.Info("seat is proposed", "seat", next.Key(), "epoch", next.Epoch, "holder", next.Holder,
		"guardian", next.Guardian, "reason", reason, "error", err)
}

// pickHolder returns the living node with targets of the service that the
// hash of the seat prefers.
func (k *Keeper) pickHolder(s ledger.Seat) (roster.Node, bool) {
	return k.prefer(s.Key(), func(n roster.Node) bool { return n.Serves(s.Service) })
}

// pickGuardian prefers a node of another data centre, so that one failure does
// not take both.
func (k *Keeper) pickGuardian(s ledger.Seat, holder string) string {
	h, _ := k.roster.Node(holder)
	elsewhere := func(n roster.Node) bool {
		return n.ID != holder && n.Region == h.Region && n.DataCentre != h.DataCentre
	}
	another := func(n roster.Node) bool { return n.ID != holder }
	for _, accept := range []func(roster.Node) bool{elsewhere, another} {
		if n, ok := k.prefer("guardian/"+holder, accept); ok {
			return n.ID
		}
	}
	return ""
}

// prefer returns the living node with the highest hash together with key
// (rendezvous hashing).
func (k *Keeper) prefer(key string, accept func(roster.Node) bool) (roster.Node, bool) {
	var best roster.Node
	var bestHash uint64
	for _, n := range k.roster.Nodes() {
		if n.Status != roster.StatusAlive || !accept(n) {
			continue
		}
		if k.leaving && n.ID == k.roster.Self().ID {
			continue
		}
		h := xxhash.Sum64String(key + "/" + n.ID)
		if best.ID == "" || h > bestHash {
			best, bestHash = n, h
		}
	}
	return best, best.ID != ""
}
