// Package customer holds the customers of one configuration version and finds them by the
// keys of their callers.
//
// The load it answers: each request of a caller needs one lookup, on a node with 0.16
// cores, among up to 280,000 customers, in 256 MB of memory that are mostly for other
// things. A Builder therefore takes the customers one at a time, so that the decoded list
// need not be held, and a Directory is a hash table of 16-byte digests. It never changes;
// a new configuration version brings a new one.
//
// Keys are kept only as digests that are salted with random bytes of the process, so that
// neither a memory dump nor two nodes' tables reveal or match keys. A directory is thus of
// no use in another process.
package customer
