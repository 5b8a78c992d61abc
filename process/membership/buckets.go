package membership

import "github.com/cespare/xxhash/v2"

const (
	// recordsPerBucket is the mean number of records in a bucket. A record that
	// differs costs the transfer of all records in its bucket, and its share of
	// the bucket digests.
	recordsPerBucket = 2
	minBuckets       = 8
	// maxBuckets limits the count that a peer may request, and with it the size
	// of the digests that are sent when two views differ: 9 KB.
	maxBuckets = 1024
)

// bucketCount returns the number of buckets for a view with this many records.
func bucketCount(records int) int {
	n := minBuckets
	for n < maxBuckets && n*recordsPerBucket < records {
		n *= 2
	}
	return n
}

func bucketOf(address string, count int) int { return int(xxhash.Sum64String(address) % uint64(count)) }

// BucketDigests distributes the records over count buckets, by the hash of
// their control addresses, and returns the digest of each bucket. Buckets with
// equal records have equal digests. A count out of range yields nil.
func (v *View) BucketDigests(count int) []uint64 {
	if count < 1 || count > maxBuckets {
		return nil
	}
	digests := make([]uint64, count)
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.records {
		digests[bucketOf(r.ControlAddress, count)] ^= r.digest()
	}
	return digests
}

// RecordsInBuckets returns the records in the wanted buckets, when the records
// are distributed over count buckets. Buckets out of range are ignored.
func (v *View) RecordsInBuckets(wanted []int, count int) []Record {
	if count < 1 || count > maxBuckets || len(wanted) == 0 {
		return nil
	}
	isWanted := make([]bool, count)
	for _, i := range wanted {
		if i >= 0 && i < count {
			isWanted[i] = true
		}
	}
	var found []Record
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.records {
		if isWanted[bucketOf(r.ControlAddress, count)] {
			found = append(found, r)
		}
	}
	return found
}

// Len returns the number of records, those of nodes that left included.
func (v *View) Len() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.records)
}
