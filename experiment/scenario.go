package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cuminwheel/cuminwheel/process/health"
	"github.com/go-faster/errors"
)

// Scenario says how a service's targets behave. Times are in s unless their
// names say otherwise.
type Scenario struct {
	Name    string `json:"name"`
	Targets int    `json:"targets"`
	Slots   int    `json:"slots"`
	// RatePerTarget is in requests a second.
	RatePerTarget float64 `json:"rate_per_target"`
	DurationS     float64 `json:"duration_s"`
	// WorkMedianMS and WorkSigma shape the log-normal time of a request.
	WorkMedianMS float64 `json:"work_median_ms"`
	WorkSigma    float64 `json:"work_sigma"`
	// PauseEveryS and PauseMS stop a healthy target as garbage collection does.
	PauseEveryS float64 `json:"pause_every_s,omitempty"`
	PauseMS     float64 `json:"pause_ms,omitempty"`
	// HealthyFailShare of the requests fail at healthy targets.
	HealthyFailShare float64              `json:"healthy_fail_share,omitempty"`
	TimeoutMS        float64              `json:"timeout_ms"`
	Detection        health.DetectionMode `json:"detection"`
	FloorSlots       int                  `json:"floor_slots"`
	Faults           []Fault              `json:"faults,omitempty"`
}

// Fault makes targets sick for a time.
type Fault struct {
	// Targets are counted from 0.
	Targets   []int     `json:"targets"`
	Kind      FaultKind `json:"kind"`
	StartS    float64   `json:"at_s"`
	DurationS float64   `json:"for_s"`
	// ActiveS and InactiveS alternate within the fault; 0 keeps it on.
	ActiveS   float64 `json:"sick_s,omitempty"`
	InactiveS float64 `json:"well_s,omitempty"`
	// Factor is how much slower a slow target is.
	Factor float64 `json:"factor,omitempty"`
	// Share of the requests fail at a failing target.
	Share float64 `json:"share,omitempty"`
	// ServiceWide marks a fault of what lies behind the targets. None of them
	// is sick then, and an ejection is false.
	ServiceWide bool `json:"service_wide,omitempty"`
}

// FaultKind names what a fault does. None shows in an active probe.
type FaultKind string

// The kinds of faults.
const (
	FaultStall FaultKind = "stall"
	FaultSlow  FaultKind = "slow"
	FaultFail  FaultKind = "fail"
)

// ReadScenario reads and checks a scenario.
func ReadScenario(r io.Reader) (Scenario, error) {
	var s Scenario
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, errors.Wrap(err, "read scenario")
	}
	return s, s.check()
}

// Bounds of a scenario, so that one run ends in reasonable time.
const (
	maxTargets   = 1000
	maxDurationS = 1_000_000
)

func (s Scenario) check() error {
	var faults []string
	need := func(ok bool, field, remedy string) {
		if !ok {
			faults = append(faults, field+": "+remedy)
		}
	}
	need(s.Name != "", "name", "give the scenario a name")
	need(s.Targets >= 1 && s.Targets <= maxTargets, "targets", fmt.Sprintf("give 1 to %d", maxTargets))
	need(s.Slots >= 1, "slots", "give 1 or more")
	need(s.RatePerTarget > 0, "rate_per_target", "give a rate above 0")
	need(s.DurationS > 0 && s.DurationS <= maxDurationS, "duration_s", fmt.Sprintf("give up to %d", maxDurationS))
	need(s.WorkMedianMS > 0, "work_median_ms", "give a time above 0")
	need(s.TimeoutMS > 0, "timeout_ms", "give a time above 0")
	for i, f := range s.Faults {
		path := fmt.Sprintf("faults[%d].", i)
		need(f.Kind == FaultStall || f.Kind == FaultSlow || f.Kind == FaultFail, path+"kind", "use stall, slow or fail")
		need(f.Kind != FaultSlow || f.Factor > 1, path+"factor", "give a number above 1")
		for _, t := range f.Targets {
			need(t >= 0 && t < s.Targets, path+"targets", fmt.Sprintf("%d is no target; count from 0", t))
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return errors.Errorf("scenario %q: %s", s.Name, strings.Join(faults, "; "))
}

// at returns the fault that a target has at a time, if any.
func (s Scenario) at(target int, seconds float64) (Fault, bool) {
	for _, f := range s.Faults {
		since := seconds - f.StartS
		if since < 0 || since >= f.DurationS || !f.hits(target) {
			continue
		}
		cycle := f.ActiveS + f.InactiveS
		if cycle > 0 && since-cycle*float64(int(since/cycle)) >= f.ActiveS {
			continue
		}
		return f, true
	}
	return Fault{}, false
}

func (f Fault) hits(target int) bool {
	for _, t := range f.Targets {
		if t == target {
			return true
		}
	}
	return false
}
