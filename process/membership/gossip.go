package membership

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
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

// Transport calls a method of another node.
type Transport interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Message is what nodes tell each other. Its names are short, since nodes
// compare each second and bytes between regions are paid for.
type Message struct {
	// Sender is the address of the sender's control calls; an answer has none.
	Sender string `codec:"s,omitempty"`
	// Digest is that of the sender's roster.
	Digest uint64 `codec:"d,omitempty"`
	// ConfigurationVersion is the newest configuration that the sender has or has heard of,
	// and Holder a node that has it; empty means the sender itself.
	ConfigurationVersion uint64 `codec:"v,omitempty"`
	ConfigurationHolder  string `codec:"h,omitempty"`
	// BucketDigests are the digests of the parts of the sender's roster; see
	// Roster.BucketDigests. They are sent when the digests differ.
	BucketDigests []uint64 `codec:"b,omitempty"`
	// Records are what the other side may lack. Wanted are the buckets, of so
	// many, whose records the sender wants in return.
	Records       []Record `codec:"r,omitempty"`
	WantedBuckets []int    `codec:"w,omitempty"`
	BucketCount   int      `codec:"n,omitempty"`
	// Configuration is encoded and compressed.
	Configuration []byte `codec:"c,omitempty"`
}

// Names of the calls between nodes.
const (
	ReceiverName  = "Roster"
	methodCompare = "Roster.Compare"
	methodTell    = "Roster.Tell"
	methodFetch   = "Roster.Fetch"
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
	// fetchDelay is how long a node that hears of a newer configuration waits for
	// the store to bring it, before it fetches it from another node: nodes that
	// take in publications in quick succession read the store every 0.4 s.
	fetchDelay = 300 * time.Millisecond
	// remoteShare of the comparisons cross regions.
	remoteShare = 0.1
	// fanout is how many nodes are told of news at once; with 3, news reaches
	// 10,000 nodes in about nine steps.
	fanout = 3
)

// Gossiper keeps the rosters of all nodes equal.
type Gossiper struct {
	roster         *View
	configurations Configurations
	transport      Transport
	logger         hclog.Logger
	news           chan []Record
	// newer wakes followNewer.
	newer chan struct{}

	mu sync.Mutex
	// heard is the newest configuration that another node is known to have.
	heard heldVersion
	// told is the newest version that other nodes were told of at once.
	told uint64
}

// heldVersion is a configuration that a node has.
type heldVersion struct {
	holder  string
	version uint64
}

// NewGossiper returns a spread of the roster's records.
func NewGossiper(r *View, c Configurations, transport Transport, logger hclog.Logger) *Gossiper {
	return &Gossiper{roster: r, configurations: c, transport: transport, logger: logger, news: make(chan []Record, 64), newer: make(chan struct{}, 1)}
}

// Run compares and tells until ctx ends.
func (s *Gossiper) Run(ctx context.Context) {
	go s.followNewer(ctx)
	for {
		changed := s.configurations.Changed()
		wait := time.Duration((0.5 + rand.Float64()) * float64(compareInterval))
		select {
		case <-ctx.Done():
			return
		case news := <-s.news:
			s.push(ctx, news)
		case <-changed:
			version, _ := s.configurations.Newest()
			s.tellVersion(ctx, version)
		case <-time.After(wait):
			s.compare(ctx)
		}
	}
}

