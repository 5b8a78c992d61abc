// Package store stands in for the platform's store: topics of records, of which
// those whose names begin with "keyed." keep the newest value of each key. It
// can be down, slow, silent, lose answers and forget its history.
package store
