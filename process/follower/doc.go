// Package follower keeps the active configuration of a node up to date.
//
// Current holds the active configuration. Package node creates it and a
// Follower, which reads the newest configuration from a Source, the platform's
// store, when the node starts, and then waits for changes as long as that is the
// node's Duty. Package membership hands configurations from other nodes to
// Current, and tells when the Duty begins and ends. Whichever way a configuration arrives, Current accepts it only
// if its version is higher than that of the active one, so that a node never
// reverts to an older version.
package follower
