// Package entry accepts requests from the callers on its VM and dispatches each
// one to a gate that grants it a slot. The node serves its caller listener with
// Entry.Serve.
//
// If the configuration has customers, a request first needs a known key, unless its route
// is public (authentication.go). key_watch.go withdraws the requests that await a grant
// when their key is removed. Nothing of the key leaves the entry.
//
// Each gate of a service is a candidate. Its state is what it last reported with
// a response: whether it accepts requests, whether its target is suspected, its
// load and its last success. Reported states expire. A gate that cannot be reached is
// unreachable until a probe or a request gets its state again. Probes query a
// gate for its state without sending it a request.
//
// A request runs through selection passes, from nearby gates with a free slot
// to any gate that can grant one in time. An attempt at a gate ends in one of
// three ways:
//
//   - a response from the target,
//   - a refusal: the target has not run the request, and other gates may be
//     tried,
//   - a failure: the target may have run the request, and only an idempotent
//     request is sent to another one.
//
// An idempotent request is hedged, that is, sent to a second target while the first
// attempt goes on, when its gate reports that it has stalled or when half of its time
// is over.
//
// If the configuration asks for even balancing, package balance chooses the gates
// instead of the lowest cost in selection.go. Its knowledge (even.go) is the states that
// gates report, the entry's own requests, and the pace of each target and the round-trip
// time to each gate, measured from the requests.
//
// If the configuration's scheduling is shared, package refusal decides which requests wait for
// further rounds, and what a refusal promises. Requests whose callers would not return are
// held; a request that returns before its promised time is refused without an attempt.
//
// Decisions are kept apart from I/O. selection.go chooses the next gate and the
// time that the request may wait there, candidate.go tracks the state of a gate
// and its expiry, and dispatch_state.go tracks one request, shared.go its part of the
// shared scheduling. dispatch.go and probe.go do the I/O.
package entry
