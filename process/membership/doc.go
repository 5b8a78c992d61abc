// Package membership knows the nodes of the fleet: where each one's gate is, and
// which service stands behind it.
//
// Nodes meet in the platform's store: each writes its record once and reads the
// others' once. After that, records travel between nodes. A record that is new
// to a node is told on at once to a few others at random, and each node compares
// a digest of its roster with that of another node from time to time, mostly of
// its own region, since bytes between regions are paid for. The same exchange
// carries the configuration to nodes that cannot reach the store.
//
// Whether a gate takes work is no part of a record: its answers say so.
package membership
