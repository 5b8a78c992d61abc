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
	moveFactor = 0.7
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
	m := newMeans(views, r)
	var usable, lastResort [distances]int
	for i := range views {
		v := &views[i]
		switch m.classify(v, r) {
		case classUsable:
			usable[v.Distance]++
		case classLastResort:
			lastResort[v.Distance]++
		}
	}
	comparesAll := random() >= max(s.Explore, 1-m.overall)
	if i := s.chooseAmong(views, r, &m, classUsable, &usable, comparesAll, random); i >= 0 {
		return i
	}
	return s.chooseAmong(views, r, &m, classLastResort, &lastResort, comparesAll, random)
}

// chooseAmong returns the best gate of a class. Gates of a farther data centre must be
// better by the margin.
func (s Selector) chooseAmong(views []View, r Request, m *means, c class, counts *[distances]int, comparesAll bool, random func() float64) int {
	best, lowest := -1, math.Inf(1)
	for d := r.Nearest; d <= r.Farthest; d++ {
		i, cost := s.chooseAt(views, r, m, c, d, counts[d], comparesAll, random)
		if i < 0 {
			continue
		}
		if best >= 0 {
			cost = (cost + float64(moveMargin(d, r))) / moveFactor
		}
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

func moveMargin(d Distance, r Request) time.Duration {
	if r.Bulk {
		return bulkFactor * moveMargins[d]
	}
	return moveMargins[d]
}

// chooseAt returns the best of all or of a few random gates of a class and distance, and
// of the gates there that are due for a trial. count is the number of gates of the class.
func (s Selector) chooseAt(views []View, r Request, m *means, c class, d Distance, count int, comparesAll bool, random func() float64) (best int, lowest float64) {
	best, lowest = -1, math.Inf(1)
	var samples [maxChoices]int
	n := min(max(s.Choices, 1), maxChoices)
	if count > 0 {
		for k := range n {
			samples[k] = int(random() * float64(count))
		}
	}
	position, ties := 0, 0
	for i := range views {
		v := &views[i]
		if v.Distance != d {
			continue
		}
		switch m.classify(v, r) {
		case c:
			isCompared := comparesAll || contains(samples[:n], position)
			position++
			if !isCompared {
				continue
			}
		case classTrial:
			if c != classUsable {
				continue
			}
		default:
			continue
		}
		cost := float64(m.cost(v, r).Total())
		if cost == lowest {
			// Gates of which nothing is known have equal costs.
			ties++
			if random()*float64(ties) < 1 {
				best = i
			}
		}
		if cost < lowest {
			best, lowest, ties = i, cost, 1
		}
	}
	return best, lowest
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
