package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/matryer/is"
)

const (
	sound  fingerprint.Fingerprint = 2
	deadly fingerprint.Fingerprint = 3
)

// tableFleet is a number of nodes with a gate and a table each. Popular requests come to
// every gate in each step, and two tables exchange their records in each round.
type tableFleet struct {
	tables []*Table
	gates  []string
	now    time.Time
	// isCut reports whether a node exchanges nothing.
	isCut func(node int) bool
	// crashes counts the runs of the deadly request.
	crashes int
	// refused is the time for which each node refused the sound request.
	refused []time.Duration
}

const (
	stepTime     = 100 * time.Millisecond
	exchangeTime = time.Second
)

func newTableFleet(nodes int) *tableFleet {
	f := &tableFleet{now: start, isCut: func(int) bool { return false }, refused: make([]time.Duration, nodes)}
	for i := range nodes {
		f.tables = append(f.tables, newTable())
		f.gates = append(f.gates, fmt.Sprintf("10.0.0.%d:80", i))
	}
	return f
}

// run sends the request at one node and reports whether a target was given it.
func (f *tableFleet) run(node int, r fingerprint.Fingerprint) bool {
	table := f.tables[node]
	if !table.QuarantinedUntil(r, f.now).IsZero() {
		round, isDue := table.TrialDue(r, f.now)
		if !isDue {
			return false
		}
		gates := slices.DeleteFunc(ElectGates(f.gates, r, round), func(gate int) bool {
			return gate != node && (f.isCut(node) || f.isCut(gate))
		})
		if len(gates) == 0 {
			return false
		}
		table = f.tables[gates[0]]
		end, ok := table.BeginTrial(r, f.now, func(round uint64) bool {
			return slices.Contains(ElectGates(f.gates, r, round), gates[0])
		})
		if !ok {
			return false
		}
		defer end()
	}
	if r == deadly {
		f.crashes++
		table.RecordCrash(uint64(1000+f.crashes), []fingerprint.Fingerprint{r}, f.now)
		return true
	}
	table.RecordSuccess(r, f.now)
	return true
}

// advance sends the requests at every node for a time. Every exchangeTime each node
// exchanges records with its neighbours.
func (f *tableFleet) advance(length time.Duration, requests ...fingerprint.Fingerprint) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(stepTime) {
		for i := range f.tables {
			for _, r := range requests {
				if !f.run(i, r) && r == sound {
					f.refused[i] += stepTime
				}
			}
		}
		if f.now.Sub(start)%exchangeTime == 0 {
			f.exchange()
		}
	}
}

func (f *tableFleet) exchange() {
	for range 2 {
		for i, from := range f.tables {
			if to := (i + 1) % len(f.tables); !f.isCut(i) && !f.isCut(to) {
				f.tables[to].Merge(from.Records(f.now), f.now)
				from.Merge(f.tables[to].Records(f.now), f.now)
			}
		}
	}
}

// crashTogether lets three targets crash at one moment while they run the requests, and
// all nodes hear of it before anything else ends.
func (f *tableFleet) crashTogether(requests ...fingerprint.Fingerprint) {
	for i := range uint64(Threshold) {
		f.tables[i].RecordCrash(i, requests, f.now)
	}
	f.exchange()
}

// A popular sound request that was at work at three targets when they crashed was refused
// by all nodes for an hour, although targets had completed it thousands of times: nothing
// could clear it, since it was sent nowhere.
func TestSoundRequestIsClearedByTrial(t *testing.T) {
	tests := []struct {
		name  string
		isCut func(node int) bool
		// restarts means that all nodes but one lose their tables after the crashes.
		restarts bool
	}{
		{"all nodes in touch", func(int) bool { return false }, false},
		{"a third of the nodes cut off after the crashes", func(node int) bool { return node < 4 }, false},
		{"restarted nodes", func(int) bool { return false }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newTableFleet(12)
			f.advance(2*time.Second, sound)
			f.crashTogether(sound, deadly)
			is.True(!f.tables[5].QuarantinedUntil(sound, f.now).IsZero())
			f.isCut = test.isCut
			if test.restarts {
				for i := range f.tables {
					if i != 7 {
						f.tables[i] = newTable()
					}
				}
			}
			f.advance(30*time.Second, sound)
			for i, refused := range f.refused {
				if !f.isCut(i) {
					is.True(refused <= trialDelay+trialWindow+2*exchangeTime)
					is.True(f.tables[i].QuarantinedUntil(sound, f.now).IsZero())
				}
				// A node that is cut off is elected after as many windows as the number of
				// nodes has bits.
				is.True(refused <= trialDelay+5*trialWindow)
			}
		})
	}
}

// Trials must not undo the quarantine: a request that always crashes its targets gets none
// for a minute if no target ever completed it, and maxTrials in all if one did.
func TestDeadlyRequestStaysQuarantined(t *testing.T) {
	tests := []struct {
		name       string
		hasHistory bool
		length     time.Duration
		most       int
	}{
		{"never completed, within the delay of its first trial", false, unprovenTrialDelay - 2*time.Second, 0},
		{"never completed, until it is forgotten", false, Retention - 2*time.Second, maxTrials},
		{"completed before it became deadly", true, Retention - 2*time.Second, maxTrials},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newTableFleet(6)
			if test.hasHistory {
				for _, table := range f.tables {
					table.RecordSuccess(deadly, f.now)
				}
				f.now = f.now.Add(time.Second)
			}
			f.crashTogether(deadly)
			f.advance(test.length, deadly)
			is.True(f.crashes <= test.most)
			is.True(!f.tables[5].QuarantinedUntil(deadly, f.now).IsZero())
		})
	}
}

// The variants that leave out one rule must fail: without trials a sound request is never
// cleared, and a success of another request of the same path proves nothing.
func TestNaiveClearingFails(t *testing.T) {
	is := is.New(t)
	f := newTableFleet(6)
	f.crashTogether(sound)
	for range 600 { // nobody runs a refused request, and no success can come
		f.now = f.now.Add(time.Second)
		is.True(f.now.Sub(start) > Retention || !f.tables[0].QuarantinedUntil(sound, f.now).IsZero())
	}
	f = newTableFleet(6)
	f.crashTogether(deadly)
	f.advance(10*time.Second, sound)
	is.True(!f.tables[0].QuarantinedUntil(deadly, f.now).IsZero())
}

// Guards against memory that grows with the number of different requests, and against a
// flood of them that hides the success of a popular one.
func TestSuccessesAreBounded(t *testing.T) {
	is := is.New(t)
	var s successes
	for i := range 20 * maxSuccesses {
		s.record(fingerprint.Fingerprint(100+i), start)
		if i%(maxSuccesses/2) == 0 {
			s.record(sound, start)
		}
	}
	is.True(len(s.young) <= maxSuccesses && len(s.old) <= maxSuccesses)
	_, ok := s.last(sound)
	is.True(ok)
}

func BenchmarkRecordSuccess(b *testing.B) {
	table := newTable()
	for i := range b.N {
		table.RecordSuccess(fingerprint.Fingerprint(i%4096), start)
	}
}
