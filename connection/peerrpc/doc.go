// Package peerrpc carries net/rpc calls between nodes, encoded with msgpack. The
// nodes use it to exchange membership records.
//
// A node calls its peers through a Pool and serves their calls with Serve. The pool
// holds at most one connection to each peer. It opens the connection with the
// first call, shares it between concurrent calls, and closes it once it has been
// idle for 20 s, so that a fleet of thousands of nodes holds few connections.
//
// Every call has a deadline. A call on a reused connection on which nothing arrives is
// repeated on a new one; a long reply that still arrives is not given up. A connection on
// which a call timed out is closed, because its peer may be reachable in one direction only.
package peerrpc
