package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// fleetRequest is an idempotent request of the replayed service, and fleetClaim one that
// must not be sent twice.
var (
	fleetRequest = Request{CanRetry: true, Work: fleetWork, Remaining: time.Second, Farthest: Remote}
	fleetClaim   = Request{NonIdempotent: true, Work: fleetWork, Remaining: time.Second, Farthest: Remote}
)

// claimShare is the share of non-idempotent requests.
const claimShare = 0.3

func even(s Selector) chooser {
	return mixed(func(_ int, views []View, _ []int, random func() float64) int {
		return s.Choose(views, fleetRequest, random)
	}, func(_ int, views []View, _ []int, random func() float64) int {
		return s.Choose(views, fleetClaim, random)
	})
}

// mixed returns the choosers for a mix of idempotent and non-idempotent requests.
func mixed(idempotent, nonIdempotent chooser) chooser {
	return func(node int, views []View, truth []int, random func() float64) int {
		if random() < claimShare {
			return nonIdempotent(node, views, truth, random)
		}
		return idempotent(node, views, truth, random)
	}
}

// changed applies a change to the knowledge before the choice.
func changed(c chooser, change func(*View)) chooser {
	return func(node int, views []View, truth []int, random func() float64) int {
		for i := range views {
			change(&views[i])
		}
		return c(node, views, truth, random)
	}
}

// lowestCost is the default selection of package entry: the lowest load of all gates,
// with a jitter; non-idempotent requests prefer low ranks up to a load of 0.65.
func lowestCost(nonIdempotent bool) chooser {
	return func(_ int, views []View, _ []int, random func() float64) int {
		best, lowest := -1, math.Inf(1)
		for i := range views {
			v := &views[i]
			if v.Excluded {
				continue
			}
			outstanding := v.SentSince
			if v.Slots > 0 && v.Age < knowledgeTTL {
				outstanding = max(outstanding, v.Outstanding)
			}
			load := float64(outstanding) / float64(max(1, v.Slots))
			cost := 0.05 * load
			if nonIdempotent && load < 0.65 {
				cost = 0.03 * float64(i)
			}
			if nonIdempotent {
				cost += failureRisk(v)
			}
			if cost += 0.02 * random(); cost < lowest {
				best, lowest = i, cost
			}
		}
		return best
	}
}

func randomGate(_ int, views []View, _ []int, random func() float64) int {
	for range 100 {
		if i := int(random() * float64(len(views))); !views[i].Excluded {
			return i
		}
	}
	return -1
}

// freeCapacity chooses at random, weighted by the free slots that are expected.
func freeCapacity(_ int, views []View, _ []int, random func() float64) int {
	m := newMeans(views, fleetRequest)
	sum := 0.0
	weights := make([]float64, len(views))
	for i := range views {
		if !views[i].Excluded {
			load, slots := m.expectedLoad(&views[i])
			weights[i] = max(0.05, (1-load)*slots)
			sum += weights[i]
		}
	}
	at := random() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return -1
}

// bestOfAll chooses the lowest cost of all gates; ties are broken at random.
func bestOfAll(_ int, views []View, _ []int, random func() float64) int {
	m := newMeans(views, fleetRequest)
	best, lowest := -1, math.Inf(1)
	for i := range views {
		if cost := float64(m.cost(&views[i], fleetRequest).Total()) + random(); !views[i].Excluded && cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// subset compares the gates of a fixed subset of each node, by rank.
func subset(size int) chooser {
	return func(node int, views []View, truth []int, random func() float64) int {
		for i := range views {
			rank := (i - node*size%len(views) + len(views)) % len(views)
			views[i].Excluded = views[i].Excluded || rank >= size
		}
		return bestOfAll(node, views, truth, random)
	}
}

// oracle knows the requests at each target.
func oracle(_ int, views []View, truth []int, random func() float64) int {
	best, lowest := -1, math.Inf(1)
	for i, n := range truth {
		if cost := float64(n) + 0.5*random(); !views[i].Excluded && cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

type strategy struct {
	name   string
	choose chooser
}

func strategies() []strategy {
	return []strategy{
		{"lowest_cost", mixed(lowestCost(false), lowestCost(true))},
		{"random", randomGate},
		{"free_capacity", freeCapacity},
		{"best_of_2", even(Selector{Explore: 1, Choices: 2})},
		{"best_of_3", even(Selector{Explore: 1, Choices: 3})},
		{"best_of_all", bestOfAll},
		{"subset_of_8", subset(8)},
		{"even", even(Default)},
		{"even_without_own", changed(even(Default), func(v *View) { v.SentSince = 0 })},
		{"even_without_pace", changed(even(Default), func(v *View) { v.Pace = 0 })},
		{"even_without_discount", changed(even(Default), func(v *View) {
			if v.Age < knowledgeTTL {
				v.Age = 0
			}
		})},
		{"oracle", oracle},
	}
}

var fleets = []fleet{
	{nodes: 10, targets: 83, slots: 5, load: 0.6, slow: 0.2},
	{nodes: 100, targets: 83, slots: 5, load: 0.6, slow: 0.2},
	{nodes: 1000, targets: 83, slots: 5, load: 0.6, slow: 0.2},
	{nodes: 100, targets: 83, slots: 5, load: 0.6, slow: 0.2, delay: 200 * time.Millisecond},
	{nodes: 100, targets: 83, slots: 5, load: 0.6, slow: 0.2, delay: 2 * time.Second},
	{nodes: 78, targets: 10, slots: 15, load: 0.6, slow: 0.2},
	{nodes: 10, targets: 10, slots: 15, load: 0.6, slow: 0.2, delay: 200 * time.Millisecond},
	{nodes: 100, targets: 83, slots: 5, load: 0.8, slow: 0.2},
	{nodes: 78, targets: 41, slots: 15, load: 0.1, slow: 0.2},
	{nodes: 10, targets: 10, slots: 15, load: 0.06, slow: 0.2},
	{nodes: 100, targets: 83, slots: 5, load: 0.5, slow: 0.2, shed: 0.3},
	{nodes: 10, targets: 83, slots: 5, load: 0.5, slow: 0.2, shed: 0.3},
}

func (f fleet) String() string {
	return fmt.Sprintf("nodes=%d/targets=%d/load=%g/shed=%g/delay=%v", f.nodes, f.targets, f.load, f.shed, f.delay)
}

// BenchmarkComparison prints the figures of docs/design/even-load.md:
//
//	go test -run '^$' -bench Comparison -benchtime 1x ./process/balance
func BenchmarkComparison(b *testing.B) {
	for _, f := range fleets {
		for _, s := range strategies() {
			b.Run(f.String()+"/"+s.name, func(b *testing.B) {
				const seeds = 3
				var sum fleetResult
				for seed := range uint64(seeds) {
					f.duration, f.seed = 6*time.Second, seed
					r := f.run(s.choose)
					sum.outstanding += r.outstanding / seeds
					sum.arrivals += r.arrivals / seeds
					sum.refused += r.refused / seeds
					sum.refusedIdle += r.refusedIdle / seeds
					sum.p99 += r.p99 / seeds
					sum.longestGap = max(sum.longestGap, r.longestGap)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(sum.outstanding, "outstanding")
				b.ReportMetric(sum.arrivals, "arrivals")
				b.ReportMetric(sum.refused*100, "%refused")
				b.ReportMetric(sum.refusedIdle*100, "%idle")
				b.ReportMetric(sum.p99.Seconds()*1000, "p99-ms")
				b.ReportMetric(sum.longestGap.Seconds(), "gap-s")
			})
		}
	}
}
