// Package distribution decides how a configuration gets from the platform's store to all
// nodes: who reads the store, whom a node tells of a new version, and whom it asks for one.
//
// The load pattern that it answers: all nodes need the same bytes within seconds, the
// operator always publishes the whole configuration, and regions share a link of limited
// bandwidth with the requests of callers. If each node reads the store, a link carries as
// many copies of each version as there are nodes behind it; changes in quick succession
// then wait for each other, and what is late is asked for again.
//
// A Tree gives each node its rank among the nodes of its region, in an order that follows
// from their addresses alone. The nodes of the lowest ranks are the readers of the region:
// they wait for changes at the store. The others are their descendants, in blocks: each
// block of nodes has a parent block, and each node of the parent block tells all nodes of
// the block of a new version. So no role is handed over, a version reaches all nodes in a
// few steps inside the region, and a node misses it only if all of its parents do. Nodes
// that do not respond are left out of the tree of the node that has called them.
//
// A Watch decides when a node that is no reader reads the store nevertheless: it asks its
// parents regularly how long ago a reader was known to be at work, and reads if that was
// too long ago, nodes of low ranks first.
//
// Holders decides which node is asked for a version: one of the own region first, another
// one after a failure, and a node of another region only when no near one has it.
//
// Package membership applies the decisions: it carries the messages and keeps the state.
package distribution
