package health

import (
	"math"
	"time"
)

// history is a decaying histogram of latencies in buckets of equal ratio.
type history struct {
	counts [historyBuckets]float32
	total  float32
}

const (
	historyBuckets = 96
	// historyBase is the upper bound of the first bucket.
	historyBase = 100 * time.Microsecond
	// historyRatio is the ratio of the bounds of neighbouring buckets.
	historyRatio = 1.15
	// maxHistoryTotal is the total at which all counts are halved, so that newer
	// latencies outweigh older ones.
	maxHistoryTotal = 4000
)

var logHistoryRatio = math.Log(historyRatio)

func (h *history) add(latency time.Duration) {
	h.counts[bucketIndex(latency)]++
	h.total++
	if h.total < maxHistoryTotal {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// quantile returns the upper bound of the bucket that holds quantile q.
func (h *history) quantile(q float64) time.Duration {
	rest := float32(q) * h.total
	for i, c := range h.counts {
		rest -= c
		if rest <= 0 && c > 0 {
			return bucketBound(i)
		}
	}
	return bucketBound(historyBuckets - 1)
}

// bucketIndex returns the index of the bucket that holds a latency. The last
// bucket also holds all longer ones.
func bucketIndex(latency time.Duration) int {
	if latency <= historyBase {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(latency)/float64(historyBase)) / logHistoryRatio))
	return min(i, historyBuckets-1)
}

// bucketBound returns the upper bound of bucket i.
func bucketBound(i int) time.Duration {
	return time.Duration(float64(historyBase) * math.Pow(historyRatio, float64(i)))
}
