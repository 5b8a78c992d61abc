// Package experiment measures how policies judge gray targets.
//
// A Simulation is one service with small fakes of its targets and callers in
// virtual time: requests arrive at random, each target works on a few at once,
// and faults follow a Scenario. A Policy chooses targets and ejects them.
// Guarded is this project's own: it runs the embeddable parts Detector,
// EjectionState and Ejections, with the delays of asking siblings. The others
// are baselines. The gate of the users' platform decides by
// health.CircuitBreaker, which no Simulation runs yet.
//
// What the fakes leave out: one entry sees all its outstanding requests, links
// lose nothing but what a scenario says, and nodes cost no time.
package experiment
