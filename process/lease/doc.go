// Package lease decides who may serve a claim seat, while the log is up and
// while it is gone.
//
// The log says which node holds a seat and which node is its guardian. The
// holder may serve only under a lease that the guardian renews directly, so
// that an outage of the log ends no lease. Only the holder and the guardian
// may put the next epoch into the log, and each of them first ends the present
// one: the holder by ceasing to serve, the guardian by granting no more and
// letting the last grant run out. When an epoch stands in the log, therefore,
// no lease of an earlier one is live.
//
// The holder counts its lease from before it asked and the guardian from after
// it granted, so that only the rates of their clocks matter. A guardian that
// restarts has forgotten its grants and waits for a full term.
package lease
