// Package peerrpc carries net/rpc calls between nodes, encoded with msgpack.
//
// A Pool keeps one connection to each peer that was called lately and closes
// it when it has been quiet, so that a fleet of thousands of nodes holds few
// connections. Every call has a deadline; a connection on which a call timed
// out is closed, since its peer may be reachable in one direction only.
package peerrpc
