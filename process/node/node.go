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
	"github.com/cuminwheel/cuminwheel/process/contact"
	"github.com/cuminwheel/cuminwheel/process/entry"
	"github.com/cuminwheel/cuminwheel/process/follower"
	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/cuminwheel/cuminwheel/process/quota"
	"github.com/cuminwheel/cuminwheel/process/settings"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
)

// Headers reads and writes the headers of callers' requests and targets'
// responses.
type Headers interface {
	entry.Headers
	gate.Headers
}

// Registry stores the records of nodes, so that starting nodes discover each
// other.
type Registry interface {
	// Join writes a node's record.
	Join(ctx context.Context, r membership.Record) error
	// Leave removes a node's record.
	Leave(ctx context.Context, r membership.Record) error
	// Nodes returns the valid records, and an error for each of the others.
	Nodes(ctx context.Context) (records []membership.Record, invalid []error, err error)
	// JoinContacts writes a node's record among the contacts: a few nodes whose records are
	// kept once more, apart from those of all nodes.
	JoinContacts(ctx context.Context, r membership.Record) error
	// LeaveContacts removes a node's record from the contacts.
	LeaveContacts(ctx context.Context, r membership.Record) error
	// Contacts returns the records of the contacts, the latest first.
	Contacts(ctx context.Context) ([]membership.Record, error)
	// Reverted returns a channel that is closed when the registry next loses what
	// was written in the last seconds.
	Reverted() <-chan struct{}
}

// AnnouncementReceiver handles the calls of the target beside a node. Errors are those of
// the gate, and gate.ErrNotHeld.
type AnnouncementReceiver interface {
	Announce(gate.Announcement) error
	Deregister(gate.Deregistration) error
}

// Platform holds what a node needs from the platform that it runs on.
type Platform struct {
	Headers             Headers
	DecodeConfiguration follower.DecodeFunc
	ConfigurationSource follower.Source
	Registry            Registry
	// NewAnnouncementHandler returns the handler of the target's announcements.
	NewAnnouncementHandler func(AnnouncementReceiver, hclog.Logger) http.Handler
	// ReadyPath is the path of the platform's readiness checks.
	ReadyPath string
	// AnnouncementPath is the path that the target sends its announcements to.
	AnnouncementPath string
}

// Node is a running node.
type Node struct {
	settings settings.Settings
	logger   hclog.Logger
	meter    *meter
	platform Platform

	configuration *follower.Current
	// follower reads configurations from the store.
	follower *follower.Follower
	view     *membership.View
	gossiper *membership.Gossiper
	gate     *gate.Gate
	target   *target
	entry    *entry.Entry
	// quarantine holds the requests that crash targets.
	quarantine *quarantine.Table
	// contacts knows whether the node is isolated.
	contacts contact.Tracker
	// quotas grants tokens of the customers whose home the node is.
	quotas *quota.Home
	// bodies is the budget for all bodies that the entry and the gate hold.
	bodies *http1.BodyBudget

	// entryListener accepts callers, gateListener the entries of all nodes.
	entryListener *http1.Listener
	gateListener  *http1.Listener

	startedAt time.Time
	// probers are the control addresses of nodes that query the state of the gate while it
	// recovers.
	probers chan string
	// hasReadNodes means that the records of the other nodes have been read from
	// the store.
	hasReadNodes atomic.Bool
	// wasRegistered means that the store has had a record of this node.
	wasRegistered atomic.Bool
	isLeaving     atomic.Bool
	// isContact means that the node has written its record among the contacts.
	isContact atomic.Bool
	// deadline is when a leaving node must have stopped; nil if it is not leaving.
	deadline atomic.Pointer[time.Time]
	// cleanups run in reverse order when the node stops.
	cleanups []func()
	tasks    sync.WaitGroup
	cancel   context.CancelFunc
}

