// Package target stands in for a server of a service: it runs a bounded number
// of requests, announces itself to the node beside it, and can be sick in ways
// that its health endpoint does not show.
package target
