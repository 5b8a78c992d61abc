// Package follower brings the records of the platform's log to every node.
//
// In each data centre the nodes are ranked by a hash. The first few read the
// log itself; each other node waits at two parents of a lower rank, which
// answer as soon as they have more. The log so has a few readers for each data
// centre however many nodes there are, and a record crosses each link between
// regions once for each reader. A node whose parents do not answer asks other
// nodes and at last the log. While the log is gone, nodes that restart take a
// snapshot from their peers.
package follower
