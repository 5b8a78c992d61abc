// Package outcome names what can become of a request.
//
// A caller gets exactly one of three: the whole answer; a refusal, which says
// that the request was not run; or a failure whose outcome is unknown. The
// header Cuminwheel-Outcome and a problem document (RFC 9457) say which.
package outcome
