package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cuminwheel/cuminwheel/process/health"
	"github.com/go-faster/errors"
)

// Scenario describes a service, the load on it and the faults of its targets.
// Fields that end in S are in seconds, those that end in MS in milliseconds.
type Scenario struct {
	Name string `json:"name"`
	// Targets is the number of targets. Each serves up to Slots requests at once.
	Targets int `json:"targets"`
	Slots   int `json:"slots"`
	// RatePerTarget is the request rate of the whole service divided by Targets,
	// in requests per second.
	RatePerTarget float64 `json:"rate_per_target"`
	DurationS     float64 `json:"duration_s"`
	// WorkMedianMS and WorkSigma are the parameters of the log-normal time that
	// a healthy target takes for a request.
	WorkMedianMS float64 `json:"work_median_ms"`
	WorkSigma    float64 `json:"work_sigma"`
	// PauseEveryS and PauseMS are the mean interval and the mean length of pauses
	// of a target, such as those of garbage collection. They are not faults.
	PauseEveryS float64 `json:"pause_every_s,omitempty"`
	PauseMS     float64 `json:"pause_ms,omitempty"`
	// HealthyFailShare is the share of requests that fail regardless of faults.
	HealthyFailShare float64              `json:"healthy_fail_share,omitempty"`
	TimeoutMS        float64              `json:"timeout_ms"`
	Detection        health.DetectionMode `json:"detection"`
	// FloorSlots is the capacity that ejections must leave in service.
	FloorSlots int     `json:"floor_slots"`
	Faults     []Fault `json:"faults,omitempty"`
}

// Fault makes some targets faulty for DurationS seconds from StartS.
type Fault struct {
	// Targets are the indices of the faulty targets, from 0.
	Targets   []int     `json:"targets"`
	Kind      FaultKind `json:"kind"`
	StartS    float64   `json:"at_s"`
	DurationS float64   `json:"for_s"`
	// ActiveS and InactiveS are the lengths of the alternating spans in which an
	// intermittent fault is active and inactive. If both are 0, the fault is
	// always active.
	ActiveS   float64 `json:"sick_s,omitempty"`
	InactiveS float64 `json:"well_s,omitempty"`
	// Factor multiplies the time that a slow target takes for a request.
	Factor float64 `json:"factor,omitempty"`
	// Share is the share of requests that fail at a failing target.
	Share float64 `json:"share,omitempty"`
	// ServiceWide marks a fault of a dependency that all targets share. No target
	// counts as faulty then, and an ejection is false.
	ServiceWide bool `json:"service_wide,omitempty"`
}

// FaultKind is the effect of a fault on requests. Active probes detect none of
// them.
type FaultKind string

// The fault kinds.
const (
	// FaultStall means that requests get no response.
	FaultStall FaultKind = "stall"
	// FaultSlow means that requests take Fault.Factor times as long.
	FaultSlow FaultKind = "slow"
	// FaultFail means that Fault.Share of the requests fail.
	FaultFail FaultKind = "fail"
)

// ReadScenario decodes a scenario from JSON and validates it. Unknown fields are
// errors.
func ReadScenario(r io.Reader) (Scenario, error) {
	var s Scenario
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, errors.Wrap(err, "read scenario")
	}
	return s, s.validate()
}

// Limits of a scenario, so that a run ends in reasonable time.
const (
	maxTargets   = 1000
	maxDurationS = 1_000_000
)

// validate returns an error that lists all invalid fields.
func (s Scenario) validate() error {
	var problems []string
	require := func(ok bool, field, requirement string) {
		if !ok {
			problems = append(problems, field+": "+requirement)
		}
	}
	require(s.Name != "", "name", "must not be empty")
	require(s.Targets >= 1 && s.Targets <= maxTargets, "targets", fmt.Sprintf("must be from 1 to %d", maxTargets))
	require(s.Slots >= 1, "slots", "must be at least 1")
	require(s.RatePerTarget > 0, "rate_per_target", "must be above 0")
	require(s.DurationS > 0 && s.DurationS <= maxDurationS, "duration_s", fmt.Sprintf("must be above 0 and at most %d", maxDurationS))
	require(s.WorkMedianMS > 0, "work_median_ms", "must be above 0")
	require(s.TimeoutMS > 0, "timeout_ms", "must be above 0")
	for i, f := range s.Faults {
		path := fmt.Sprintf("faults[%d].", i)
		require(f.Kind == FaultStall || f.Kind == FaultSlow || f.Kind == FaultFail, path+"kind", "must be stall, slow or fail")
		require(f.Kind != FaultSlow || f.Factor > 1, path+"factor", "must be above 1")
		for _, t := range f.Targets {
			require(t >= 0 && t < s.Targets, path+"targets", fmt.Sprintf("%d is not a target; targets are numbered from 0", t))
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return errors.Errorf("scenario %q: %s", s.Name, strings.Join(problems, "; "))
}

// activeFault returns the first fault that is active at a target, seconds after
// the start of the run.
func (s Scenario) activeFault(target int, seconds float64) (Fault, bool) {
	for _, f := range s.Faults {
		since := seconds - f.StartS
		if since < 0 || since >= f.DurationS || !f.affects(target) {
			continue
		}
		period := f.ActiveS + f.InactiveS
		if period > 0 && since-period*float64(int(since/period)) >= f.ActiveS {
			continue
		}
		return f, true
	}
	return Fault{}, false
}

// affects reports whether the target is one of the fault's.
func (f Fault) affects(target int) bool {
	for _, t := range f.Targets {
		if t == target {
			return true
		}
	}
	return false
}
