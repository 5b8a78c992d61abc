// Package refusal decides at the entry which requests wait and which are refused when no
// gate grants them a slot, and what a refusal promises.
//
// The load: all targets of a service shed load for 8.5 s. Callers from outside return when
// Retry-After says so, some of them at once. Calls that targets make are not retried: their
// first refusal fails the request that the target is processing. In the van routing
// deployment 1,246 requests failed in this way within those 8.5 s. Nothing on the wire
// tells the two kinds of callers apart.
//
// A Memory therefore learns for each route whether callers return, from the fingerprints of
// the requests that were refused. Decide holds the requests of routes whose callers do not
// return while they can still be served, and refuses the others early. Promise chooses the
// retry time of a refusal. A Memory also remembers the time promised to each refused
// request and its first soft deadline, so that an early return gets the same time again and
// a return in time goes before new requests.
//
// Decisions are pure functions. A Memory is bounded and expires, takes the time as an
// argument and has no lock of its own. A restart loses it; the default of each route then
// applies.
package refusal
