package quota

import "time"

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

// retryAt returns the reply's retry time.
func (r TakeReply) retryAt(now time.Time) time.Time {
	return now.Add(time.Duration(r.RetryAfterMS) * time.Millisecond)
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
	*reply = r.home.take(request)
	return nil
}

// Check replies whether the node that the request names is reached.
func (r *Receiver) Check(request CheckRequest, reply *CheckReply) error {
	reply.Reached = request.Via == "" || r.home.checkPeer(request.Via)
	return nil
}
