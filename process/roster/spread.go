package roster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Configurations is the node's newest configuration, which the exchange between
// nodes carries as well.
type Configurations interface {
	// Newest returns the newest configuration's version and its encoded form.
	Newest() (version uint64, encoded []byte)
	// Offer takes in an encoded configuration if it is newer.
	Offer(encoded []byte, source string) error
	// Changed returns a channel that is closed when another one is in force.
	Changed() <-chan struct{}
}

// Caller calls a method of another node.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Exchange is what nodes tell each other.
type Exchange struct {
	// Sender is the sender's own record; an answer has none.
	Sender Record
	// Digest and Version are those of the sender's roster and configuration.
	Digest  uint64
	Version uint64
	// Records and Configuration are sent when the other side lacks them.
	Records       []Record
	Configuration []byte
}

// Names of the calls between nodes.
const (
	ReceiverName  = "Roster"
	methodCompare = "Roster.Compare"
	methodTell    = "Roster.Tell"
	callTimeout   = time.Second
)

const (
	// compareInterval is the mean time between two comparisons that a node
	// begins. A node without the store learns a configuration within the 2.5 s
	// that operators allow if one of two comparisons meets a node that has it.
	compareInterval = time.Second
	// versionDelay is how long after a new configuration a node compares with
	// others: by then nearly all have it from the store.
	versionDelay = 300 * time.Millisecond
	// remoteShare of the comparisons cross regions.
	remoteShare = 0.1
	// fanout is how many nodes are told of news at once; with 3, news reaches
	// 10,000 nodes in about nine steps.
	fanout = 3
)

// Spread keeps the rosters of all nodes equal.
type Spread struct {
	roster         *Roster
	configurations Configurations
	caller         Caller
	logger         hclog.Logger
	news           chan []Record
}

// NewSpread returns a spread of the roster's records.
func NewSpread(r *Roster, c Configurations, caller Caller, logger hclog.Logger) *Spread {
	return &Spread{roster: r, configurations: c, caller: caller, logger: logger, news: make(chan []Record, 64)}
}

// Run compares and tells until ctx ends.
func (s *Spread) Run(ctx context.Context) {
	for {
		changed := s.configurations.Changed()
		wait := time.Duration((0.5 + rand.Float64()) * float64(compareInterval))
		select {
		case <-ctx.Done():
			return
		case news := <-s.news:
			s.tell(ctx, news)
		case <-changed:
			// A node that the store does not reach learns of it here.
			for range fanout {
				go func() {
					pause(ctx, time.Duration((0.5+rand.Float64())*float64(versionDelay)))
					s.compare(ctx)
				}()
			}
		case <-time.After(wait):
			s.compare(ctx)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Merge takes in records and tells news on.
func (s *Spread) Merge(records []Record) {
	news := s.roster.Merge(records)
	if len(news) == 0 {
		return
	}
	for _, n := range news {
		s.logger.Info("roster changed", "node", n.Node, "service", n.Service, "data_centre", n.DataCentre,
			"issue", n.Issue, "gone", n.Gone)
	}
	s.Tell(news)
}

// Tell sends records to a few other nodes. News that finds too much waiting is
// left to the comparisons.
func (s *Spread) Tell(news []Record) {
	select {
	case s.news <- news:
	default:
	}
}

// tell sends news, together with all that came meanwhile, to some nodes.
func (s *Spread) tell(ctx context.Context, news []Record) {
	for more := true; more; {
		select {
		case n := <-s.news:
			news = append(news, n...)
		default:
			more = false
		}
	}
	for range fanout {
		to, ok := s.pick()
		if !ok {
			return
		}
		go s.call(ctx, to, methodTell, Exchange{Sender: s.roster.Self(), Records: news}, &Exchange{})
	}
}

// TellNow sends a record and waits until the nodes that were told have it.
func (s *Spread) TellNow(ctx context.Context, r Record) {
	done := make(chan struct{}, fanout)
	for range fanout {
		go func() {
			if to, ok := s.pick(); ok {
				s.call(ctx, to, methodTell, Exchange{Sender: s.roster.Self(), Records: []Record{r}}, &Exchange{})
			}
			done <- struct{}{}
		}()
	}
	for range fanout {
		<-done
	}
}

// compare asks another node whether it knows the same, and gives or takes what
// differs.
func (s *Spread) compare(ctx context.Context) {
	to, ok := s.pick()
	if !ok {
		return
	}
	version, _ := s.configurations.Newest()
	ask := Exchange{Sender: s.roster.Self(), Digest: s.roster.Digest(), Version: version}
	var got Exchange
	if !s.call(ctx, to, methodCompare, ask, &got) {
		return
	}
	s.take(got, to.Node)
	version, encoded := s.configurations.Newest()
	give := Exchange{Sender: s.roster.Self()}
	if got.Digest != s.roster.Digest() {
		give.Records = s.roster.All()
	}
	if got.Version < version {
		give.Configuration = encoded
	}
	if give.Records != nil || give.Configuration != nil {
		s.call(ctx, to, methodTell, give, &Exchange{})
	}
}

func (s *Spread) call(ctx context.Context, to Record, method string, args Exchange, reply *Exchange) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.caller.Call(ctx, to.Node, method, args, reply); err != nil {
		s.logger.Debug("another node did not answer", "node", to.Node, "method", method, "reason", err)
		return false
	}
	return true
}

// take takes in what another node sent.
func (s *Spread) take(x Exchange, from string) {
	s.Merge(x.Records)
	if x.Configuration == nil {
		return
	}
	if err := s.configurations.Offer(x.Configuration, from); err != nil {
		s.logger.Warn("another node's configuration cannot be used", "node", from, "reason", err)
	}
}

// pick returns another node, mostly one of the own region.
func (s *Spread) pick() (Record, bool) {
	self := s.roster.Self()
	var near, far []Record
	for _, r := range s.roster.Nodes() {
		switch {
		case r.Node == self.Node:
		case r.Region == self.Region:
			near = append(near, r)
		default:
			far = append(far, r)
		}
	}
	from := near
	if len(near) == 0 || len(far) > 0 && rand.Float64() < remoteShare {
		from = far
	}
	if len(from) == 0 {
		return Record{}, false
	}
	return from[rand.IntN(len(from))], true
}

// Receiver answers the calls of other nodes.
type Receiver struct{ spread *Spread }

// NewReceiver returns the receiver of a spread's calls.
func NewReceiver(s *Spread) *Receiver { return &Receiver{spread: s} }

// Compare answers with what the sender lacks.
func (r *Receiver) Compare(ask Exchange, answer *Exchange) error {
	s := r.spread
	s.Merge([]Record{ask.Sender})
	version, encoded := s.configurations.Newest()
	answer.Digest, answer.Version = s.roster.Digest(), version
	if ask.Digest != answer.Digest {
		answer.Records = s.roster.All()
	}
	if ask.Version < version {
		answer.Configuration = encoded
	}
	return nil
}

// Tell takes in news.
func (r *Receiver) Tell(news Exchange, _ *Exchange) error {
	r.spread.Merge([]Record{news.Sender})
	r.spread.take(news, news.Sender.Node)
	return nil
}
