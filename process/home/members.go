package home

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cuminwheel/cuminwheel/process/lease"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/google/uuid"
)

// HandOver gives up the seats that this process holds, before it leaves. The
// other members win them and replace this one.
func (k *Keeper) HandOver(ctx context.Context) {
	k.leaving.Store(true)
	k.mu.Lock()
	defer k.mu.Unlock()
	var seats []ledger.Seat
	for _, s := range k.states.State().Seats() {
		if _, held := k.holder.Tenure(s, k.clock()); held {
			k.holder.Stop(s, k.clock())
			seats = append(seats, s)
		}
	}
	k.release(ctx, seats, true)
}

// needsMembers reports whether a member of the seat is gone or missing.
func (k *Keeper) needsMembers(s ledger.Seat) bool {
	if slices.ContainsFunc(s.Members, k.isGone) {
		return true
	}
	return len(s.Members) < wantedMembers && len(k.pickMembers(s)) > len(s.Members)
}

func (k *Keeper) isGone(node string) bool {
	n, ok := k.roster.Node(node)
	return !ok || n.Status != roster.StatusAlive
}

// replaceMembers closes the seat's epoch at a majority and puts the next epoch
// into the log once no lease of the present one is live. It begins only while
// the log answers, since a closed seat serves nobody.
//
// A holder whose own lease is live when the majority has closed knows that
// nobody else's is, and stops its own. Any other node comes back when the
// grants of those who closed are over.
func (k *Keeper) replaceMembers(ctx context.Context, s ledger.Seat, reason string) (ledger.Seat, bool) {
	next := s
	next.Epoch++
	next.Members = k.pickMembers(s)
	if len(next.Members) == 0 || !k.mayPropose(next) || k.log.Ping(ctx) != nil {
		return next, false
	}
	over, closed := k.closeEpoch(ctx, s)
	if closed < lease.Majority(s) {
		return next, false
	}
	now := k.clock()
	_, isHolder := k.holder.Tenure(s, now)
	if !isHolder && now.Before(over) {
		return next, false
	}
	k.holder.Stop(s, now)
	k.propose(ctx, next, reason)
	return next, true
}

// closeEpoch returns how many members closed the epoch and when the last of
// their grants is over.
func (k *Keeper) closeEpoch(ctx context.Context, s ledger.Seat) (over time.Time, closed int) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	over = k.clock()
	for _, m := range s.Members {
		rest, err := k.members.Close(ctx, m, k.candidate(), askOf(s))
		if err != nil {
			continue
		}
		closed++
		if end := k.clock().Add(rest); end.After(over) {
			over = end
		}
	}
	return over, closed
}

// fillVacant proposes the first members of seats that have none. The node that
// the hash prefers does so; the first in the log wins if views differ.
func (k *Keeper) fillVacant(ctx context.Context, state ledger.State) {
	self := k.roster.Self().ID
	for _, service := range state.Configuration.Services() {
		if !service.HasNeverRepeat() {
			continue
		}
		for i := range service.ClaimSeats {
			if _, taken := state.Seat(service.Name, i); taken {
				continue
			}
			next := ledger.Seat{Service: service.Name, Index: i, Epoch: 1}
			next.Members = k.pickMembers(next)
			if len(next.Members) > 0 && next.Members[0] == self && k.mayPropose(next) {
				k.propose(ctx, next, "the seat is vacant")
			}
		}
	}
}

func (k *Keeper) mayPropose(next ledger.Seat) bool {
	last := k.proposals[next.Key()]
	return last.epoch != next.Epoch || !k.clock().Before(last.retryAt)
}

func (k *Keeper) propose(ctx context.Context, next ledger.Seat, reason string) {
	k.proposals[next.Key()] = proposal{epoch: next.Epoch, retryAt: k.clock().Add(proposalRetry)}
	r := ledger.Record{ID: uuid.NewString(), Kind: ledger.KindSeat, Author: k.roster.Self().ID, Seat: &next}
	raw, err := r.Encode()
	if err != nil {
		k.logger.Error("seat record cannot be encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = k.log.Append(ctx, raw)
	k.logger.Info("members are proposed", "seat", next.Key(), "epoch", next.Epoch, "members", next.Members,
		"reason", reason, "error", err)
}

// pickMembers returns the preferred holder, which has targets of the service,
// and further nodes in other data centres and regions, so that one failure
// takes one member. Members that are still there stay.
func (k *Keeper) pickMembers(s ledger.Seat) []string {
	nodes := k.candidates(s)
	first := slices.IndexFunc(nodes, func(n roster.Node) bool { return n.Serves(s.Service) })
	if first < 0 {
		return nil
	}
	chosen := []roster.Node{nodes[first]}
	for len(chosen) < wantedMembers {
		next, ok := mostDistant(nodes, chosen)
		if !ok {
			break
		}
		chosen = append(chosen, next)
	}
	ids := make([]string, len(chosen))
	for i, n := range chosen {
		ids[i] = n.ID
	}
	return ids
}

// candidates returns the living nodes, present members first, the others in
// the order of their hash with the seat (rendezvous hashing).
func (k *Keeper) candidates(s ledger.Seat) []roster.Node {
	self := k.roster.Self().ID
	var list []roster.Node
	for _, n := range k.roster.Nodes() {
		if n.Status == roster.StatusAlive && !(k.leaving.Load() && n.ID == self) {
			list = append(list, n)
		}
	}
	hash := func(n roster.Node) uint64 { return xxhash.Sum64String(s.Key() + "/" + n.ID) }
	slices.SortFunc(list, func(a, b roster.Node) int {
		x, y := slices.Contains(s.Members, a.ID), slices.Contains(s.Members, b.ID)
		switch {
		case x && !y:
			return -1
		case y && !x:
			return 1
		case hash(a) < hash(b):
			return -1
		}
		return 1
	})
	return list
}

// mostDistant returns the first node that shares least with those chosen.
func mostDistant(nodes, chosen []roster.Node) (roster.Node, bool) {
	best, bestShared := roster.Node{}, 0
	for _, n := range nodes {
		shared, taken := 0, false
		for _, c := range chosen {
			taken = taken || c.ID == n.ID
			shared += sharedPlaces(n, c)
		}
		if !taken && (best.ID == "" || shared < bestShared) {
			best, bestShared = n, shared
		}
	}
	return best, best.ID != ""
}

func sharedPlaces(a, b roster.Node) int {
	switch {
	case a.Region != b.Region:
		return 0
	case a.DataCentre != b.DataCentre:
		return 1
	}
	return 3
}
