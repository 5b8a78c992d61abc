// Package gate guards the target beside a node.
//
// Nobody but its own VM reaches a target, so what the gate decides binds: it
// alone begins requests, and a request that it refuses has not run. It knows
// the target's start, whether it drains, which slots are taken and whether the
// last requests failed. Entries learn from its answers and need know nothing.
package gate
