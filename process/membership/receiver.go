package membership

import (
	"cmp"
	"time"
)

// Receiver serves the calls of other nodes.
type Receiver struct{ gossiper *Gossiper }

// NewReceiver returns a receiver that replies from the gossiper's view and
// configuration.
func NewReceiver(g *Gossiper) *Receiver { return &Receiver{gossiper: g} }

// Compare replies with the digest of the own view, with bucket digests if the
// views differ, and with the newest known configuration version.
func (r *Receiver) Compare(request Message, reply *Message) error {
	g := r.gossiper
	request = request.checked()
	g.recordRemoteVersion(cmp.Or(request.ConfigurationHolder, request.Sender), request.ConfigurationVersion)
	reply.ConfigurationVersion, reply.ConfigurationHolder = g.newestKnownVersion()
	now := time.Now()
	reply.EvidenceDigest = g.evidence.Digest(now)
	if request.EvidenceDigest != reply.EvidenceDigest {
		reply.Evidence = g.evidence.Records(now)
	}
	reply.Digest = g.view.Digest()
	if request.Digest != reply.Digest {
		reply.BucketDigests = g.view.BucketDigests(bucketCount(g.view.Len()))
	}
	return nil
}

// Tell merges the pushed records and replies with those in the wanted buckets,
// as they were before the merge, and with the sender's own one if the sender has
// forgotten its departures.
func (r *Receiver) Tell(request Message, reply *Message) error {
	g := r.gossiper
	request = request.checked()
	wanted := g.view.RecordsInBuckets(request.WantedBuckets, request.BucketCount)
	if old, ok := g.view.forgottenRecord(request.Sender, request.Records); ok {
		wanted = append(wanted, old)
	}
	g.Merge(request.Records)
	g.evidence.Merge(request.Evidence, time.Now())
	reply.Records = wanted
	return nil
}

// Fetch replies with the own configuration if it is newer than the sender's.
func (r *Receiver) Fetch(request Message, reply *Message) error {
	version, encoded := r.gossiper.configurations.Newest()
	if request.ConfigurationVersion >= version {
		return nil
	}
	var err error
	reply.ConfigurationVersion = version
	reply.Configuration, err = compress(encoded)
	return err
}
