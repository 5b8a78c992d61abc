package balance

import (
	"math"
	"time"
)

const (
	// maxChoices bounds Selector.Choices.
	maxChoices = 8
	// moveFactor is the share of the time at a nearer gate that the time at a farther
	// one may take at most, and bulkFactor how much the fixed margins grow for bulk
	// requests. Without a margin, requests would move back and forth on noise.
	moveFactor = 0.75
	bulkFactor = 4
)

// moveMargins are the times by which a farther gate must be better besides. They stand
// for the cost of traffic, which is low between data centres and high between regions.
var moveMargins = [distances]time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond}

// Selector chooses gates.
type Selector struct {
	// Explore is the least share of requests that compare only a few random gates; the
	// others compare all. Comparing all uses the little fresh knowledge that a node has.
	// Comparing random ones keeps requests coming to gates that look worse than they
	// are. At a low load nearly all requests do that, since any gate has free slots.
	Explore float64
	// Choices is how many random gates of each distance are compared, 1 to 8.
	Choices int
}

// Default is the selector that entries use.
var Default = Selector{Explore: 0.25, Choices: 2}

// Choose returns the index of the gate to send the request to, or -1 if there is none.
// random returns numbers from 0 up to, but not including, 1.
func (s Selector) Choose(views []View, r Request, random func() float64) int {
	c := comparison{views: views, request: r, means: newMeans(views, r), choices: min(max(s.Choices, 1), maxChoices), random: random}
	var usable, lastResort [distances]int
	for i := range views {
		v := &views[i]
		switch c.means.classify(v, r) {
		case classUsable:
			usable[v.Distance]++
		case classLastResort:
			lastResort[v.Distance]++
		}
	}
	c.all = random() >= max(s.Explore, 1-c.means.overall)
	if i := c.chooseAmong(classUsable, usable); i >= 0 {
		return i
	}
	return c.chooseAmong(classLastResort, lastResort)
}

// comparison compares gates for one request.
type comparison struct {
	views   []View
	request Request
	means   means
	// all means that all gates are compared instead of choices random ones.
	all     bool
	choices int
	random  func() float64
}

// chooseAmong returns the best gate of a class. Gates of a farther data centre must be
// better by a margin than all nearer ones, not only than those that are compared.
// Otherwise chance would move requests. counts are the numbers of gates of the class.
func (c *comparison) chooseAmong(k class, counts [distances]int) int {
	best, lowest := -1, math.Inf(1)
	for d := c.request.Nearest; d <= c.request.Farthest; d++ {
		i, cost, lowestOfAll := c.chooseAt(k, d, counts[d])
		if i < 0 {
			continue
		}
		if best >= 0 {
			margin := float64(moveMargin(d, c.request))
			cost, lowestOfAll = (cost+margin)/moveFactor, (lowestOfAll+margin)/moveFactor
		}
		if cost < lowest {
			best = i
		}
		lowest = min(lowest, lowestOfAll)
	}
	return best
}

func moveMargin(d Distance, r Request) time.Duration {
	if r.Bulk {
		return bulkFactor * moveMargins[d]
	}
	return moveMargins[d]
}

// chooseAt returns the best compared gate of a class and distance, and the lowest cost of
// all gates there. Gates that are due for a trial are always compared.
func (c *comparison) chooseAt(k class, d Distance, count int) (best int, lowest, lowestOfAll float64) {
	best, lowest, lowestOfAll = -1, math.Inf(1), math.Inf(1)
	var samples [maxChoices]int
	if count > 0 {
		for j := range c.choices {
			samples[j] = int(c.random() * float64(count))
		}
	}
	position, ties := 0, 0
	for i := range c.views {
		v := &c.views[i]
		if v.Distance != d {
			continue
		}
		isCompared := true
		switch class := c.means.classify(v, c.request); {
		case class == k:
			isCompared = c.all || contains(samples[:c.choices], position)
			position++
		case class != classTrial || k != classUsable:
			continue
		}
		cost := float64(c.means.cost(v, c.request).Total())
		lowestOfAll = min(lowestOfAll, cost)
		switch {
		case !isCompared || cost > lowest:
		case cost < lowest:
			best, lowest, ties = i, cost, 1
		default:
			// Gates of which nothing is known have equal costs.
			ties++
			if c.random()*float64(ties) < 1 {
				best = i
			}
		}
	}
	return best, lowest, lowestOfAll
}

// contains reports whether a short list has x. It is inlined, unlike slices.Contains.
func contains(list []int, x int) bool {
	for _, y := range list {
		if y == x {
			return true
		}
	}
	return false
}

// Cost returns the parts of the cost of a gate. ok is false if the request would not
// be sent to it.
func (s Selector) Cost(views []View, i int, r Request) (c Cost, ok bool) {
	m := newMeans(views, r)
	return m.cost(&views[i], r), m.classify(&views[i], r) != classUnusable
}
