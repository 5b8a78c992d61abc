package capacity

import "fmt"

// Row is one line of the page: what a role costs at the expected size.
type Row struct {
	Role      string
	Quantity  string
	Value     float64
	Unit      string
	Basis     string
	Mechanism string
}

// Total is a sum of rows beside its budget.
type Total struct {
	Name   string
	Value  float64
	Budget float64
	Unit   string
}

// Rates and shares of the protocols, as the packages have them.
const (
	heartbeatsPerS   = 3
	digestsPerS      = 0.2
	rumourPasses     = 8
	crossRegionShare = 0.05
	requestsInFlight = 3
	ticksPerS        = 50
	claimWindowS     = 660
	leaseAsksPerS    = 2 / 1.1
	leaseAskBytes    = 120
	readersPerCentre = 2
	longPollsPerS    = 1.0 / 8
	longPollBytes    = 60
	journalBytes     = 8 << 20
	restateEveryS    = 1800
	partBytes        = 256 << 10
)

// RosterEventsPerS is how many records of nodes change in a second.
func (z Size) RosterEventsPerS() float64 {
	return (z.RestartsPerDay*z.VersionsPerRun + 2*z.VMFailuresPerDay) / secondsPerDay
}

// Rows works out each role's costs for one node.
func Rows(s Slopes, z Size) []Row {
	events := z.RosterEventsPerS()
	changes := z.ChangesPerDay / secondsPerDay
	requests := z.RequestsPerS / z.Nodes
	seats := z.ClaimServices * z.SeatsPerClaim / z.Nodes
	keys := z.ClaimsPerS / z.Nodes * claimWindowS
	callNS := s.Call.Line.At(z.Nodes)
	share := func(perS, ns float64) float64 { return perS * ns / nanosPerSecond }
	call := func(payload float64) float64 { return payload + callOverheadBytes }
	return []Row{
		{"entry", "choosing", share(requests, s.Choose.Line.At(z.Targets)), "core", "computed from slope", "power of two choices in the service's own list"},
		{"entry", "index upkeep", share(events, s.IndexChange.Line.At(z.Targets)), "core", "computed from slope", "shared, immutable index; only changed nodes"},
		{"gate", "judging requests", share(requests, s.Judge.Line.At(requestsInFlight)), "core", "computed from slope", "CUSUM for each target"},
		{"gate", "looking at ages", share(ticksPerS*targetsPerNode, s.Tick.Line.At(requestsInFlight)), "core", "computed from slope", "one look each 20 ms"},
		{"membership feed", "heartbeats, sent and answered", share(2*heartbeatsPerS, callNS/2), "core", "computed from slope", "three successors on the ring"},
		{"membership feed", "rumours taken in", share(events*rumourPasses, s.Merge.Line.At(z.Nodes)+callNS), "core", "computed from slope", "changed records only"},
		{"log reader and tree", "folding changes", share(changes, s.Fold.Line.At(z.Customers)), "core", "computed from slope", "tables that share unchanged shards"},
		{"claim home", "leases, asked and granted", share(2*leaseAsksPerS, callNS/2), "core", "computed from slope", "one call for all seats with a member"},

		{"membership feed", "roster and index", s.RosterHeap.Line.At(z.Nodes), "bytes of memory", "computed from slope, largest size run", "full roster at each node"},
		{"configuration holder", "configuration in force", s.StateHeap.Line.At(z.Customers), "bytes of memory", "computed from slope, largest size run", "full state at each node"},
		{"configuration holder", "records kept for peers", journalBytes, "bytes of memory", "bound in the code", "a window, then a snapshot"},
		{"claim home", "remembered keys", s.ClaimHeap.Line.At(keys), "bytes of memory", "computed from slope", "keys of the last 11 minutes"},

		{"membership feed", "heartbeats", heartbeatsPerS * call(s.PingBytes), "bytes/s", "computed", "three successors on the ring"},
		{"membership feed", "digests", digestsPerS * call(40), "bytes/s", "computed", "one digest each 5 s; buckets only if it differs"},
		{"membership feed", "rumours", events * rumourPasses * call(s.RecordBytes), "bytes/s", "computed", "each passed on 8 times"},
		{"log reader and tree", "records to children", changes * call(s.ChangeBytes), "bytes/s", "computed, mean over nodes", "each node has one parent at a time"},
		{"log reader and tree", "waiting", longPollsPerS * call(longPollBytes), "bytes/s", "computed", "waits of 8 s"},
		{"claim home", "leases", leaseAsksPerS * call(leaseAskBytes*max(1, seats)), "bytes/s", "computed", "a majority of three members"},
	}
}

