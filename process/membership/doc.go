// Package membership keeps each node's view of the fleet: the address of every
// node's gate and the service of the target behind it.
//
// A View holds one Record for each node. A record is live until its node leaves
// for good; it is then kept with Gone set, so that older records of the node
// which still circulate don't bring it back. Of two records of one address the
// one with the higher Incarnation supersedes the other; if these are equal, the
// one with Gone set does. Departures are kept in any case (Record.join).
//
// Nodes discover each other through the platform's store: each writes its
// record and reads the others' once when it starts, and writes it again when the
// store has lost records. A view is discovered once it has been filled from there, or from
// a node whose view is (discovery.go). From the start on a Gossiper spreads records from
// node to node. Records that are new to a node are pushed at once to a few random nodes, and
// each node regularly compares a digest of its view with that of a random node, mostly one
// of its own region, since traffic between regions is billed.
//
// The same calls carry configurations: the Gossiper applies the decisions of package
// distribution on who reads the store (readers.go), tells and asks whom (versions.go), and
// transfers the difference between two versions (transfer.go).
//
// A record also lists the departures of the node's target: the leaves that its gate has
// confirmed. A node that restarts gets them back with its former record, from the store
// or from any node that holds it (departures.go).
//
// Package node creates the View and the Gossiper and serves the Receiver to
// other nodes; package entry reads the View to find gates.
//
// Whether a gate accepts work is not part of its record: the gate's responses
// report it.
package membership