// tellVersion compares with a few nodes soon if the version is news: nodes that
// the store does not reach learn of it so.
func (s *Gossiper) tellVersion(ctx context.Context, version uint64) {
	s.mu.Lock()
	isNews := version > s.told
	s.told = max(s.told, version)
	s.mu.Unlock()
	if !isNews {
		return
	}
	for range fanout {
		go func() {
			pause(ctx, time.Duration((0.5+rand.Float64())*float64(versionDelay)))
			s.compare(ctx)
		}()
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Merge takes in records and tells news on.
func (s *Gossiper) Merge(records []Record) {
	news := s.roster.Merge(records)
	if len(news) == 0 {
		return
	}
	for _, n := range news {
		s.logger.Info("roster changed", "node", n.ControlAddress, "service", n.Service, "data_centre", n.DataCentre,
			"issue", n.Incarnation, "gone", n.Gone)
	}
	s.QueuePush(news)
}

// QueuePush sends records to a few other nodes. News that finds too much waiting is
// left to the comparisons.
func (s *Gossiper) QueuePush(news []Record) {
	select {
	case s.news <- news:
	default:
	}
}

// push sends news, together with all that came meanwhile, to some nodes.
func (s *Gossiper) push(ctx context.Context, news []Record) {
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
		go s.call(ctx, to, methodTell, Message{Sender: s.self(), Records: news}, &Message{})
	}
}

// PushAndWait sends a record and waits until the nodes that were told have it.
func (s *Gossiper) PushAndWait(ctx context.Context, r Record) {
	done := make(chan struct{}, fanout)
	for range fanout {
		go func() {
			if to, ok := s.pick(); ok {
				s.call(ctx, to, methodTell, Message{Sender: s.self(), Records: []Record{r}}, &Message{})
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
func (s *Gossiper) compare(ctx context.Context) {
	if to, ok := s.pick(); ok {
		s.compareWith(ctx, to)
	}
}

func (s *Gossiper) compareWith(ctx context.Context, to Record) {
	ask := Message{Sender: s.self(), Digest: s.roster.Digest()}
	ask.ConfigurationVersion, ask.ConfigurationHolder = s.newestKnown()
	var got Message
	if !s.call(ctx, to, methodCompare, ask, &got) {
		return
	}
	s.hearVersion(cmp.Or(got.ConfigurationHolder, to.ControlAddress), got.ConfigurationVersion)
	if len(got.BucketDigests) == 0 {
		return
	}
	own := s.roster.BucketDigests(len(got.BucketDigests))
	give := Message{Sender: s.self(), BucketCount: len(own)}
	for i := range own {
		if own[i] != got.BucketDigests[i] {
			give.WantedBuckets = append(give.WantedBuckets, i)
		}
	}
	if len(give.WantedBuckets) == 0 {
		return
	}
	give.Records = s.roster.RecordsInBuckets(give.WantedBuckets, give.BucketCount)
	var lacked Message
	if s.call(ctx, to, methodTell, give, &lacked) {
		s.Merge(lacked.Records)
	}
}

// newestKnown returns the newest version that the node has or has heard of, and
// who has it; empty means the node itself.
func (s *Gossiper) newestKnown() (version uint64, holder string) {
	own, _ := s.configurations.Newest()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard.version > own {
		return s.heard.version, s.heard.holder
	}
	return own, ""
}

// hearVersion notes that a node has a configuration of a version.
func (s *Gossiper) hearVersion(holder string, version uint64) {
	known, _ := s.newestKnown()
	if own, _ := s.configurations.Newest(); version <= own || holder == s.self() {
		return
	}
	s.mu.Lock()
	if version >= known {
		s.heard = heldVersion{holder, version}
	}
	s.mu.Unlock()
	select {
	case s.newer <- struct{}{}:
	default: // a fetch is due already
	}
}

// followNewer fetches configurations that other nodes have and the store has not
// brought.
func (s *Gossiper) followNewer(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.newer:
		}
		version, _ := s.newestKnown()
		s.tellVersion(ctx, version)
		pause(ctx, fetchDelay)
		s.fetch(ctx)
	}
}

// fetch gets the newest configuration from the node that has it, if the own one
// is older still.
func (s *Gossiper) fetch(ctx context.Context) {
	version, holder := s.newestKnown()
	if holder == "" || ctx.Err() != nil {
		return
	}
	own, _ := s.configurations.Newest()
	var got Message
	if !s.call(ctx, Record{ControlAddress: holder}, methodFetch, Message{Sender: s.self(), ConfigurationVersion: own}, &got) || len(got.Configuration) == 0 {
		// It cannot be reached or has started again without it. Comparisons will
		// name a holder again.
		s.mu.Lock()
		s.heard = heldVersion{}
		s.mu.Unlock()
		s.logger.Info("a newer configuration could not be fetched", "node", holder, "version", version, "own_version", own)
		return
	}
	s.takeConfiguration(got.Configuration, holder)
}

// self returns the name of the own node.
func (s *Gossiper) self() string { return s.roster.Self().ControlAddress }

func (s *Gossiper) call(ctx context.Context, to Record, method string, args Message, reply *Message) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.transport.Call(ctx, to.ControlAddress, method, args, reply); err != nil {
		s.logger.Debug("another node did not answer", "node", to.ControlAddress, "method", method, "reason", err)
		return false
	}
	return true
}

// takeConfiguration takes in a configuration that another node sent.
func (s *Gossiper) takeConfiguration(compressed []byte, from string) {
	if len(compressed) == 0 {
		return
	}
	encoded, err := decompress(compressed)
	if err == nil {
		err = s.configurations.Offer(encoded, from)
	}
	if err != nil {
		s.logger.Warn("another node's configuration cannot be used", "node", from, "reason", err)
	}
}

// pick returns another node, mostly one of the own region.
func (s *Gossiper) pick() (Record, bool) {
	self := s.roster.Self()
	var near, far []Record
	for _, r := range s.roster.Nodes() {
		switch {
		case r.ControlAddress == self.ControlAddress:
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
type Receiver struct{ spread *Gossiper }

// NewReceiver returns the receiver of a spread's calls.
func NewReceiver(s *Gossiper) *Receiver { return &Receiver{spread: s} }

// Compare answers with the own digests.
func (r *Receiver) Compare(ask Message, answer *Message) error {
	s := r.spread
	s.hearVersion(cmp.Or(ask.ConfigurationHolder, ask.Sender), ask.ConfigurationVersion)
	answer.ConfigurationVersion, answer.ConfigurationHolder = s.newestKnown()
	answer.Digest = s.roster.Digest()
	if ask.Digest != answer.Digest {
		answer.BucketDigests = s.roster.BucketDigests(bucketCount(s.roster.Len()))
	}
	return nil
}

// Tell takes in news and answers with the records that the sender wants.
func (r *Receiver) Tell(news Message, answer *Message) error {
	s := r.spread
	wanted := s.roster.RecordsInBuckets(news.WantedBuckets, news.BucketCount)
	s.Merge(news.Records)
	answer.Records = wanted
	return nil
}

// Fetch answers with the configuration, if it is newer than the sender's.
func (r *Receiver) Fetch(ask Message, answer *Message) error {
	version, encoded := r.spread.configurations.Newest()
	if ask.ConfigurationVersion >= version {
		return nil
	}
	var err error
	answer.ConfigurationVersion = version
	answer.Configuration, err = compress(encoded)
	return err
}
