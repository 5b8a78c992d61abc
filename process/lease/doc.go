// Package lease decides which node may serve a claim seat, while the log is
// up and while it is gone.
//
// The log names a few nodes as the members of each seat. One of them at a time
// may serve it: the one to which a majority of the members has granted a lease
// for a short term. Members remember grants, nothing else, and grants run out
// by themselves, so that the death of one member costs a term and needs no
// log. A new tenure begins at an instant when no earlier lease is live; the
// keys issued before it may have run at an earlier holder.
//
// The log is needed only to replace members. Whoever puts the next epoch into
// it has first closed the present one at a majority of its members and waited
// until their grants are over, so that leases of two epochs never overlap.
//
// The holder counts its lease from before it asked and a member from after it
// granted, so that only the rates of their clocks matter, and a margin covers
// those. A member that restarts has forgotten its grants and grants nothing
// for a term.
//
// The model in spec/claim.pml checks these rules; Granter.Grant, Holder.Won
// and Holder.Tenure are the code that it stands for.
package lease
