// Package health detects unhealthy targets from the requests that they serve.
//
// A Detector observes the requests of one target. Its reference is the target's
// own history of latencies: a request that outlasts nearly all earlier ones is
// evidence as soon as its age shows it, before it ends, and so is a failure. A
// sequential test (a CUSUM of log likelihood ratios) adds up the evidence. It
// reacts to a change within a few requests and still forgets single slow
// requests.
//
// A Detector only suspects. Whether a target is ejected is decided together
// with its siblings (package floor): if they are suspected too, the whole
// service is slow and no single target is unhealthy. An EjectionState then
// takes the target from PhaseServing to PhaseEjected, to PhaseTrial and back to
// PhaseServing or PhaseEjected, with longer ejections for a target that flaps.
//
// A CircuitBreaker decides on its own, from the last failures and stalls of one
// target, which requests the target may be given now. The gate calls it before it admits
// a request and records the result of each request. So far only package
// experiment runs Detector and EjectionState.
package health
