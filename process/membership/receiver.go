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
	g.recordContact(request.Sender, true, time.Now())
	g.recordCaller(request.Sender)
	g.recordRemoteVersion(cmp.Or(request.ConfigurationHolder, request.Sender), request.ConfigurationVersion)
	reply.ConfigurationVersion, reply.ConfigurationHolder = g.newestKnownVersion()
	now := time.Now()
	reply.EvidenceDigest = g.evidence.Digest(now)
	if request.EvidenceDigest != reply.EvidenceDigest {
		reply.Evidence = g.evidence.Records(now)
	}
	*reply = g.withKnowledge(*reply)
	reply.Digest = g.view.Digest()
	if request.Digest != reply.Digest {
		reply.BucketDigests = g.view.BucketDigests(bucketCount(g.view.Len()))
	} else {
		g.view.learnFrom(request)
	}
	return nil
}

// Tell merges the pushed records and replies with those in the wanted buckets,
// as they were before the merge, and with the sender's own one if the sender has
// forgotten its departures. It hears of the sender's version, and replies with the own one
// and what it knows of the readers of the store if the sender wants that.
func (r *Receiver) Tell(request Message, reply *Message) error {
	g := r.gossiper
	request = request.checked()
	now := time.Now()
	g.recordContact(request.Sender, true, now)
	g.recordCaller(request.Sender)
	if !request.WantsReaders {
		g.recordReaders(request, now)
	}
	g.recordRemoteVersion(request.Sender, request.ConfigurationVersion)
	if request.WantsReaders {
		*reply = g.withReading(*reply)
		reply.ConfigurationVersion, reply.ConfigurationHolder = g.newestKnownVersion()
	}
	wanted := g.view.RecordsInBuckets(request.WantedBuckets, request.BucketCount)
	if old, ok := g.view.forgottenRecord(request.Sender, request.Records); ok {
		wanted = append(wanted, old)
	}
	g.Merge(request.Records)
	g.evidence.Merge(request.Evidence, now)
	if request.BucketCount > 0 {
		// A comparison sends all records in which the views differ.
		g.view.learnFrom(request)
	}
	reply.Records = wanted
	return nil
}
