// Package quarantine finds the requests that crash the targets which run them, so that
// no node sends them to further targets.
//
// A gate whose target closes a connection under a request checks whether the target still
// accepts connections. A gray target does: it resets single requests. If it does not, the
// requests that were lost are recorded with the incarnation that has ended. The same
// request may come again at any node, so a Table holds this evidence by the request's
// fingerprint, and nodes exchange it (package membership). Each node then decides by
// itself, with the same result: a request under which Threshold incarnations have
// crashed is refused.
//
// A crash also takes requests along that are not its cause; of a popular request, one is at
// work at nearly every target. One success since the first crash, at any target, clears a
// request, since one that crashes targets never succeeds. Nodes remember recent successes,
// because the evidence may reach them after the success that disproves it.
//
// A quarantined request is sent nowhere, so that no success could clear it. It therefore
// gets a few trials, which are rationed for the whole fleet: they come after a delay, at
// gates that all nodes elect alike, and end after maxTrials crashes (trial.go).
//
// Tables only grow by union: the incarnations under a request, and whether it is
// cleared. The order in which nodes hear of evidence therefore does not matter. A record
// is forgotten Retention after its last crash, and a full table drops the records with
// the fewest crashes first. Messages carry the time that is left, since the clocks of
// nodes differ.
package quarantine
