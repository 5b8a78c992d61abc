// Package outcome defines the possible results of a request.
//
// A caller gets exactly one of three: the complete response (Answered); a
// refusal, which guarantees that the request was not run (NotRun); or a failure
// after which the request may or may not have been run (Unknown). Refusals and
// failures are Problems, which Refused and Failed create. A caller reads them
// from the headers Cuminwheel-Outcome and Cuminwheel-Code and from a problem
// document (RFC 9457) in the body.
package outcome
