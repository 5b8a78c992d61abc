// Package configuration defines what operators publish: services with their
// routes and floors, and customers with their limits.
//
// A Change is what one publish carries: entries to put and names to remove.
// A Configuration is the immutable result of all accepted changes. Each entry
// remembers the version (the log offset) that last touched it, so that two
// operators conflict only when they touch the same entry.
package configuration
