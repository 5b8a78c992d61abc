// Package schedule decides which requests a gate starts, holds or refuses while its
// target is overloaded.
//
// It answers the following load: callers send 1.7 to 2.6 times the usual load for 3 to
// 7 s, single customers send 3 to 8 times their usual rate, and targets refuse every
// request for 8 s, up to 76 of the 83 of a service at once. Before, requests used up both
// of their attempts at such targets within milliseconds: at one service, 4,169 of 18,031
// arrivals were refused by the targets themselves.
//
// Everything here is a decision without network, locks or clock; the time is an argument.
// Package gate holds the state, under its own lock, and applies the decisions when the
// configuration's scheduling is shared.
package schedule