// Totals adds the rows up beside their budgets.
func Totals(rows []Row, s Slopes, z Size) []Total {
	sums := map[string]float64{}
	for _, r := range rows {
		sums[r.Unit] += r.Value
	}
	changes := z.ChangesPerDay / secondsPerDay
	seatChanges := (z.RestartsPerDay + z.VMFailuresPerDay) * z.ClaimServices * z.SeatsPerClaim * 3 / z.Nodes / secondsPerDay
	restating := s.SnapshotBytes.Line.At(z.Customers) / partBytes / restateEveryS
	return []Total{
		{"processor for control", sums["core"], BudgetCoreShare, "of a core"},
		{"memory", sums["bytes of memory"] / (1 << 20), BudgetMemoryBytes / (1 << 20), "MB"},
		{"control traffic", sums["bytes/s"], BudgetBytesPerS, "bytes/s"},
		{"log appends", changes + seatChanges + restating, BudgetLogAppends, "a second"},
	}
}

// Events works out what rare events cost.
func Events(s Slopes, z Size) []Row {
	rosterBytes := z.Nodes * s.RecordBytes
	snapshot := s.SnapshotBytes.Line.At(z.Customers)
	events := z.RosterEventsPerS()
	perDay := events * secondsPerDay
	readers := z.DataCentres * readersPerCentre
	return []Row{
		{"a node joins with nothing", "bytes taken from peers", rosterBytes + snapshot, "bytes", "computed from slopes", "roster from a seed, snapshot from a near peer"},
		{"a node joins with nothing", "loading the snapshot", s.Load.Line.At(z.Customers) / nanosPerSecond, "s of a core", "computed from slope, largest size run", "table.Of builds in one pass"},
		{"the day's restarts", "bytes given by a node", (rosterBytes + snapshot) * z.RestartsPerDay / z.Nodes / secondsPerDay, "bytes/s", "computed, mean", "spread over all nodes at random"},
		{"a rack goes (40 nodes)", "rumours at each node", 40 * 2 * rumourPasses * s.RecordBytes, "bytes", "computed", "at most 64 records a call, 5 calls a second"},
		{"a data centre goes", "declared gone by its own nodes", 0, "-", "not built", "others avoid its gates one by one; the feed has no declaration for a whole data centre"},
		{"regions apart for an hour", "records to exchange after", events * 3600 * s.RecordBytes, "bytes", "computed", "digests by bucket"},
		{"all nodes restart, log gone", "configuration", 0, "-", "by design", "requests are refused until the log or one node with the state is back"},
		{"log back after hours", "first reads", readers, "calls", "computed", "two readers in each data centre, with jitter; the tree follows"},
		{"paid bytes a day", "rumours between regions", perDay * z.Nodes * crossRegionShare * rumourPasses * s.RecordBytes, "bytes/day", "computed", "one rumour in twenty leaves the region"},
		{"paid bytes a day", "changes to other regions' readers", z.ChangesPerDay * s.ChangeBytes * readers * 2 / z.Regions, "bytes/day", "computed", "each reader reads the log itself"},
	}
}

// format prints a value with three significant digits.
func format(v float64) string {
	switch {
	case v == 0:
		return "-"
	case v >= 1e4:
		return fmt.Sprintf("%.3g", v)
	}
	return fmt.Sprintf("%.3g", v)
}
