// Package balance chooses the gate that gets a request so that the load of a
// service is even.
//
// Its load: many nodes choose at the same moment, and each one learns a gate's
// state only from the responses to its own requests. With 100 nodes and 80 gates a
// node hears from a gate every few seconds, so that most knowledge is missing or
// old, and nodes that all take the lowest cost choose the same gates.
//
// A Selector therefore compares a few random gates by their expected time. The
// expected time counts what the gate has reported, discounted by its age towards
// the mean of the gate's data centre, and the node's own requests sent since. A gate
// of which nothing is known counts as the mean, so that it keeps getting its share
// of the requests. Gates of farther data centres are chosen only if their expected
// time, the trip included, is lower by a margin.
//
// Decisions are pure: knowledge comes in with its age, and there is no clock, no lock
// and no network.
package balance
