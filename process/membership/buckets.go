package membership

import "github.com/cespare/xxhash/v2"

const (
	// recordsPerBucket is how many records a bucket holds on average: a record
	// that differs costs so many records and its share of the digests.
	recordsPerBucket = 2
	minBuckets       = 8
	// maxBuckets bounds what a peer may ask for and what a difference costs at
	// first, 9 KB.
	maxBuckets = 1024
)

// bucketCount returns into how many buckets a roster of so many records is
// parted.
func bucketCount(records int) int {
	n := minBuckets
	for n < maxBuckets && n*recordsPerBucket < records {
		n *= 2
	}
	return n
}

func bucketOf(node string, count int) int { return int(xxhash.Sum64String(node) % uint64(count)) }

// BucketDigests parts the records by the hash of their nodes' names into count buckets
// and returns the digest of each, equal for equal records.
func (r *View) BucketDigests(count int) []uint64 {
	if count < 1 || count > maxBuckets {
		return nil
	}
	out := make([]uint64, count)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.records {
		out[bucketOf(record.ControlAddress, count)] ^= record.digest()
	}
	return out
}

// RecordsInBuckets returns the records of the wanted buckets, of count.
func (r *View) RecordsInBuckets(wanted []int, count int) []Record {
	if count < 1 || count > maxBuckets || len(wanted) == 0 {
		return nil
	}
	isWanted := make([]bool, count)
	for _, i := range wanted {
		if i >= 0 && i < count {
			isWanted[i] = true
		}
	}
	var out []Record
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.records {
		if isWanted[bucketOf(record.ControlAddress, count)] {
			out = append(out, record)
		}
	}
	return out
}

// Len returns how many records there are, those of gone nodes included.
func (r *View) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}
