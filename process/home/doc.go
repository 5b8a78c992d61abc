// Package home runs the claims of the seats that this node holds.
//
// A claim's key belongs to one seat of its service. Whatever node a claim
// enters by, it is sent to the seat's holder, which remembers the key before it
// hands the request on to a gate, once, and keeps the answer for repeats.
// Keeper proposes holders for vacant seats and hands on the seats of nodes
// that are gone or leaving.
package home
