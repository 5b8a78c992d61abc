// Package logservice is a stand-in for the platform's append-only log, for
// tests and the demo. It keeps records in memory, lets them expire, and can be
// told to be down, to be slow, or to lose the answer to an append that has
// taken effect.
package logservice
