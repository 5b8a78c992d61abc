// Package node assembles a node from its parts and runs it: the entry, the gate,
// the membership gossip, the quotas and the configuration follower.
//
// A node goes through these states:
//
//   - starting: all addresses are open, but the node reports that it isn't ready
//     until it knows a configuration and has discovered the other nodes: from
//     their records in the store, or from a node that has.
//   - serving: the node reports that it is ready. The entry serves callers and the
//     gate serves entries.
//   - leaving: the node reports that it isn't ready. New requests are served for
//     callerDrainTime; then no further ones are accepted, and those in progress
//     are finished. What remains shortly before the deadline is cancelled.
//   - stopped: all connections and tasks have ended.
//
// The command creates a node with Start, which returns the function that makes
// the node leave. Package platform supplies what the node needs from outside the
// fleet, as a Platform.
package node
