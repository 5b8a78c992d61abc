// Package roster tells each node which other nodes and targets there are.
//
// Every node owns one record, with its targets in it, and alone raises the
// record's version. Changed records travel as rumours from node to node,
// mostly inside a data centre; a digest of the whole roster, exchanged now and
// then, finds what rumours missed. Nothing is sent while nothing changes but
// the digests and the heartbeats, and a heartbeat goes only to the few nodes
// that follow on a hash ring, so that traffic does not grow with the fleet.
//
// A node that misses its heartbeats is declared gone only when other nodes,
// asked as witnesses, cannot reach it either: a fault that one node sees alone
// lies on the path to it.
package roster
