// Package metadata defines what the headers of requests and responses carry, in
// types that do not depend on the names of the headers. Implementations of the
// Headers interfaces of gate and entry convert between the two.
package metadata

import "time"

// CallerRequest is the metadata of a request from a caller.
type CallerRequest struct {
	// ID identifies the request. Each attempt of a caller has its own.
	ID string
	// Deadline is when the caller stops waiting; zero if the caller sets none.
	Deadline time.Time
	// Key is the key that identifies the caller's customer, or "".
	Key string
}

// TargetRequest is the metadata of a request to a target.
type TargetRequest struct {
	ID       string
	Deadline time.Time
	// Instance is the instance name of the target incarnation that the request is
	// for. A target with another instance name at the same address does not run
	// the request. Empty means any instance.
	Instance string
	// CallerService is the service on whose VM the request originated.
	CallerService string
	// Customer is the name of the caller's customer; empty if there is none.
	Customer string
}

// TargetResponse is the metadata of a response from a target.
type TargetResponse struct {
	// Signed means that the response carries the target's proof of origin, and its body as
	// the target wrote it.
	Signed bool
	// NotRun means that the target did not run the request.
	NotRun bool
	// HasRequestLimit means that the target takes at most RequestLimit requests per
	// second from all nodes together, until one of its responses no longer says so.
	HasRequestLimit bool
	RequestLimit    float64
	// Leaving means that the target leaves and must get no new requests.
	Leaving bool
	// InvalidNotice is the header value of a limit or of a leave that cannot be
	// parsed, or "".
	InvalidNotice string
}
