// Package link stands in for a bad network link. A Link is a proxy for TCP connections to
// one address, which delays or drops what it forwards, resets its connections or makes them
// silent. Links can share a Bandwidth, as the connections between two regions do. The soak and tests place it between nodes, and between nodes and the store.
package link
