// Package store stands in for the store of the platform. The command "cuminwheel
// standin store" serves it, and the tests of platform and of a node use it.
//
// A topic has partitions, which are append-only logs of records with consecutive
// offsets. A topic whose name begins with "keyed." also keeps the newest value of
// each key, which outlives the records. An append may be conditional on the end
// offset of the partition, and a read may wait for new records.
//
// The faults of the store are set over HTTP: it can be unavailable, slow or silent, lose
// the responses to writes, delete its records, and go back to an older state.
package store
