// Package soak runs a fleet of cuminwheel processes on one machine, injects faults
// from outside them and checks the guarantees given to callers. The command
// "cuminwheel soak" runs it, and TestFailedSeeds runs the seeds that have failed.
//
// The fleet has one stand-in store and, for each node, a stand-in target and three
// loopback proxies: in front of the node's gate, in front of its control address,
// and between the node and the store. The proxies delay, drop and reset
// connections; signals pause, terminate and kill processes, which are then
// restarted; the stand-ins inject faults of their own.
//
// A run has these phases:
//
//  1. Start the store, the nodes and the targets, publish a configuration and wait
//     until the fleet has converged: every node is ready, knows all others, has the
//     newest configuration and has opened its gate.
//  2. Send load while faults are injected. Callers keep their connections open
//     between requests. The seed determines the schedule of faults, which may
//     overlap.
//  3. Clear all faults, restart the processes that have exited and wait until the
//     fleet has converged again.
//  4. Send load without faults and check that a minimum share of the requests is
//     answered.
//  5. Stop the fleet and compare the responses that callers got with the targets'
//     records of the requests that they executed.
//
// The configurations of one seed in four have customers with quotas, whose keys the
// callers send. The schedule removes and adds keys and lowers a quota, and the audits of
// phase 5 also cover keys and quotas.
//
// Other writers leave odd records among those of the nodes and make odd calls; none of these
// may count as a node or be confirmed. Nodes are killed right after they have confirmed
// the leave of their target, whose earlier announcement then arrives again (odd.go).
//
// During phases 2 to 4 the configuration versions of the nodes are polled: no node
// may revert to an older version while its process runs, and each node in touch must have
// a version 3 s after its publication, also when the connections of all nodes have fallen
// silent before.
package soak
