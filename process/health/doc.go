// Package health decides from real work whether a target is sick.
//
// A Judge watches the requests of one target. Its reference is the target's
// own history of latencies: a request that outlasts nearly all earlier ones is
// evidence of sickness as soon as its age shows it, before it ends, and so is
// a failure. The evidence is added up by a sequential test (a CUSUM of log
// likelihood ratios), which reacts within a few requests to a change and still
// forgets single slow requests.
//
// A Judge only suspects. Whether a suspected target is taken out is decided
// together with its siblings (package floor): when they are suspected too, the
// service is slow and no target is sick. A Standing keeps what follows for one
// target: ejection, trial and return, with a growing time out for a target
// that flaps.
package health
