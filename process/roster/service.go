package roster

import (
	"context"

	"github.com/go-faster/errors"
)

// Service answers the calls of peers under the name Roster.
type Service struct {
	roster *Roster
	caller Caller
}

// NewService returns the answering side of the roster.
func NewService(r *Roster, c Caller) *Service {
	return &Service{roster: r, caller: c}
}

// ExchangeArgs carries changed records.
type ExchangeArgs struct {
	Rumours []Node `codec:"rumours"`
	Digest  uint64 `codec:"digest"`
}

// ExchangeReply carries the digest after the exchange.
type ExchangeReply struct {
	Digest uint64 `codec:"digest"`
}

// SyncArgs carries the digests of the caller's buckets.
type SyncArgs struct {
	Buckets []uint64 `codec:"buckets"`
}

// SyncReply carries the records of the buckets that differ.
type SyncReply struct {
	Buckets []uint64 `codec:"buckets"`
	Nodes   []Node   `codec:"nodes"`
}

// PingArgs asks whether a node is there.
type PingArgs struct {
	// Target is the node meant; another node at its address is not it.
	Target string `codec:"target"`
}

// PingReply says which process answered.
type PingReply struct {
	Incarnation int64 `codec:"incarnation"`
}

// WitnessArgs asks a third node to ping a target.
type WitnessArgs struct {
	Target string `codec:"target"`
}

// WitnessReply says whether the target answered the third node.
type WitnessReply struct {
	Reached bool `codec:"reached"`
}

var errNotMe = errors.New("this node has another address")

// Exchange takes in records.
func (s *Service) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	s.roster.Merge(args.Rumours)
	reply.Digest = s.roster.Digest()
	return nil
}

// Sync returns the records that the caller may lack.
func (s *Service) Sync(args SyncArgs, reply *SyncReply) error {
	reply.Buckets = s.roster.Buckets()
	reply.Nodes = s.roster.Differing(args.Buckets)
	return nil
}

// Ping answers a heartbeat.
func (s *Service) Ping(args PingArgs, reply *PingReply) error {
	self := s.roster.Self()
	if args.Target != self.ID {
		return errNotMe
	}
	reply.Incarnation = self.Incarnation
	return nil
}

// Witness pings a target for a node that cannot reach it.
func (s *Service) Witness(args WitnessArgs, reply *WitnessReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	var pong PingReply
	err := s.caller.Call(ctx, args.Target, "Roster.Ping", PingArgs(args), &pong)
	reply.Reached = err == nil
	return nil
}
