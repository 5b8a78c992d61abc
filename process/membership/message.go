package membership

import (
	"math"

	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/cuminwheel/cuminwheel/request/field"
	"github.com/cuminwheel/cuminwheel/version/patch"
)

// Message is the argument and the reply of all calls between nodes. Its names on
// the wire are short, since each node compares once a second and traffic between
// regions is billed.
type Message struct {
	// Sender is the control address of the sender; replies leave it empty.
	Sender string `codec:"s,omitempty"`
	// Digest is the digest of the sender's view.
	Digest uint64 `codec:"d,omitempty"`
	// ConfigurationVersion is the newest configuration version that the sender
	// has or has heard of, and ConfigurationHolder is a node that has it; empty
	// means the sender itself.
	ConfigurationVersion uint64 `codec:"v,omitempty"`
	ConfigurationHolder  string `codec:"h,omitempty"`
	// IsUndiscovered and IsNewcomer mean that the view of the sender is not discovered, and
	// that the sender is no witness. They are set in comparisons.
	IsUndiscovered bool `codec:"g,omitempty"`
	IsNewcomer     bool `codec:"j,omitempty"`
	// BucketDigests is the result of View.BucketDigests for the sender's view. It
	// is sent when the digests of the views differ.
	BucketDigests []uint64 `codec:"b,omitempty"`
	// Records are those that the other node may lack.
	Records []Record `codec:"r,omitempty"`
	// WantedBuckets are the buckets, of BucketCount, whose records the sender
	// wants in the reply.
	WantedBuckets []int `codec:"w,omitempty"`
	BucketCount   int   `codec:"n,omitempty"`
	// EvidenceDigest is the digest of the sender's evidence against requests that crash
	// targets; Evidence holds records that the other node may lack.
	EvidenceDigest uint64              `codec:"y,omitempty"`
	Evidence       []quarantine.Record `codec:"x,omitempty"`
	// Configuration is encoded and compressed.
	Configuration []byte `codec:"c,omitempty"`
	// ConfigurationDigest names the sender's encoded configuration, and Patches lead from
	// it to the one of the reply.
	ConfigurationDigest uint64        `codec:"e,omitempty"`
	Patches             []patch.Patch `codec:"p,omitempty"`
	// WantsReaders means that the sender asks for the fields below.
	WantsReaders bool `codec:"q,omitempty"`
	// ReaderAge is the time in ms since a reader of the store was known to be at work, plus
	// one; zero means that none is known.
	ReaderAge int64 `codec:"a,omitempty"`
	// ReadVersion was the newest version at an offset, of an era, of the store's log.
	ReadVersion uint64 `codec:"u,omitempty"`
	ReadEra     uint64 `codec:"k,omitempty"`
	ReadOffset  int64  `codec:"o,omitempty"`
}

// checked returns the message without the fields that are invalid. Records and evidence
// are checked one by one where they are stored.
func (m Message) checked() Message {
	var sender, version field.Checker
	sender.Address("sender", m.Sender)
	if sender.Err() != nil {
		m.Sender = ""
	}
	if m.ConfigurationVersion > math.MaxInt64 {
		version.Reject("version", "%d is too large", m.ConfigurationVersion)
	}
	if m.ConfigurationHolder != "" {
		version.Address("holder", m.ConfigurationHolder)
	}
	if version.Err() != nil {
		m.ConfigurationVersion, m.ConfigurationHolder = 0, ""
	}
	if m.ReaderAge < 0 || m.ReaderAge > maxReaderAgeMillis {
		m.ReaderAge = 0
	}
	if m.ReadVersion > math.MaxInt64 || m.ReadEra > math.MaxInt64 || m.ReadOffset < 0 {
		m.ReadVersion, m.ReadEra, m.ReadOffset = 0, 0, 0
	}
	return m
}

// maxReaderAgeMillis bounds the age of what is known of readers: no node cares for more.
const maxReaderAgeMillis = 24 * 60 * 60 * 1000

// ReceiverName is the name under which a Receiver is served.
const ReceiverName = "Roster"

// Names of the calls between nodes.
const (
	methodCompare = "Roster.Compare"
	methodTell    = "Roster.Tell"
	methodFetch   = "Roster.Fetch"
)
