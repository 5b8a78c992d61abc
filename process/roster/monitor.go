package roster

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Monitor sends heartbeats to the nodes that follow this one on the ring and
// declares those gone that neither it nor a witness can reach.
type Monitor struct {
	roster *Roster
	caller Caller
	logger hclog.Logger
	missed map[string]int
}

// Timing of the monitor. A node that stops is declared gone within
// missedLimit+1 heartbeats.
const (
	heartbeatInterval = time.Second
	pingTimeout       = 700 * time.Millisecond
	missedLimit       = 3
	monitoredPeers    = 3
	witnessCount      = 2
)

// NewMonitor returns a monitor for the node that owns r.
func NewMonitor(r *Roster, c Caller, l hclog.Logger) *Monitor {
	return &Monitor{roster: r, caller: c, logger: l, missed: map[string]int{}}
}

// Run sends heartbeats until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			m.round(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (m *Monitor) round(ctx context.Context) {
	peers := m.peers()
	results := make(chan string, len(peers))
	for _, n := range peers {
		go func() {
			if m.ping(ctx, n) {
				results <- ""
				return
			}
			results <- n.ID
		}()
	}
	failed := map[string]bool{}
	for range peers {
		failed[<-results] = true
	}
	for _, n := range peers {
		m.judge(ctx, n, failed[n.ID])
	}
}

// peers are the successors in the own data centre, or anywhere while it has
// too few.
func (m *Monitor) peers() []Node {
	self := m.roster.Self()
	near := func(n Node) bool { return n.DataCentre == self.DataCentre }
	list := m.roster.Successors(self.ID, monitoredPeers, near)
	if len(list) > 0 {
		return list
	}
	return m.roster.Successors(self.ID, monitoredPeers, func(Node) bool { return true })
}

func (m *Monitor) judge(ctx context.Context, n Node, failed bool) {
	if !failed {
		delete(m.missed, n.ID)
		return
	}
	m.missed[n.ID]++
	if m.missed[n.ID] < missedLimit {
		return
	}
	if witness, ok := m.findWitness(ctx, n); ok {
		m.logger.Warn("path fault: a witness reaches the node", "node", n.ID, "witness", witness)
		m.missed[n.ID] = 0
		return
	}
	delete(m.missed, n.ID)
	m.logger.Warn("node is gone", "node", n.ID, "missed_heartbeats", missedLimit)
	m.roster.DeclareGone(n)
}

// ping reports whether the process that n describes answers.
func (m *Monitor) ping(ctx context.Context, n Node) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var pong PingReply
	err := m.caller.Call(ctx, n.ID, "Roster.Ping", PingArgs{Target: n.ID}, &pong)
	return err == nil && pong.Incarnation == n.Incarnation
}

// findWitness asks other nodes and returns the first that reaches n.
func (m *Monitor) findWitness(ctx context.Context, n Node) (string, bool) {
	self := m.roster.Self()
	others := m.roster.Successors(n.ID, witnessCount, func(o Node) bool { return o.ID != self.ID })
	for _, o := range others {
		call, cancel := context.WithTimeout(ctx, 2*pingTimeout)
		var reply WitnessReply
		err := m.caller.Call(call, o.ID, "Roster.Witness", WitnessArgs{Target: n.ID}, &reply)
		cancel()
		if err == nil && reply.Reached {
			return o.ID, true
		}
	}
	return "", false
}
