package quota

import (
	"time"

	"github.com/cuminwheel/cuminwheel/request/field"
)

// ReceiverName is the name under which a Receiver is served.
const ReceiverName = "Quota"

// Names of the calls between nodes.
const (
	methodTake  = "Quota.Take"
	methodCheck = "Quota.Check"
)

// TakeRequest requests tokens of a customer. Its names on the wire are short, since
// traffic between regions is billed.
type TakeRequest struct {
	Name  string  `codec:"n"`
	Rate  float64 `codec:"r"`
	Burst float64 `codec:"b,omitempty"`
	Want  int     `codec:"w,omitempty"`
	// Waiting is the number of requests that wait for a token. Each gets a retry time of
	// its own if it gets no token.
	Waiting int `codec:"p,omitempty"`
	// Forwarded means that the receiver must not pass the call on.
	Forwarded bool `codec:"f,omitempty"`
	// Via asks the receiver to pass the call on to this node.
	Via string `codec:"v,omitempty"`
	// NewHome is the address of the sender if it has become the customer's home and
	// requests what is left in the receiver's bucket.
	NewHome string `codec:"h,omitempty"`
}

// TakeReply is the reply to a TakeRequest.
type TakeReply struct {
	Granted int `codec:"g,omitempty"`
	// RetryAfterMS, in ms, is when the first request without a token should be retried;
	// further ones follow 1/rate apart.
	RetryAfterMS int64 `codec:"t,omitempty"`
	// NotHome means that the receiver may not grant tokens of the customer now.
	NotHome bool `codec:"x,omitempty"`
	// HasBucket means that the receiver had a bucket with Level tokens, which now belong
	// to the new home.
	HasBucket bool    `codec:"k,omitempty"`
	Level     float64 `codec:"l,omitempty"`
	// MovedTo is the node that has the bucket instead of the receiver.
	MovedTo string `codec:"m,omitempty"`
}

// Validate returns a *field.Error for the first invalid field, or nil.
func (r TakeRequest) Validate() error {
	var c field.Checker
	c.Name("name", r.Name)
	c.Float("rate", r.Rate, 0, field.MaxRate)
	c.Float("burst", r.Burst, 0, field.MaxRate)
	c.Int("want", int64(r.Want), 0, field.MaxCount)
	c.Int("waiting", int64(r.Waiting), 0, field.MaxCount)
	if r.Via != "" {
		c.Address("via", r.Via)
	}
	if r.NewHome != "" {
		c.Address("new_home", r.NewHome)
	}
	return c.Err()
}

// Validate returns a *field.Error for the first invalid field, or nil.
func (r TakeReply) Validate() error {
	var c field.Checker
	c.Int("granted", int64(r.Granted), 0, field.MaxCount)
	c.Int("retry_after_ms", r.RetryAfterMS, 0, field.MaxDuration.Milliseconds())
	c.Float("level", r.Level, 0, 2*field.MaxRate)
	if r.MovedTo != "" {
		c.Address("moved_to", r.MovedTo)
	}
	return c.Err()
}

// retryAt returns the reply's retry time.
func (r TakeReply) retryAt(now time.Time) time.Time {
	return now.Add(field.Millis(r.RetryAfterMS))
}

// CheckRequest asks whether the receiver is reached, or whether it reaches Via.
type CheckRequest struct {
	Via string `codec:"v,omitempty"`
}

// CheckReply is the reply to a CheckRequest.
type CheckReply struct {
	// Reached means that the receiver reaches the node that the request names.
	Reached bool `codec:"o,omitempty"`
}

// Receiver serves the calls of other nodes.
type Receiver struct{ home *Home }

// NewReceiver returns a receiver that replies from the home's buckets.
func NewReceiver(h *Home) *Receiver { return &Receiver{home: h} }

// Take grants tokens, or passes the call on to the customer's home.
func (r *Receiver) Take(request TakeRequest, reply *TakeReply) error {
	if err := request.Validate(); err != nil {
		return err
	}
	*reply = r.home.take(request)
	return nil
}

// Check replies whether the node that the request names is reached.
func (r *Receiver) Check(request CheckRequest, reply *CheckReply) error {
	if request.Via != "" {
		var c field.Checker
		c.Address("via", request.Via)
		if err := c.Err(); err != nil {
			return err
		}
	}
	reply.Reached = request.Via == "" || r.home.checkPeer(request.Via)
	return nil
}
