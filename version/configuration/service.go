package configuration

// Service is a set of targets and the rules under which they receive work.
type Service struct {
	Name string `json:"name"`
	// FloorSlots is the healthy capacity, in slots, that ejections must leave.
	FloorSlots int `json:"floor_slots"`
	// Detection weighs detection time against false ejections.
	Detection Detection `json:"detection,omitempty"`
	// TimeoutMillis bounds a request whose caller named no deadline.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
	// ClaimSeats is how many seats share the service's idempotency keys.
	ClaimSeats int `json:"claim_seats,omitempty"`
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64   `json:"max_body_bytes,omitempty"`
	Routes       []Route `json:"routes"`
}

// Detection names a policy for judging targets.
type Detection string

// The two ends of the dial, and the middle.
const (
	// DetectFast accepts more false ejections for a shorter detection time.
	DetectFast Detection = "fast"
	// DetectBalanced stands between the two.
	DetectBalanced Detection = "balanced"
	// DetectCareful accepts a longer detection time for fewer false ejections.
	DetectCareful Detection = "careful"
)

// Route sends requests under a path prefix to its service.
type Route struct {
	PathPrefix string `json:"path_prefix"`
	// Methods lists the HTTP methods served; empty means all.
	Methods []string `json:"methods,omitempty"`
	// NeverRepeat marks requests that must run at most once. Callers must
	// send an Idempotency-Key with them.
	NeverRepeat bool `json:"never_repeat,omitempty"`
}

// Customer limits the requests of one caller organisation.
type Customer struct {
	Name              string  `json:"name"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	Burst             float64 `json:"burst"`
}

// Defaults that Service.WithDefaults fills in.
const (
	defaultTimeoutMillis = 2_000
	defaultClaimSeats    = 4
	defaultMaxBodyBytes  = 1 << 20
)

// WithDefaults returns the service with each absent optional field filled.
func (s Service) WithDefaults() Service {
	if s.Detection == "" {
		s.Detection = DetectBalanced
	}
	if s.TimeoutMillis == 0 {
		s.TimeoutMillis = defaultTimeoutMillis
	}
	if s.ClaimSeats == 0 {
		s.ClaimSeats = defaultClaimSeats
	}
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultMaxBodyBytes
	}
	return s
}

// HasNeverRepeat reports whether any route of the service runs at most once.
func (s Service) HasNeverRepeat() bool {
	for _, r := range s.Routes {
		if r.NeverRepeat {
			return true
		}
	}
	return false
}
