// Package target stands in for a target: a server that executes a bounded number of
// requests of a service at once. The command "cuminwheel standin target" runs it, and
// the tests of a node use it.
//
// A Server executes requests by waiting for about the configured work time and records
// the ID of each request that it starts. It can inject faults that its health endpoint
// does not show. It audits that requests bring the customer that their ID names and no
// key. An Announcer tells the node beside the target that the target
// is ready, then that it drains, and deregisters it in the end.
package target
