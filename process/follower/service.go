package follower

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Service answers the calls of peers under the name Journal.
type Service struct {
	journal *ledger.Journal
}

// NewService returns the answering side of a journal.
func NewService(j *ledger.Journal) *Service { return &Service{journal: j} }

// ReadArgs asks for records from Offset on.
type ReadArgs struct {
	Offset int64 `codec:"offset"`
	// WaitMillis is how long to wait for the first record.
	WaitMillis int `codec:"wait_ms"`
}

// ReadReply carries records that follow each other.
type ReadReply struct {
	Records [][]byte `codec:"records"`
	// Expired means that the records are no longer retained here.
	Expired bool `codec:"expired"`
}

// SnapshotArgs asks for the state if it is newer than Newer.
type SnapshotArgs struct {
	Newer int64 `codec:"newer"`
}

// SnapshotReply carries a state.
type SnapshotReply struct {
	// Ready is false while the peer has no state of its own to give.
	Ready bool   `codec:"ready"`
	Data  []byte `codec:"data"`
}

// Read returns records, after a wait if there are none yet.
func (s *Service) Read(args ReadArgs, reply *ReadReply) error {
	wait := min(waitTime, time.Duration(args.WaitMillis)*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), max(0, wait))
	defer cancel()
	s.journal.Wait(ctx, args.Offset)
	records, ok := s.journal.Since(args.Offset, maxReplyBytes)
	reply.Records = records
	reply.Expired = !ok
	return nil
}

// Snapshot returns the whole state.
func (s *Service) Snapshot(args SnapshotArgs, reply *SnapshotReply) error {
	reply.Ready = s.journal.IsReady()
	state := s.journal.State()
	if !reply.Ready || state.Next <= args.Newer {
		return nil
	}
	data, err := json.Marshal(state.Snapshot())
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	reply.Data = data
	return nil
}

func (f *Follower) appendPart(ctx context.Context, p ledger.SnapshotPart) error {
	r := ledger.Record{
		ID:       uuid.NewString(),
		Kind:     ledger.KindSnapshot,
		Author:   f.roster.Self().ID,
		Snapshot: &p,
	}
	raw, err := r.Encode()
	if err != nil {
		return err
	}
	_, err = f.log.Append(ctx, raw)
	return err
}
