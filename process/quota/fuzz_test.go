package quota

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/request/field"
	"github.com/cuminwheel/cuminwheel/standin/mutation"
	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/matryer/is"
)

func encode(f *testing.F, v any) string {
	f.Helper()
	var b bytes.Buffer
	if err := codec.NewEncoder(&b, &codec.MsgpackHandle{}).Encode(v); err != nil {
		f.Fatal(err)
	}
	return b.String()
}

// Whatever another node asks for, a home must grant no more than that, and name a retry
// time in range.
func FuzzTake(f *testing.F) {
	for _, b := range mutation.Of(
		encode(f, TakeRequest{Name: "acme", Rate: 5, Burst: 6, Want: 3, Waiting: 2}), encode(f, TakeRequest{Name: "acme", Rate: 5, NewHome: "10.0.0.2:1", Forwarded: true}),
		encode(f, TakeRequest{Name: "acme", Rate: 5, Want: 3, Via: "10.0.0.2:1"}),
	) {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var request TakeRequest
		if codec.NewDecoderBytes(b, &codec.MsgpackHandle{}).Decode(&request) != nil {
			return
		}
		self := membership.Record{ControlAddress: "10.0.0.1:1", GateAddress: "10.0.0.1:2", Service: "s", Incarnation: 1}
		view := membership.NewView(self)
		view.SetDiscovered() // the node may grant
		r := NewReceiver(NewHome(self.ControlAddress, view, noNetwork{}))
		for range 2 {
			var reply TakeReply
			if err := r.Take(request, &reply); err != nil {
				return
			}
			if reply.Granted < 0 || reply.Granted > request.Want || reply.Validate() != nil {
				t.Errorf("%+v got %+v", request, reply)
			}
		}
	})
}

// Whatever another node replies, a valid reply must have a retry time and a level in range.
func FuzzTakeReply(f *testing.F) {
	for _, b := range mutation.Of(encode(f, TakeReply{Granted: 3, RetryAfterMS: 200, HasBucket: true, Level: 2.5, MovedTo: "10.0.0.2:1"})) {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var reply TakeReply
		if codec.NewDecoderBytes(b, &codec.MsgpackHandle{}).Decode(&reply) != nil || reply.Validate() != nil {
			return
		}
		now := time.Now()
		if at := reply.retryAt(now); at.Before(now) || at.After(now.Add(field.MaxDuration)) || math.IsNaN(reply.Level) {
			t.Errorf("%+v", reply)
		}
	})
}

// Rates and replies out of range must be rejected before a bucket is computed from them: the
// interval of a tiny rate wrapped, so that a used-up account was deleted and began anew.
func TestOddQuotaMessagesAreRejected(t *testing.T) {
	is := is.New(t)
	for _, r := range []TakeRequest{
		{Name: "a", Rate: math.NaN(), Want: 1}, {Name: "a", Rate: math.Inf(1), Want: 1}, {Name: "a", Rate: 1, Burst: 1e300}, {Name: "a", Rate: 1, Want: -1},
		{Name: "a", Rate: 1, Want: math.MaxInt}, {Name: "", Rate: 1}, {Name: "a", Rate: 1, Via: "nowhere"}, {Name: "a", Rate: 1, NewHome: "10.0.0.1:70000"},
	} {
		is.True(r.Validate() != nil)
		is.True(NewReceiver(nil).Take(r, &TakeReply{}) != nil)
	}
	for _, r := range []TakeReply{{Granted: -1}, {Granted: math.MaxInt}, {RetryAfterMS: math.MaxInt64}, {Level: math.NaN()}, {MovedTo: "nowhere"}} {
		is.True(r.Validate() != nil)
	}
	now := time.Now()
	b := bucket{at: now}
	retryAt := b.promise(now, 1e-300, 5)
	is.True(retryAt.After(now) && !retryAt.After(now.Add(field.MaxDuration)))
}
