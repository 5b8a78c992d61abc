// Package contact decides from the results of a node's own traffic whether the node is
// isolated from the other nodes.
//
// The load that it answers: a third of the VMs is cut off from all others for ten
// seconds, one VM by itself or some together, while their callers and targets go on. An
// isolated node can serve its callers with the target beside it alone, and calls of that
// target fail. It should send its callers elsewhere.
//
// A Tracker keeps the last result for each peer that the node has called: gossip and
// requests to gates both count, so that no message is sent for it. The peers of other
// parts of the fleet that are merely down fail too; a node is isolated only if it has tried
// several distinct peers lately and reached none.
package contact
