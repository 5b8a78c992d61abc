package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/link"
	"github.com/cuminwheel/cuminwheel/connection/logservice"
	"github.com/cuminwheel/cuminwheel/connection/relay"
	"github.com/cuminwheel/cuminwheel/process/entry"
	"github.com/cuminwheel/cuminwheel/process/follower"
	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/home"
	"github.com/cuminwheel/cuminwheel/process/lease"
	"github.com/cuminwheel/cuminwheel/process/pause"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/process/settings"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
)

// Node is one process of the fleet.
type Node struct {
	settings settings.Settings
	logger   hclog.Logger
	journal  *ledger.Journal
	roster   *roster.Roster
	feed     *roster.Feed
	gate     *gate.Gate
	entry    *entry.Entry
	home     *home.Home
	keeper   *home.Keeper
	meter    *meter

	mu      sync.Mutex
	leaving bool
}

// Bounds of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 60 * time.Second
	writeTimeout      = 10 * time.Minute
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	handOverTimeout   = 5 * time.Second
	// leaveNotice is how long a leaving node goes on serving those who have not
	// heard yet that it leaves, and again how long it goes on refusing.
	leaveNotice = 2 * time.Second
)

// Start runs a node. The returned function leaves the fleet: it announces
// that, hands over claim seats, lets all requests in progress end and then
// closes everything. Its context cuts that short.
func Start(s settings.Settings, l hclog.Logger) (*Node, func(context.Context) error, error) {
	if err := s.Check(); err != nil {
		return nil, nil, err
	}
	started := time.Now()
	pool, closePool := link.NewPool()
	client, closeClient := relay.NewClient()
	logs, closeLogs := logservice.NewClient(s.Log, s.Stream)
	n := &Node{settings: s, logger: l, journal: ledger.NewJournal(), meter: newMeter()}
	n.roster = roster.New(roster.Node{
		ID:          s.Control,
		Incarnation: started.UnixMilli(),
		Region:      s.Region,
		DataCentre:  s.DataCentre,
		Gate:        s.Gate,
	})
	holder := lease.NewHolder()
	granter := lease.NewGranter(s.Control, started)
	n.feed = roster.NewFeed(n.roster, pool, l.Named("roster"), newRandom(), s.Peers)
	monitor := roster.NewMonitor(n.roster, pool, l.Named("monitor"))
	follow := follower.New(follower.Options{
		Clock: time.Now, Logger: l.Named("log"), Journal: n.journal, Roster: n.roster,
		Log: logs, Caller: pool, Random: newRandom(),
	})
	n.gate = gate.New(gate.Options{
		Clock: time.Now, Logger: l.Named("gate"), Client: client, Services: services{n.journal},
		Siblings: siblings{roster: n.roster, pool: pool}, OnChange: n.announceTargets,
	})
	n.home = home.New(time.Now, l.Named("home"), s.ClockBound, n.journal, holder)
	n.keeper = home.NewKeeper(home.KeeperOptions{
		Clock: time.Now, Logger: l.Named("seats"), States: n.journal, Roster: n.roster, Holder: holder,
		Log: logs, Members: members{pool: pool, granter: granter},
		Incarnation: strconv.FormatInt(started.UnixMilli(), 10), Random: newRandom(),
	})
	directory := newDirectory(time.Now, n.roster, s.RemoteBytesPerSecond)
	n.entry = entry.New(entry.Options{
		Clock: time.Now, Logger: l.Named("entry"), Client: client, States: n.journal,
		Nodes: directory, Home: n.home,
		Self: s.Control, Meter: n.meter, Random: newRandom(),
	})
	n.addGauges(directory)

	servers, closeServers, err := n.listen(pool, granter)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	for _, run := range []func(context.Context){n.feed.Run, monitor.Run, follow.Run, n.gate.Run, n.keeper.Run} {
		loops.Add(1)
		go func() {
			defer loops.Done()
			run(ctx)
		}()
	}
	stop := func(limit context.Context) error {
		err := n.leave(limit, servers, cancel, &loops)
		closeServers()
		closePool()
		closeClient()
		closeLogs()
		return err
	}
	l.Info("node started", "control", s.Control, "region", s.Region, "data_centre", s.DataCentre)
	return n, stop, nil
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// httpServers are the listeners whose requests a leaving node lets end.
type httpServers struct {
	entry, gate, admin *http.Server
}

func (n *Node) listen(pool *link.Pool, granter *lease.Granter) (httpServers, func(), error) {
	s := httpServers{
		entry: newServer(n.entry),
		gate:  newServer(http.HandlerFunc(n.serveNode)),
		admin: newServer(n.adminHandler()),
	}
	listens := []struct {
		flag, address string
		server        *http.Server
	}{
		{"entry", n.settings.Entry, s.entry},
		{"gate", n.settings.Gate, s.gate},
		{"admin", n.settings.Admin, s.admin},
	}
	closeAll := func() {
		for _, l := range listens {
			l.server.Close()
		}
	}
	control, err := net.Listen("tcp", n.settings.Control)
	if err != nil {
		return s, nil, errors.Wrap(err, "--control")
	}
	closeControl, err := link.Serve(control, map[string]any{
		"Roster":  roster.NewService(n.roster, pool),
		"Journal": follower.NewService(n.journal),
		"Gate":    &gateService{gate: n.gate},
		"Lease":   &leaseService{clock: time.Now, journal: n.journal, granter: granter, keeper: n.keeper},
		"Node":    &nodeService{node: n},
	})
	if err != nil {
		return s, nil, err
	}
	for _, l := range listens {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			closeAll()
			closeControl()
			return s, nil, errors.Wrap(err, "--"+l.flag)
		}
		go func() { _ = l.server.Serve(listener) }()
	}
	return s, func() { closeAll(); closeControl() }, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serveNode serves other nodes: claims for a seat of this node, and requests
// for its targets.
func (n *Node) serveNode(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(outcome.HeaderSeat) != "" {
		n.entry.ServeHome(w, r)
		return
	}
	n.gate.ServeHTTP(w, r)
}

// announceTargets publishes the targets that are beside this node.
func (n *Node) announceTargets(list []roster.Target) {
	n.roster.Announce(func(r roster.Node) roster.Node {
		r.Targets = list
		return r
	})
}

// leave takes the node out of the fleet.
func (n *Node) leave(ctx context.Context, s httpServers, cancel context.CancelFunc, loops *sync.WaitGroup) error {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.logger.Info("leaving")
	n.roster.Announce(func(r roster.Node) roster.Node {
		r.Status = roster.StatusLeaving
		return r
	})
	handOver, stopHandOver := context.WithTimeout(ctx, handOverTimeout)
	defer stopHandOver()
	n.keeper.HandOver(handOver)
	pause.For(ctx, leaveNotice)
	n.entry.Leave()
	n.gate.Leave()
	pause.For(ctx, leaveNotice)
	err := s.entry.Shutdown(ctx)
	if e := s.gate.Shutdown(ctx); err == nil {
		err = e
	}
	cancel()
	loops.Wait()
	n.roster.Announce(func(r roster.Node) roster.Node {
		r.Status = roster.StatusGone
		r.Targets = nil
		return r
	})
	n.feed.Flush(ctx)
	if e := s.admin.Shutdown(ctx); err == nil {
		err = e
	}
	n.logger.Info("left")
	if err != nil {
		return errors.Wrap(err, "shut down")
	}
	return nil
}

func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// Status returns what the node knows.
func (n *Node) Status() Status {
	s := n.journal.State()
	return Status{
		Node:      n.roster.Self(),
		Version:   s.Version,
		Next:      s.Next,
		Ready:     n.journal.IsReady(),
		Services:  s.Configuration.Services(),
		Seats:     s.Seats(),
		Nodes:     n.roster.Nodes(),
		ClaimKeys: n.home.Keys(),
	}
}

func (n *Node) addGauges(d *directory) {
	n.meter.gauge("cuminwheel_remote_bytes", func() float64 { return float64(d.remoteBytes.Load()) })
	n.meter.gauge("cuminwheel_configuration_version", func() float64 { return float64(n.journal.State().Version) })
	n.meter.gauge("cuminwheel_log_next_offset", func() float64 { return float64(n.journal.State().Next) })
	n.meter.gauge("cuminwheel_known_nodes", func() float64 { return float64(len(n.roster.Nodes())) })
	n.meter.gauge("cuminwheel_claim_keys", func() float64 { return float64(n.home.Keys()) })
}

// nodeService answers operators under the name Node.
type nodeService struct {
	node *Node
}

// Status returns what the node knows.
func (s *nodeService) Status(args StatusArgs, reply *StatusReply) error {
	state := s.node.journal.State()
	reply.Version = state.Version
	reply.Next = state.Next
	reply.Ready = s.node.journal.IsReady()
	if args.Brief {
		return nil
	}
	data, err := json.Marshal(s.node.Status())
	reply.Data = data
	return err
}

// Decision says what became of a log record.
func (s *nodeService) Decision(args DecisionArgs, reply *DecisionReply) error {
	reply.Decision, reply.Known = s.node.journal.Decision(args.ID)
	return nil
}

// services gives the gate the rules in force.
type services struct {
	journal *ledger.Journal
}

// Service returns the rules of a service.
func (s services) Service(name string) (configuration.Service, bool) {
	return s.journal.State().Configuration.Service(name)
}
