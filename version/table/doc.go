// Package table holds an immutable map that shares most of its memory with
// the map it was made from.
//
// A configuration of 280,000 customers changes a few entries at a time. A
// Table is split into shards by the hash of the key, and With copies only the
// shard that it changes, so that readers keep a whole, unchanging version
// while the next one is being built.
package table
