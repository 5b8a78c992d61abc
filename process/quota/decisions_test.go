package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// Guards against a bucket that grants more than its level, more than its share, or
// fractions of tokens.
func TestBucket(t *testing.T) {
	tests := []struct {
		name          string
		elapsed       time.Duration
		share         float64
		want, granted int
	}{
		{"empty at first", 0, 1, 1, 0},
		{"less than one token", 99 * time.Millisecond, 1, 1, 0},
		{"filled for a second", time.Second, 1, 100, 10},
		{"no more than wanted", time.Second, 1, 3, 3},
		{"full", time.Hour, 1, 100, 30},
		{"share of the rate", time.Second, 0.5, 100, 5},
		{"share of the burst", time.Hour, 0.5, 100, 15},
		{"no share", time.Hour, 0, 1, 0},
		{"clock that goes back", -time.Second, 1, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := bucket{at: start}
			b.fill(start.Add(tt.elapsed), 10, 20, tt.share)
			is.Equal(b.take(tt.want), tt.granted)
		})
	}
}

// Guards against callers that are told to retry at the same time, and against promises
// that no caller waits for.
func TestPromisesAreSpaced(t *testing.T) {
	is := is.New(t)
	b := bucket{at: start}
	last := start
	for i := range 40 {
		at := b.promise(start, 10, 1)
		is.Equal(at, start.Add(time.Duration(i+1)*100*time.Millisecond))
		is.True(at.After(last))
		last = at
	}
	for range 1000 {
		is.True(!b.promise(start, 10, 1).After(start.Add(promiseHorizon)))
	}
}

// Guards against parts of a partitioned fleet that together grant more than the quota.
func TestSharesOfPartsAddUpToOne(t *testing.T) {
	is := is.New(t)
	for count := 1; count <= 60; count++ {
		for part := 1; part < count; part++ {
			sum := 0.0
			for _, size := range []int{part, count - part} {
				c := contacts{}
				for i := range count - 1 {
					c.record(fmt.Sprint(i), start, i < size-1)
				}
				sum += c.share(start)
			}
			is.True(sum <= 1+1e-9)
		}
	}
}

// Guards against shares that rest on old results, or on an older result that arrives
// after a newer one.
func TestOldContactsDoNotCount(t *testing.T) {
	is := is.New(t)
	c := contacts{}
	is.Equal(c.share(start), 1.0)
	c.record("a", start, false)
	is.Equal(c.share(start), 0.5)
	c.record("a", start.Add(-time.Millisecond), true)
	is.Equal(c.share(start), 0.5)
	is.Equal(c.share(start.Add(contactWindow+1)), 1.0)
}

// Guards against samples that miss a location: of three equally large ones each gets two
// or three of eight probes.
func TestProbesCoverAllLocations(t *testing.T) {
	is := is.New(t)
	for round := range 100 {
		perLocation := map[int]int{}
		seen := map[int]bool{}
		for _, i := range probeSample(90, 8, round) {
			is.True(!seen[i])
			seen[i] = true
			perLocation[i/30]++
		}
		for location := range 3 {
			is.True(perLocation[location] >= 2 && perLocation[location] <= 4)
		}
	}
	is.Equal(len(probeSample(3, 8, 5)), 3)
	is.Equal(len(probeSample(0, 8, 5)), 0)
}

// Guards against homes that move without need: a node that leaves moves only its own
// customers, each to its second candidate, and the customers are spread evenly.
func TestElection(t *testing.T) {
	is := is.New(t)
	nodes := make([]membership.Record, 50)
	for i := range nodes {
		nodes[i].ControlAddress = fmt.Sprintf("10.0.0.%d:8145", i)
	}
	perNode := map[string]int{}
	left := nodes[7].ControlAddress
	without := append(append([]membership.Record{}, nodes[:7]...), nodes[8:]...)
	for i := range 5000 {
		name := fmt.Sprint("customer-", i)
		before, after := elect(nodes, name), elect(without, name)
		perNode[before[0]]++
		is.True(before[0] != before[1] && before[1] != before[2] && before[0] != before[2])
		if before[0] == left {
			is.Equal(after[0], before[1])
			since := homeSince(name, after[0], start, []removal{{left, start.Add(time.Second)}})
			is.Equal(since, start.Add(time.Second))
		} else {
			is.Equal(after[0], before[0])
			is.Equal(homeSince(name, after[0], start, []removal{{left, start.Add(time.Second)}}), start)
		}
	}
	for _, n := range nodes {
		is.True(perNode[n.ControlAddress] > 60 && perNode[n.ControlAddress] < 150)
	}
}

// Guards against tokens that are used after their time, also those that are returned.
func TestStockExpires(t *testing.T) {
	is := is.New(t)
	s := stock{}
	s.add(1, start.Add(2*time.Second))
	s.add(2, start.Add(time.Second))
	expiresAt, ok := s.take(start)
	is.True(ok)
	is.Equal(expiresAt, start.Add(time.Second))
	is.Equal(s.count(start), 2)
	is.Equal(s.count(start.Add(time.Second)), 1)
	is.Equal(s.count(start.Add(2*time.Second)), 0)
	_, ok = s.take(start.Add(2 * time.Second))
	is.True(!ok)
}
