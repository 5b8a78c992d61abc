package node

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/connection/peerrpc"
	"github.com/cuminwheel/cuminwheel/process/entry"
	"github.com/cuminwheel/cuminwheel/process/follower"
	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/process/settings"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
)

// Headers reads and writes the headers of callers' requests and targets'
// answers.
type Headers interface {
	entry.Headers
	gate.Headers
}

// Registry is where nodes find each other.
type Registry interface {
	Join(ctx context.Context, r membership.Record) error
	Leave(ctx context.Context, r membership.Record) error
	Nodes(ctx context.Context) (records []membership.Record, malformed int, err error)
}

// Platform are what a node meets outside the fleet.
type Platform struct {
	Headers             Headers
	DecodeConfiguration follower.Decode
	ConfigurationSource follower.Source
	Registry            Registry
	// NewAnnouncementHandler returns the handler of what the target says of itself.
	NewAnnouncementHandler func(*gate.Gate, hclog.Logger) http.Handler
	// ReadyPath is where the node is asked whether it takes callers.
	ReadyPath string
	// AnnouncementPath is where the target calls.
	AnnouncementPath string
}

// Node is a running node.
type Node struct {
	settings settings.Settings
	logger   hclog.Logger
	meter    *meter
	platform Platform

	current *follower.Current
	roster  *membership.View
	spread  *membership.Gossiper
	gate    *gate.Gate

	callers *http1.Listener
	entries *http1.Listener

	started time.Time
	// met means that the records of the other nodes have been read.
	met     atomic.Bool
	leaving atomic.Bool
	// deadline is when a leaving node must have ended.
	deadline atomic.Pointer[time.Time]
	// cleanups run in reverse order when the node ends.
	cleanups []func()
	tasks    sync.WaitGroup
	cancel   context.CancelFunc
}

// Start starts a node. The returned function makes it leave: it refuses new
// work at the gate, serves what callers have sent, and ends within the grace time,
// or at once when its context ends.
func Start(s settings.Settings, platform Platform, logger hclog.Logger) (*Node, func(context.Context), error) {
	n := &Node{settings: s, logger: logger, platform: platform, meter: newMeter(), started: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.start(ctx); err != nil {
		n.stop()
		return nil, nil, err
	}
	logger.Info("node started", "entry", s.Entry, "gate", s.Gate, "control", s.Control, "service", s.Service,
		"target", s.Target, "data_centre", s.DataCentre, "store", s.Store)
	return n, n.leave, nil
}

func (n *Node) start(ctx context.Context) error {
	s := n.settings
	n.current = follower.NewCurrent(n.platform.DecodeConfiguration, n.logger.Named("configuration"))
	n.roster = membership.NewView(membership.Record{
		ControlAddress: cmp.Or(s.ReachedControl, s.Control), GateAddress: cmp.Or(s.ReachedGate, s.Gate), Service: s.Service, DataCentre: s.DataCentre, Region: s.Region,
		Incarnation: time.Now().UnixMilli(),
	})
	pool, closePool := peerrpc.NewPool()
	n.cleanups = append(n.cleanups, closePool)
	n.spread = membership.NewGossiper(n.roster, n.current, pool, n.logger.Named("roster"))

	g, closeGate := gate.New(gate.Options{
		Service: s.Service, Address: s.Target, Headers: n.platform.Headers, Logger: n.logger.Named("gate"),
		Meter: n.meter, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
		GateCount: n.gatesOfOwnService, ShutdownDeadline: n.endsAt,
	})
	n.gate = g
	n.cleanups = append(n.cleanups, closeGate)
	e, closeEntry := entry.New(entry.Options{
		Service: s.Service, DataCentre: s.DataCentre, Region: s.Region, Nodes: n.roster, Configurations: n.current,
		Headers: n.platform.Headers, Logger: n.logger.Named("entry"), Meter: n.meter, EndsAt: n.endsAt,
	})
	n.cleanups = append(n.cleanups, closeEntry)
	if err := n.listen(e); err != nil {
		return err
	}
	n.run(func() {
		follower.New(n.platform.ConfigurationSource, n.current, n.logger.Named("configuration")).Run(ctx)
	})
	n.run(func() { n.spread.Run(ctx) })
	n.run(func() { n.meet(ctx) })
	return nil
}

// listen opens the node's addresses, that for callers last.
func (n *Node) listen(e *entry.Entry) error {
	s := n.settings
	control, err := net.Listen("tcp", s.Control)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.Control)
	}
	closeControl, err := peerrpc.Serve(control, map[string]any{membership.ReceiverName: membership.NewReceiver(n.spread)})
	if err != nil {
		control.Close()
		return err
	}
	n.cleanups = append(n.cleanups, closeControl)
	n.meter.observe(n)
	for _, h := range []struct {
		address string
		handler http.Handler
	}{{s.Ready, n.readiness()}, {s.Admin, n.admin()}, {s.Metrics, n.metrics()}} {
		closeServer, err := serveHTTP(h.address, h.handler)
		if err != nil {
			return err
		}
		n.cleanups = append(n.cleanups, closeServer)
	}
	var closeEntries, closeCallers func()
	n.entries, closeEntries, err = http1.Listen(s.Gate, n.gate.Serve, n.gateLimits, n.logger.Named("gate"))
	if err != nil {
		return err
	}
	n.cleanups = append(n.cleanups, closeEntries)
	n.callers, closeCallers, err = http1.Listen(s.Entry, e.Serve, n.callerLimits, n.logger.Named("entry"))
	if err != nil {
		return err
	}
	n.cleanups = append(n.cleanups, closeCallers)
	return nil
}

func (n *Node) run(f func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		f()
	}()
}

func (n *Node) callerLimits() http1.Limits {
	l := n.current.Configuration().Limits()
	return http1.Limits{MaxHeaderBytes: l.HeadBytes, MaxBodyBytes: l.BodyBytes, HeaderTimeout: l.HeadTimeout, IdleTimeout: l.IdleTimeout}
}

const (
	// hopHeadBytes is what the nodes add to a request's head at most.
	hopHeadBytes = 4 << 10
	// hopIdleTimeout is above what an entry keeps an idle connection for.
	hopIdleTimeout = 20 * time.Second
)

func (n *Node) gateLimits() http1.Limits {
	l := n.callerLimits()
	l.MaxHeaderBytes += hopHeadBytes
	l.IdleTimeout = hopIdleTimeout
	return l
}

func (n *Node) gatesOfOwnService() int {
	count := 0
	for _, r := range n.roster.Nodes() {
		if r.Service == n.settings.Service {
			count++
		}
	}
	return count
}

// stop ends all that runs.
func (n *Node) stop() {
	n.cancel()
	for i := len(n.cleanups) - 1; i >= 0; i-- {
		n.cleanups[i]()
	}
	n.tasks.Wait()
}
