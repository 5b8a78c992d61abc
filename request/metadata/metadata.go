// Package metadata holds what the headers of requests and answers say, in types
// that do not depend on how the headers are named.
package metadata

import "time"

// CallerRequest is what a caller's request says.
type CallerRequest struct {
	// ID names the request; each attempt of a caller has its own.
	ID string
	// Deadline is when the caller stops waiting; zero if it does not say.
	Deadline time.Time
}

// TargetRequest is what a target is told with a request.
type TargetRequest struct {
	ID       string
	Deadline time.Time
	// Instance is the start of the target that the request is for; another one
	// at the same address does not run it. Empty names none.
	Instance string
	// CallerService is the service on whose VM the request began.
	CallerService string
}

// TargetResponse is what a target's answer says.
type TargetResponse struct {
	// Signed means that the answer bears the target's proof of origin.
	Signed bool
	// NotRun means that the target did not run the request.
	NotRun bool
}
