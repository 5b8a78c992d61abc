package schedule

import (
	"math"
	"time"
)

const (
	// maxLevels is the number of levels of concurrency that are told apart. A target with
	// more slots has several numbers of running requests in each.
	maxLevels = 16
	// maxCurveRoutes bounds the routes whose durations are compared; a service has only a
	// few.
	maxCurveRoutes = 64
	// maxSamples bounds the weight of the past in the mean duration of a level. The mean of
	// 200 requests of a route is known to some hundredths.
	maxSamples = 200
	// minSamples is the number of requests from which a level counts.
	minSamples = 30
	// sampleTTL is how long a level counts without a request. A limit that has settled
	// below the slots is lifted then and measured again. It is longer than a burst, and
	// short because a target that was slow for some seconds under full load would
	// otherwise be kept below its slots for as long.
	sampleTTL = 10 * time.Second
	// curveInterval is the time between two computations of the ceiling.
	curveInterval = 250 * time.Millisecond
	// nearBest is the share of the best completion rate from which a level is as good as
	// the best, and lossToLower the share below which a higher level lowers the ceiling.
	nearBest    = 0.97
	lossToLower = 0.9
	// minCeilingShare is the share of the slots below which the ceiling does not fall. An
	// overload elsewhere, on which the target waits, also looks like a slowdown at high
	// concurrency.
	minCeilingShare = 0.5
	// curveRounds is the number of rounds in which the durations of routes and levels are
	// separated. Two suffice if each route has been measured at most levels.
	curveRounds = 3
)

// level is the duration of one route's requests at one level of concurrency.
type level struct {
	// logMean is the mean of the logarithm of the seconds.
	logMean float64
	samples int
	lastAt  time.Time
}

// curve measures how the duration of requests grows with the number that runs, and from
// that the number at which the target completes most.
type curve struct {
	slots      int
	routes     map[uint32]*[maxLevels + 1]level
	computedAt time.Time
	ceiling    int
}

// reset forgets all measurements.
func (c *curve) reset(slots int) {
	*c = curve{slots: slots, ceiling: slots, routes: map[uint32]*[maxLevels + 1]level{}}
}

// levels returns the number of levels.
func (c *curve) levels() int { return min(c.slots, maxLevels) }

// record adds a request of a route that ran for the given time beside others; running is
// their mean number, including it.
func (c *curve) record(route uint32, took time.Duration, running float64, now time.Time) {
	r := c.routes[route]
	if r == nil {
		if len(c.routes) >= maxCurveRoutes {
			return
		}
		r = new([maxLevels + 1]level)
		c.routes[route] = r
	}
	i := int(math.Ceil(running * float64(c.levels()) / float64(c.slots)))
	l := &r[min(max(1, i), c.levels())]
	if now.Sub(l.lastAt) > sampleTTL {
		*l = level{}
	}
	l.samples++
	l.lastAt = now
	l.logMean += (math.Log(max(took, time.Microsecond).Seconds()) - l.logMean) / float64(min(l.samples, maxSamples))
	if now.Sub(c.computedAt) >= curveInterval {
		c.computedAt = now
		c.ceiling = c.compute(now)
	}
}

// compute returns the highest number of running requests at which the target completes
// about the most, or the slots if there is no evidence that more complete less.
func (c *curve) compute(now time.Time) int {
	slowdown, samples := c.slowdowns(now)
	n := c.levels()
	rate := func(i int) float64 { return float64(i) * math.Exp(-slowdown[i]) }
	highest := 0.0
	for i := 1; i <= n; i++ {
		if samples[i] >= minSamples {
			highest = max(highest, rate(i))
		}
	}
	best, isWorseAbove := n, false
	for i := 1; i <= n; i++ {
		switch {
		case samples[i] < minSamples:
		case rate(i) >= nearBest*highest:
			best, isWorseAbove = i, false
		case rate(i) < lossToLower*highest:
			isWorseAbove = true
		}
	}
	if !isWorseAbove {
		return c.slots
	}
	least := math.Ceil(minCeilingShare * float64(c.slots))
	return int(max(least, math.Floor(float64(best*c.slots)/float64(n))))
}

// slowdowns returns, by level, the logarithm of the factor by which requests take longer
// there, and the number of requests measured. It separates the durations of routes and of
// levels, since the mix of routes differs between levels.
func (c *curve) slowdowns(now time.Time) (slowdown [maxLevels + 1]float64, samples [maxLevels + 1]float64) {
	for range curveRounds {
		var sums [maxLevels + 1]float64
		samples = [maxLevels + 1]float64{}
		for _, r := range c.routes {
			sum, weight := 0.0, 0.0
			for i := range r {
				if w := r[i].weight(now); w > 0 {
					sum += w * (r[i].logMean - slowdown[i])
					weight += w
				}
			}
			if weight == 0 {
				continue
			}
			for i := range r {
				w := r[i].weight(now)
				sums[i] += w * (r[i].logMean - sum/weight)
				samples[i] += w
			}
		}
		for i := range sums {
			if samples[i] > 0 {
				slowdown[i] = sums[i] / samples[i]
			}
		}
	}
	return slowdown, samples
}

// weight returns the number of requests that count.
func (l *level) weight(now time.Time) float64 {
	if l.samples == 0 || now.Sub(l.lastAt) > sampleTTL {
		return 0
	}
	return float64(min(l.samples, maxSamples))
}
