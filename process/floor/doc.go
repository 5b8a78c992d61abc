// Package floor lets gates eject targets without reducing a service's healthy
// capacity below its floor. It needs no coordinator, no log and no agreement
// between clocks.
//
// A gate that wants to eject a target first starts a proposal
// (Ejections.Propose). It then queries the gates of the sibling targets for their
// Capacity, adds the healthy slots that they confirm (Proposal.AddHealthySlots)
// and ejects the target only if they cover the floor (Proposal.Commit). While a
// target has a pending proposal or is ejected, its gate does not confirm it as
// healthy (Ejections.CountsTowardsFloor).
//
// These rules suffice. Of all targets that are out of service at some moment,
// take the one that was proposed last. The targets that were confirmed to that
// proposal were neither out nor proposed after it started, and none of them was
// proposed since, so they are still in service. Lost or late replies, network
// partitions and restarts cost time but never break the floor.
//
// A crash of a target is not an ejection. The guarantee is that at each ejection
// targets with at least the floor's capacity have been confirmed as healthy and are
// not taken out by any other ejection.
//
// The model in spec/floor.pml checks these rules. Its actions propose, confirm and
// commit stand for Ejections.Propose, Ejections.CountsTowardsFloor and
// Proposal.Commit. So far only package experiment runs this code.
package floor
