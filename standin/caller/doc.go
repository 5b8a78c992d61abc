// Package caller is a load generator that stands in for the callers of a fleet. The
// command "cuminwheel standin caller", package soak and the tests of a node use it.
//
// A Generator sends the requests of a Workload to entries at a fixed rate: reads with
// GET and claims, which must not be executed more than once, with POST. It classifies
// each request by what its caller learns: answered by the target, refused without
// having run, outcome unknown, or no response at all.
//
// A caller may send a refused request again when Retry-After says so, as the same request
// under a new ID.
//
// Audit then compares these outcomes with the targets' records of the requests that
// they executed, which ReadExecutions reads.
package caller