// Start starts a node. The returned function makes it leave: it serves the
// requests that callers have sent, lets the gate admit only requests that can
// finish in time and later none, and returns when the node has stopped, within
// the grace period or at once when its context ends.
func Start(s settings.Settings, platform Platform, logger hclog.Logger) (*Node, func(context.Context), error) {
	n := &Node{settings: s, logger: logger, platform: platform, meter: newMeter(), startedAt: time.Now(), probers: make(chan string, maxProbers)}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.start(ctx); err != nil {
		n.close()
		return nil, nil, err
	}
	logger.Info("node started", "entry", s.Entry, "gate", s.Gate, "control", s.Control, "service", s.Service,
		"target", s.Target, "data_centre", s.DataCentre, "store", s.Store)
	return n, n.leave, nil
}

// start creates the parts of the node, opens its addresses and starts its tasks.
func (n *Node) start(ctx context.Context) error {
	s := n.settings
	n.configuration = follower.NewCurrent(n.platform.DecodeConfiguration, n.logger.Named("configuration"))
	n.view = membership.NewView(membership.Record{
		ControlAddress: cmp.Or(s.AdvertisedControl, s.Control), GateAddress: cmp.Or(s.AdvertisedGate, s.Gate), Service: s.Service, DataCentre: s.DataCentre, Region: s.Region,
		Incarnation: time.Now().UnixMilli(),
	})
	n.view.WithOwnRecordHandler(n.learnDepartures)
	if s.Bootstrap {
		n.view.SetWitness()
	}
	n.quarantine = quarantine.NewTable(n.logger.Named("quarantine"))
	pool, closePool := peerrpc.NewPool()
	n.cleanups = append(n.cleanups, closePool)
	n.gossiper = membership.NewGossiper(n.view, n.configuration, n.quarantine, pool, n.logger.Named("roster")).WithContacts(&n.contacts)
	n.follower = follower.New(n.platform.ConfigurationSource, n.configuration, n.gossiper, n.logger.Named("configuration")).WithDuty(n.gossiper)
	n.quotas = quota.NewHome(n.view.Self().ControlAddress, n.view, pool)

	n.bodies = http1.NewBodyBudget(bodyBudgetBytes(s.MemoryBytes))
	g, closeGate := gate.New(gate.Options{
		Service: s.Service, Address: s.Target, Headers: n.platform.Headers, Logger: n.logger.Named("gate"),
		Meter: n.meter, Quarantine: n.quarantine, Bodies: n.bodies, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
		GateCount: n.gateCount, IsTrialGate: n.isTrialGate, ShutdownDeadline: n.shutdownDeadline, Recovering: !s.Bootstrap, OnProbe: n.recordProber,
		AnnouncementInterval: s.AnnouncementInterval,
		Modes:                func() configuration.Modes { return n.configuration.Configuration().Modes() },
	})
	n.gate = g
	n.target = &target{node: n, ctx: ctx, called: make(chan struct{}, 1)}
	n.cleanups = append(n.cleanups, closeGate)
	e, closeEntry := entry.New(entry.Options{
		Service: s.Service, Node: n.view.Self().ControlAddress, Contacts: &n.contacts, DataCentre: s.DataCentre, Region: s.Region, Nodes: n.view, Configurations: n.configuration,
		Headers: n.platform.Headers, Logger: n.logger.Named("entry"), Meter: n.meter, Quarantine: n.quarantine, Bodies: n.bodies, ShutdownDeadline: n.shutdownDeadline,
		KnownVersion: n.gossiper.KnownVersion,
		Quotas:       quota.NewClient(n.quotas, n.meter, n.logger.Named("quota")),
	})
	n.entry = e
	n.cleanups = append(n.cleanups, closeEntry)
	if err := n.listen(e); err != nil {
		return err
	}
	n.startTask(func() { n.follower.Run(ctx) })
	n.startTask(func() { n.gossiper.Run(ctx) })
	n.startTask(func() { n.refuseRemovedCustomers(ctx) })
	n.startTask(func() { n.join(ctx) })
	n.startTask(func() { n.followDiscovery(ctx) })
	n.startTask(func() { n.serveAsContact(ctx) })
	if !s.Bootstrap {
		n.startTask(func() { n.recoverDepartures(ctx) })
	}
	reverted := n.platform.Registry.Reverted()
	n.startTask(func() { n.restoreRecords(ctx, reverted) })
	return nil
}

