package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const bad fingerprint.Fingerprint = 1

var start = time.Unix(1_780_000_000, 0)

func newTable() *Table { return NewTable(hclog.NewNullLogger()) }

// Guards against refusing a request that has not crashed three incarnations, or that a
// target has completed since, and against one that is never forgotten.
func TestQuarantine(t *testing.T) {
	crash := func(incarnation uint64) func(*Table) {
		return func(table *Table) { table.RecordCrash(incarnation, []fingerprint.Fingerprint{bad}, start) }
	}
	success := func(table *Table) { table.RecordSuccess(bad, start) }
	tests := []struct {
		name   string
		events []func(*Table)
		after  time.Duration
		want   bool
	}{
		{"two crashes", []func(*Table){crash(1), crash(2)}, 0, false},
		{"three crashes", []func(*Table){crash(1), crash(2), crash(3)}, 0, true},
		{"one crash heard of three times", []func(*Table){crash(1), crash(1), crash(1)}, 0, false},
		{"a success before any crash", []func(*Table){success, crash(1), crash(2), crash(3)}, 0, true},
		{"a success between crashes", []func(*Table){crash(1), crash(2), success, crash(3)}, 0, false},
		{"a late success", []func(*Table){crash(1), crash(2), crash(3), success}, 0, false},
		{"nearly forgotten", []func(*Table){crash(1), crash(2), crash(3)}, Retention - time.Second, true},
		{"forgotten", []func(*Table){crash(1), crash(2), crash(3)}, Retention, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			for _, apply := range test.events {
				apply(table)
			}
			is.Equal(!table.QuarantinedUntil(bad, start.Add(test.after)).IsZero(), test.want)
		})
	}
}

// Tables that have heard of the same evidence must agree, in whatever order and however
// often it came, and whatever they have exchanged in between.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tables := []*Table{newTable(), newTable(), newTable()}
		exchange := func(from, to *Table) { to.Merge(from.Records(start), start) }
		index := rapid.IntRange(0, len(tables)-1)
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			table := tables[index.Draw(rt, "table")]
			request := fingerprint.Fingerprint(rapid.IntRange(1, 3).Draw(rt, "request"))
			switch rapid.IntRange(0, 5).Draw(rt, "kind") {
			case 0:
				table.RecordSuccess(request, start)
			case 1, 2:
				exchange(table, tables[index.Draw(rt, "other")])
			default:
				table.RecordCrash(rapid.Uint64Range(1, 12).Draw(rt, "incarnation"), []fingerprint.Fingerprint{request}, start)
			}
		}
		for range 2 {
			for _, from := range tables {
				for _, to := range tables {
					exchange(from, to)
				}
			}
		}
		for _, table := range tables {
			if table.Digest(start) != tables[0].Digest(start) {
				rt.Fatal("the tables differ after they have exchanged all records")
			}
		}
	})
}

// Guards against memory and messages that grow with the number of crashes, and against
// a flood of crashes that displaces a request in quarantine.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := newTable()
	for incarnation := range uint64(Threshold) {
		table.RecordCrash(incarnation, []fingerprint.Fingerprint{bad}, start)
	}
	for i := range 3 * maxRecords {
		table.RecordCrash(uint64(i), []fingerprint.Fingerprint{fingerprint.Fingerprint(100 + i)}, start.Add(time.Minute))
	}
	is.True(len(table.entries) <= maxRecords)
	is.True(!table.QuarantinedUntil(bad, start.Add(time.Minute)).IsZero())
	records := table.Records(start.Add(time.Minute))
	is.Equal(len(records), maxExchanged)
	is.Equal(records[0].Request, bad)
}

// judge decides from the outcomes of the runs of a request whether it is refused.
type judge func(runs []run) bool

// run is one run of a request: it ended with the crash of its target, with a reset by a
// gray target, or well.
type run struct{ crashed, reset bool }

func judgeByTable(runs []run) bool {
	table := newTable()
	for i, r := range runs {
		switch {
		case r.crashed:
			table.RecordCrash(uint64(i), []fingerprint.Fingerprint{bad}, start)
		case !r.reset:
			table.RecordSuccess(bad, start)
		}
	}
	return !table.QuarantinedUntil(bad, start).IsZero()
}

// judgeByLosses takes every lost connection for a crash.
func judgeByLosses(runs []run) bool {
	lost := 0
	for _, r := range runs {
		if r.crashed || r.reset {
			lost++
		}
	}
	return lost >= Threshold
}

// judgeWithoutSuccesses counts crashes alone.
func judgeWithoutSuccesses(runs []run) bool {
	crashes := 0
	for _, r := range runs {
		if r.crashed {
			crashes++
		}
	}
	return crashes >= Threshold
}

// isEverRefused reports whether the request is refused after one of its runs. From then on
// it cannot clear itself.
func isEverRefused(j judge, runs []run) bool {
	for i := range runs {
		if j(runs[:i+1]) {
			return true
		}
	}
	return false
}

// Of requests that are sent often, the one that crashes targets must be refused and none
// of those that ran beside it or at gray targets. The naive rules refuse sound ones.
func TestSoundRequestsAreNotRefused(t *testing.T) {
	tests := []struct {
		name       string
		judge      judge
		wantErrors bool
	}{
		{"evidence of crashes and successes", judgeByTable, false},
		{"naive: every loss", judgeByLosses, true},
		{"naive: crashes alone", judgeWithoutSuccesses, true},
	}
	random := rand.New(rand.NewPCG(1, 2))
	var sound, crashing [][]run
	for range 500 {
		var runs, crashes []run
		for range 30 {
			// A third of the targets is gray, and one run in thirty is beside a crash.
			r := run{crashed: random.IntN(30) == 0, reset: random.IntN(3) == 0}
			runs = append(runs, r)
			crashes = append(crashes, run{crashed: !r.reset, reset: r.reset})
		}
		sound, crashing = append(sound, runs), append(crashing, crashes)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			refused, missed := 0, 0
			for i := range sound {
				if isEverRefused(test.judge, sound[i]) {
					refused++
				}
				if !isEverRefused(test.judge, crashing[i]) {
					missed++
				}
			}
			is.Equal(missed, 0)
			is.Equal(refused > 0, test.wantErrors)
		})
	}
}

// A request that other targets complete while some crash under it is sound, also if the
// nodes of those targets hear of the crashes only later: the evidence travels for a second
// and three crashes take half of that.
func TestSuccessBeforeTheEvidenceArrivesClears(t *testing.T) {
	is := is.New(t)
	crashed, serving := newTable(), newTable()
	for i := range uint64(Threshold) {
		crashed.RecordCrash(i, []fingerprint.Fingerprint{bad}, start.Add(time.Duration(i)*200*time.Millisecond))
	}
	serving.RecordSuccess(bad, start.Add(300*time.Millisecond))
	now := start.Add(time.Second)
	serving.Merge(crashed.Records(now), now)
	is.True(serving.QuarantinedUntil(bad, now).IsZero())
	crashed.Merge(serving.Records(now), now)
	is.True(crashed.QuarantinedUntil(bad, now).IsZero())
}

// Guards against a read that removes expired entries or differs from QuarantinedUntil.
func TestPeekChangesNothing(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second, Retention - time.Second, Retention, 2 * Retention} {
		is := is.New(t)
		table := newTable()
		for incarnation := range uint64(3) {
			table.RecordCrash(incarnation+1, []fingerprint.Fingerprint{bad}, start)
		}
		got := table.Peek(bad, start.Add(after))
		is.Equal(len(table.entries), 1)
		is.Equal(got, table.QuarantinedUntil(bad, start.Add(after)))
	}
}
