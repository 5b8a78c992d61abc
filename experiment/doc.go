// Package experiment compares policies against gray targets, which still pass
// active probes while they stall, slow down or fail requests.
//
// A Simulation runs one service in virtual time: requests arrive at random, each
// target serves a few at once and queues the others, and faults follow a Scenario.
// A Policy chooses the target of each request and ejects targets. The cuminwheel
// policy is this project's own: it runs the Detector, the EjectionState and the
// Ejections of packages health and floor, with the delay of querying sibling gates.
// The others are baselines. The gate of a node on the platform decides by
// health.CircuitBreaker instead, which no Simulation runs yet.
//
// Measure runs policies with several seeds and returns a Summary of each, which
// PrintTable and Plot present. The command "cuminwheel experiment" calls them.
//
// The model is simpler than a real fleet: a single entry sends all requests and
// so knows all outstanding ones, nothing is lost but by the faults of the scenario,
// and nodes take no time of their own.
package experiment
