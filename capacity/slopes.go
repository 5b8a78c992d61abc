package capacity

// Slopes are all measurements that the page rests on.
type Slopes struct {
	Choose, IndexChange, Merge, RosterHeap Slope
	StateHeap, Fold, SnapshotBytes, Load   Slope
	Judge, Tick, ClaimHeap, Call           Slope
	// RecordBytes is the size between nodes of a node's record with eight
	// targets, PingBytes that of a heartbeat's two messages, and ChangeBytes
	// that of a change's record.
	RecordBytes, PingBytes, ChangeBytes float64
}

// MeasureSlopes runs all measurements. It takes about a minute.
func MeasureSlopes() Slopes {
	targets := []float64{6_000, 18_000, 36_000, 54_000}
	nodes := []float64{800, 2_400, 4_500, 6_700}
	customers := []float64{35_000, 93_000, 187_000, 280_000}
	flights := []float64{3, 12, 24, 48}
	keys := []float64{1_000, 4_000, 16_000, 32_000}
	return Slopes{
		Choose:        measureSlope("choose a gate", "targets", "ns", targets, measureChoose),
		IndexChange:   measureSlope("take one changed node into the index", "targets", "ns", targets, measureIndexChange),
		Merge:         measureSlope("merge one changed record", "nodes", "ns", nodes, measureMerge),
		RosterHeap:    measureSlope("roster and index", "nodes", "bytes", nodes, measureRosterHeap),
		StateHeap:     measureSlope("configuration in force", "customers", "bytes", customers, measureStateHeap),
		Fold:          measureSlope("fold one change", "customers", "ns", customers, measureFold),
		SnapshotBytes: measureSlope("snapshot of the configuration", "customers", "bytes", customers, measureSnapshotBytes),
		Load:          measureSlope("load a snapshot", "customers", "ns", customers, measureSnapshotLoad),
		Judge:         measureSlope("judge one request", "requests in progress", "ns", flights, measureJudge),
		Tick:          measureSlope("look at one target's ages", "requests in progress", "ns", flights, measureTick),
		ClaimHeap:     measureSlope("remembered keys", "keys", "bytes", keys, measureClaimHeap),
		Call:          measureSlope("call between nodes, both sides", "nodes", "ns", nodes, measureCall),
		RecordBytes:   wireBytes(nodeRecord(4711)),
		PingBytes:     wireBytes(nodeRecord(4711).ID) + 60,
		ChangeBytes:   float64(len(changeRecord(4711, 1))),
	}
}

// List returns the slopes in the order of the page.
func (s Slopes) List() []Slope {
	return []Slope{
		s.Choose, s.IndexChange, s.Merge, s.RosterHeap, s.StateHeap, s.Fold,
		s.SnapshotBytes, s.Load, s.Judge, s.Tick, s.ClaimHeap, s.Call,
	}
}
