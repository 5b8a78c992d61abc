// Package gate admits requests to the target beside a node and forwards them.
//
// Only processes on the same VM can reach a target, so every request of the
// fleet passes its gate: the gate alone starts requests, and a request that it
// refuses has not run. Entries learn the state of the gate from its responses
// and need no other knowledge of the target.
//
// # Target state
//
// A target announces itself to its node. An incarnation is one run of the
// target, identified by its instance name and start time; a target may restart
// under the same name. The gate takes the target to be in one of these states:
//
//   - unknown: no incarnation has announced itself yet, or a response has shown
//     that another target uses the address;
//   - open: the current incarnation accepts requests;
//   - draining: it has announced, or said in a response, that it accepts no more
//     requests, for good;
//   - deregistered: it has announced that it leaves for good.
//
// Only an open target gets requests. A gate that has restarted may have confirmed a leave
// before; it recovers first, and admits nothing meanwhile (departures.go). Independently of these states, a circuit
// breaker makes the target suspected after failures; a suspected target gets
// one trial at a time, of requests that are idempotent and can be retried
// elsewhere. A request that lasts far longer than those of its route usually do has
// stalled: it counts as a failure before it ends. While the node is leaving, the
// gate admits only requests that are expected to finish before the shutdown, and
// none after Drain.
//
// A target in need names, in its responses, how many requests per second it takes from
// all nodes together. The limiter counts every request that the target is sent, whatever
// its kind. What a target has said about itself is reported to entries, which return it
// with their requests, so that it outlives a restart of the gate (notice.go).
//
// A gate that has restarted, and that no node could tell which leaves it had confirmed before,
// doubts a target that is older than itself: the target gets requests only while it announces
// itself regularly, until that has proved that it is running (doubt.go).
//
// # Requests
//
// Serve handles a request in these steps. admit refuses it, queues it or grants
// it one of the target's slots. The body is read only after the grant, which
// tells the entry that the request is about to run. forward sends the request to
// the target and classifies the response, and release returns the slot, records
// the result and grants free slots to queued requests. If the request stalls before
// that, watchForStall has the entry told in an interim response. A gate also charges
// retries of failed requests to its share of the fleet-wide retry limit.
//
// # Overload
//
// If the configuration's scheduling is shared, package schedule decides when a target that
// refuses everything gets its next request, which of the queued requests goes next, and when
// refused callers are to return (scheduling.go, shared.go); a request whose announced body
// does not fit into memory is refused before the body is read (bodies.go). Otherwise the
// order of queue.go applies.
//
// # Callers
//
// Package node creates the gate with New, serves its listener with Serve, reads
// State, InFlight and IsTargetLeaving, and calls Drain when the node leaves.
// Package platform calls Announce and Deregister for the target.
package gate
