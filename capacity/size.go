package capacity

// Size is the fleet that is designed for, and what happens in it.
type Size struct {
	Nodes            float64
	Targets          float64
	Services         float64
	RequestsPerS     float64
	Routes           float64
	Customers        float64
	ChangesPerDay    float64
	VMFailuresPerDay float64
	RestartsPerDay   float64
	DataCentres      float64
	Regions          float64
	// ClaimServices have routes that never repeat, with seats each.
	ClaimServices  float64
	SeatsPerClaim  float64
	ClaimsPerS     float64
	VersionsPerRun float64
}

// Expected is the size of the next two years. The last four are this project's
// assumptions: a quarter of the services take claims, at a twentieth of all
// requests, and a restarted node publishes five versions of its record.
var Expected = Size{
	Nodes:            6_700,
	Targets:          54_000,
	Services:         2_400,
	RequestsPerS:     680_000,
	Routes:           28_000,
	Customers:        280_000,
	ChangesPerDay:    21_000,
	VMFailuresPerDay: 140,
	RestartsPerDay:   3_800,
	DataCentres:      8,
	Regions:          3,
	ClaimServices:    600,
	SeatsPerClaim:    4,
	ClaimsPerS:       34_000,
	VersionsPerRun:   5,
}

// Budgets of a node for control.
const (
	BudgetCoreShare   = 0.011
	BudgetMemoryBytes = 256 << 20
	BudgetBytesPerS   = 3_000
	BudgetInForceS    = 9
	BudgetLogAppends  = 300
	secondsPerDay     = 86_400
	nanosPerSecond    = 1e9
	packetBytes       = 52 // IP and TCP headers with options, for each segment and its acknowledgement
	packetsPerCall    = 3
	callOverheadBytes = packetBytes * packetsPerCall
)
