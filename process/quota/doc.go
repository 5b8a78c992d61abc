// Package quota limits the requests of each customer over all nodes together.
//
// It answers the load of customers that send 3 to 8 times their usual rate for 5 to
// 8 s, at any of a hundred or more nodes, with quotas of 5 to 162 requests per second.
// In each window of 5 s at most (rate x 5 s + burst) x 1.1 + 20 requests of a customer
// may run. See docs/design/quota.md.
//
// Each customer has a home, the first node in rendezvous order, whose Home grants
// tokens from a bucket. The Client of the node that a request arrives at holds granted
// tokens for tokenTTL at most, counted from before its call, so that a lost or late
// reply loses tokens and never adds any. If the home cannot be reached, the next
// node in rendezvous order relays calls to it, and takes over after takeoverDelay.
//
// A node that is cut off from part of the fleet grants the share of the rate that
// corresponds to the peers that it reaches. Tests in virtual time partition, kill and
// restart nodes and check the rule for every window.
//
// bucket.go, election.go, contacts.go and usage.go hold the decisions: they have no
// network, no locks and no clock. Package entry calls the Client through an interface
// of its own; package node serves the Receiver.
package quota
