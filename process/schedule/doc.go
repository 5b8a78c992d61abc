// Package schedule decides which requests a gate starts, holds or refuses while its
// target is overloaded.
//
// It answers the following load: callers send 1.7 to 2.6 times the usual load for 3 to
// 7 s, single customers send 3 to 8 times their usual rate, and targets refuse every
// request for seconds. At such targets requests use up both of their attempts within
// milliseconds. Other targets, up to 76 of the 83 of a service at once, refuse about half
// of their requests for 8 s, whatever their load. They complete the more the more they
// get, and keep all their slots.
//
// Everything here is a decision without network, locks or clock; the time is an argument.
// Package gate holds the state, under its own lock, and applies the decisions when the
// configuration's scheduling is shared.
package schedule
