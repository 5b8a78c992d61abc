// Package ledger folds the records of the platform's log into a State.
//
// The fold is pure: every reader applies the same records in the order of
// their offsets by the same rules, so that all readers agree on which records
// are valid without a vote. A record that conflicts with an earlier one is
// rejected by every reader alike, so an append needs no compare-and-set, and a
// record that stands in the log twice is applied once.
//
// A Journal holds the newest State of a process together with the records
// that led to it, for the peers that read from this process and not from the
// log.
package ledger
