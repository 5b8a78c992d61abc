// Package gate guards the targets that announced themselves to this node.
//
// The gate owns the slots of its targets and so knows for certain whether a
// request began: what it refuses was not run. Requests that find no free slot
// wait in a queue that is fair between customers, but only if they can still
// be served in time; all others are refused at once with the time to come
// back. Targets whose announcement lapses, that drain or that are ejected get
// no new work.
//
// A Pool holds the targets of one service, a Gate all pools, and the Health
// loop watches each target's work and ejects the sick with the consent of
// their siblings.
package gate
