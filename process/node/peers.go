package node

import (
	"context"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/link"
	"github.com/cuminwheel/cuminwheel/process/floor"
	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/home"
	"github.com/cuminwheel/cuminwheel/process/lease"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/go-faster/errors"
)

// siblings asks the gates of a service over the links between nodes.
type siblings struct {
	roster *roster.Roster
	pool   *link.Pool
}

// Ask calls reply once for each gate that answers.
func (s siblings) Ask(ctx context.Context, service string, reply func(floor.Vouch)) {
	self := s.roster.Self().ID
	var wg sync.WaitGroup
	for _, n := range s.roster.Nodes() {
		if n.ID == self || n.Status != roster.StatusAlive || !n.Serves(service) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			var v floor.Vouch
			args := VouchArgs{Service: service}
			if err := s.pool.Call(ctx, n.ID, "Gate.Vouch", args, &v); err == nil {
				reply(v)
			}
		}()
	}
	wg.Wait()
}

// VouchArgs asks a gate for its healthy targets of a service.
type VouchArgs struct {
	Service string `codec:"service"`
}

// gateService answers under the name Gate.
type gateService struct {
	gate *gate.Gate
}

// Vouch says how this node's targets of a service are.
func (s *gateService) Vouch(args VouchArgs, reply *floor.Vouch) error {
	*reply = s.gate.Vouch(args.Service)
	return nil
}

// GrantArgs asks a member for leases of seats.
type GrantArgs struct {
	Candidate string     `codec:"candidate"`
	Seats     []home.Ask `codec:"seats"`
	// HandOver, in a release, offers the seats to the other members.
	HandOver bool `codec:"hand_over"`
}

// GrantReply carries, in the same order, the run of each grant in ms, or a
// negative number for one that was refused.
type GrantReply struct {
	RunMillis []int64 `codec:"run_ms"`
}

// CloseArgs asks a member to grant no more under a seat's epoch.
type CloseArgs struct {
	Candidate string   `codec:"candidate"`
	Seat      home.Ask `codec:"seat"`
}

// CloseReply says how long the last grant still lasts, in ms rounded up.
type CloseReply struct {
	RestMillis int64 `codec:"rest_ms"`
}

// Empty is the reply of calls that return nothing.
type Empty struct{}

// leaseService answers under the name Lease.
type leaseService struct {
	clock   func() time.Time
	journal *ledger.Journal
	granter *lease.Granter
	keeper  *home.Keeper
}

// Grant grants leases.
func (s *leaseService) Grant(args GrantArgs, reply *GrantReply) error {
	state := s.journal.State()
	now := s.clock()
	for _, a := range args.Seats {
		seat, _ := state.Seat(a.Service, a.Index)
		run := s.granter.Grant(seat, a.Epoch, args.Candidate, now)
		reply.RunMillis = append(reply.RunMillis, runMillis(run))
	}
	return nil
}

const refusedMillis = -1

func runMillis(run time.Duration) int64 {
	if run == lease.Refused {
		return refusedMillis
	}
	return run.Milliseconds()
}

var errOtherEpoch = errors.New("the seat has another epoch here")

// Close grants no more under a seat's epoch.
func (s *leaseService) Close(args CloseArgs, reply *CloseReply) error {
	seat, _ := s.journal.State().Seat(args.Seat.Service, args.Seat.Index)
	if seat.Epoch != args.Seat.Epoch {
		return errOtherEpoch
	}
	now := s.clock()
	over := s.granter.Close(seat, args.Candidate, now)
	reply.RestMillis = max(0, over.Sub(now).Milliseconds()+1)
	return nil
}

// Release takes grants back.
func (s *leaseService) Release(args GrantArgs, _ *Empty) error {
	state := s.journal.State()
	now := s.clock()
	for _, a := range args.Seats {
		seat, _ := state.Seat(a.Service, a.Index)
		s.granter.Release(seat, args.Candidate, now)
		if args.HandOver {
			s.keeper.Offer(seat, args.Candidate)
		}
	}
	return nil
}

// members asks the members of seats over the links between nodes.
type members struct {
	pool    *link.Pool
	granter *lease.Granter
}

// Grant asks a member to grant the seats to candidate.
func (m members) Grant(ctx context.Context, member, candidate string, seats []home.Ask) ([]time.Duration, error) {
	var reply GrantReply
	err := m.pool.Call(ctx, member, "Lease.Grant", GrantArgs{Candidate: candidate, Seats: seats}, &reply)
	runs := make([]time.Duration, len(reply.RunMillis))
	for i, ms := range reply.RunMillis {
		runs[i] = time.Duration(ms) * time.Millisecond
		if ms < 0 {
			runs[i] = lease.Refused
		}
	}
	return runs, err
}

// Close asks a member to grant no more under a seat's epoch.
func (m members) Close(ctx context.Context, member, candidate string, seat home.Ask) (time.Duration, error) {
	var reply CloseReply
	err := m.pool.Call(ctx, member, "Lease.Close", CloseArgs{Candidate: candidate, Seat: seat}, &reply)
	return time.Duration(reply.RestMillis) * time.Millisecond, err
}

// Release gives a member's grants back.
func (m members) Release(ctx context.Context, member, candidate string, seats []home.Ask, handOver bool) error {
	args := GrantArgs{Candidate: candidate, Seats: seats, HandOver: handOver}
	return m.pool.Call(ctx, member, "Lease.Release", args, &Empty{})
}

// IsFree reports whether the own node's last grant was over before a time.
func (m members) IsFree(s ledger.Seat, before time.Time) bool {
	return m.granter.FreeSince(s).Before(before)
}

// IsClosed reports whether the own node closed the seat's epoch before a time.
func (m members) IsClosed(s ledger.Seat, before time.Time) bool {
	return m.granter.IsClosed(s, before)
}
