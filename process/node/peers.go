package node

import (
	"context"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/link"
	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/lease"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/version/ledger"
)

// siblings asks the gates of a service over the links between nodes.
type siblings struct {
	roster *roster.Roster
	pool   *link.Pool
}

// Ask calls reply once for each gate that answers.
func (s siblings) Ask(ctx context.Context, service string, promise bool, reply func(gate.Vouch)) {
	self := s.roster.Self().ID
	var wg sync.WaitGroup
	for _, n := range s.roster.Nodes() {
		if n.ID == self || n.Status != roster.StatusAlive || !n.Serves(service) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			var v gate.Vouch
			args := VouchArgs{Service: service, Promise: promise}
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
	// Promise asks that the healthy targets stay in service for floor.Term.
	Promise bool `codec:"promise"`
}

// gateService answers under the name Gate.
type gateService struct {
	gate *gate.Gate
}

// Vouch says how this node's targets of a service are.
func (s *gateService) Vouch(args VouchArgs, reply *gate.Vouch) error {
	*reply = s.gate.Vouch(args.Service, args.Promise)
	return nil
}

// RenewArgs asks a guardian to renew the leases of seats.
type RenewArgs struct {
	Seats []ledger.Seat `codec:"seats"`
}

// RenewReply says, in the same order, which leases were renewed.
type RenewReply struct {
	Granted []bool `codec:"granted"`
}

// leaseService answers under the name Lease.
type leaseService struct {
	clock    func() time.Time
	journal  *ledger.Journal
	guardian *lease.Guardian
}

// Renew renews leases.
func (s *leaseService) Renew(args RenewArgs, reply *RenewReply) error {
	state := s.journal.State()
	now := s.clock()
	for _, asked := range args.Seats {
		seat, _ := state.Seat(asked.Service, asked.Index)
		reply.Granted = append(reply.Granted, s.guardian.Grant(seat, asked, now))
	}
	return nil
}

// leasePeers calls guardians over the links between nodes.
type leasePeers struct {
	pool *link.Pool
}

// Renew asks the guardian to renew the leases of seats.
func (p leasePeers) Renew(ctx context.Context, guardian string, seats []ledger.Seat) ([]bool, error) {
	var reply RenewReply
	err := p.pool.Call(ctx, guardian, "Lease.Renew", RenewArgs{Seats: seats}, &reply)
	return reply.Granted, err
}
