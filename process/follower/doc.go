// Package follower keeps a node's configuration the newest that it can learn of.
//
// The operator's newest configuration lies in the platform's store. A node reads
// it at its start and then waits for changes. While the store is away, other
// nodes hand the configuration on. Whatever way one comes, only a higher version
// than the one in force is taken, so that none ever reverts.
package follower
