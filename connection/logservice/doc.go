// Package logservice is the client of the platform's append-only log.
//
// An append whose answer is lost may or may not have taken effect; Append
// then returns ErrOutcomeUnknown and the caller finds out by reading for the
// record's id. Read returns records by offset and waits for new ones.
package logservice
