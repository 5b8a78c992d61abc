// Package claim makes requests that must never repeat run at most once.
//
// Each such request carries an idempotency key that holds its time of issue
// (a UUID of version 7). A key belongs to one seat, and a seat has one holder
// at a time, which remembers every key that it has begun for a window. The
// holder alone begins a key. A key issued before the holder took the seat, or
// before the window, may have run at an earlier holder, so it is answered
// with "outcome unknown" and never run.
//
// The model in spec/claim.pml checks these rules; Admits and Memory.Begin are
// the code that it stands for.
package claim