// gateCount returns the number of gates of the node's service, or 0 while the node has not
// discovered the fleet.
func (n *Node) gateCount() int {
	if !n.view.IsDiscovered() {
		return 0
	}
	return n.view.CountOf(n.settings.Service)
}

// isTrialGate reports whether the node's gate is elected to run the trial of a quarantined
// request. It is not while there may be gates that the node does not know.
func (n *Node) isTrialGate(request fingerprint.Fingerprint, round uint64) bool {
	if !n.view.IsDiscovered() {
		return false
	}
	var gates []string
	self := n.view.Self()
	for _, r := range n.view.Nodes() {
		if r.Service == self.Service {
			gates = append(gates, r.GateAddress)
		}
	}
	for _, i := range quarantine.ElectGates(gates, request, round) {
		if gates[i] == self.GateAddress {
			return true
		}
	}
	return false
}

// listen opens the node's addresses; the one for callers is last.
func (n *Node) listen(e *entry.Entry) error {
	s := n.settings
	control, err := net.Listen("tcp", s.Control)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.Control)
	}
	closeControl, err := peerrpc.Serve(control, map[string]any{
		membership.ReceiverName: membership.NewReceiver(n.gossiper), quota.ReceiverName: quota.NewReceiver(n.quotas),
	})
	if err != nil {
		control.Close()
		return err
	}
	n.cleanups = append(n.cleanups, closeControl)
	n.meter.registerGauges(n)
	for _, h := range []struct {
		address string
		handler http.Handler
	}{{s.Ready, n.newReadyHandler()}, {s.Admin, n.newAdminHandler()}, {s.Metrics, n.newMetricsHandler()}} {
		closeServer, err := serveHTTP(h.address, h.handler)
		if err != nil {
			return err
		}
		n.cleanups = append(n.cleanups, closeServer)
	}
	var closeGateListener, closeEntryListener func()
	n.gateListener, closeGateListener, err = http1.Listen(s.Gate, n.gate.Serve, n.gateLimits, n.logger.Named("gate"))
	if err != nil {
		return err
	}
	n.cleanups = append(n.cleanups, closeGateListener)
	n.entryListener, closeEntryListener, err = http1.Listen(s.Entry, e.Serve, n.callerLimits, n.logger.Named("entry"))
	if err != nil {
		return err
	}
	n.cleanups = append(n.cleanups, closeEntryListener)
	return nil
}

const (
	// bodyMemoryShare is the share of the process's memory that bodies may use. As
	// much again is garbage until it is collected.
	bodyMemoryShare = 0.15
	// defaultBodyBudget, in bytes, applies to a process without a memory limit.
	defaultBodyBudget = 64 << 20
)

// bodyBudgetBytes returns the budget for bodies of a process with the given memory
// limit; 0 means no limit.
func bodyBudgetBytes(memory int64) int64 {
	if memory == 0 {
		return defaultBodyBudget
	}
	return int64(bodyMemoryShare * float64(memory))
}

// startTask runs f in a goroutine that close waits for.
func (n *Node) startTask(f func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		f()
	}()
}

// callerLimits returns the limits for requests of callers.
func (n *Node) callerLimits() http1.Limits {
	l := n.configuration.Configuration().Limits()
	return http1.Limits{MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, Bodies: n.bodies, ReadBodiesFirst: true}
}

const (
	// maxAddedHeaderBytes is the maximum size of the headers that nodes add to a
	// request.
	maxAddedHeaderBytes = 4 << 10
	// gateIdleTimeout exceeds the time for which an entry keeps an idle connection
	// to a gate.
	gateIdleTimeout = 20 * time.Second
)

// gateLimits returns the limits for requests that entries send to the gate.
func (n *Node) gateLimits() http1.Limits {
	l := n.callerLimits()
	l.MaxHeaderBytes += maxAddedHeaderBytes
	l.IdleTimeout = gateIdleTimeout
	// Entries wait for the grant, which is the 100 response.
	l.ReadBodiesFirst = false
	return l
}

// close stops the node's tasks and closes its addresses and connections.
func (n *Node) close() {
	n.cancel()
	for i := len(n.cleanups) - 1; i >= 0; i-- {
		n.cleanups[i]()
	}
	n.tasks.Wait()
}
