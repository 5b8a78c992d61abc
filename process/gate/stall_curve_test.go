package gate

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/process/health"
	"github.com/matryer/is"
)

// curvePoint is what a number of deviations costs and brings.
type curvePoint struct {
	// detection is the time from the onset of a fault until the target is suspected:
	// its median and its 90th percentile over the faults that were found.
	detection, detectionP90 time.Duration
	// found is the share of the faults that were found before they ended.
	found float64
	// suspected is the share of the time in which the target is suspected.
	suspected float64
}

// simulateStalls runs a target for the given time: five requests a second on two
// routes of 60 ms and 250 ms, of which one in a hundred takes five times as long. With
// faults, every nine seconds on average the target hangs three of four requests for
// 2.7 s. A request that hangs is given up after 3 s.
func simulateStalls(random *rand.Rand, deviations float64, hasFaults bool, total time.Duration) curvePoint {
	const (
		step        = 5 * time.Millisecond
		faultLength = 2700 * time.Millisecond
		recovery    = 3 * time.Second
		giveUp      = 3 * time.Second
	)
	type running struct {
		route          uint32
		startedAt, end time.Time
		isStalled      bool
		hangs          bool
	}
	start := time.Unix(0, 0)
	d := newDurations()
	var b health.CircuitBreaker
	var inFlight []*running
	var detections []time.Duration
	var lastSuccessStart, faultFrom, faultTo time.Time
	var faults, steps, suspectedSteps int
	isDetected := true
	for now := start; now.Before(start.Add(total)); now = now.Add(step) {
		isFaulty := now.Before(faultTo)
		if hasFaults && !isFaulty && now.Sub(start) > 20*time.Second && now.After(faultTo.Add(recovery)) && random.Float64() < float64(step)/float64(3300*time.Millisecond) {
			faultFrom, faultTo, isFaulty, isDetected = now, now.Add(faultLength), true, b.IsSuspected(now)
			if !isDetected {
				faults++
			}
		}
		isSuspected := b.IsSuspected(now)
		if random.Float64() < 5*step.Seconds() && (!isSuspected || b.Admit(now, true) == health.AdmittedAsTrial) {
			r := &running{route: shortRoute, startedAt: now, hangs: isFaulty && random.Float64() < 0.75}
			mean := 60 * time.Millisecond
			if random.Float64() < 0.6 {
				r.route, mean = longRoute, 250*time.Millisecond
			}
			length := spread(random, mean, 0.5)
			if random.Float64() < 0.01 {
				length *= 5
			}
			if r.end = now.Add(length); r.hangs {
				r.end = now.Add(giveUp)
			}
			inFlight = append(inFlight, r)
		}
		inFlight = slices.DeleteFunc(inFlight, func(r *running) bool {
			limit := time.Second
			if measured, ok := d.byRoute[r.route]; ok {
				limit = limitAt(measured, deviations)
			}
			if !r.isStalled && now.Sub(r.startedAt) > limit {
				r.isStalled = true
				b.RecordStall(now, lastSuccessStart.After(r.startedAt))
				b.EndTrial()
			}
			if now.Before(r.end) {
				return false
			}
			if !r.hangs {
				d.record(r.route, r.end.Sub(r.startedAt))
				b.RecordSuccess(now)
				lastSuccessStart = later(lastSuccessStart, r.startedAt)
			}
			b.EndTrial()
			return true
		})
		steps++
		if b.IsSuspected(now) {
			suspectedSteps++
			if isFaulty && !isDetected {
				isDetected = true
				detections = append(detections, now.Sub(faultFrom))
			}
		}
	}
	p := curvePoint{suspected: float64(suspectedSteps) / float64(steps)}
	if len(detections) > 0 {
		slices.Sort(detections)
		p.detection, p.detectionP90 = detections[len(detections)/2], detections[len(detections)*9/10]
		p.found = float64(len(detections)) / float64(faults)
	}
	return p
}

// limitAt is the stall limit with another number of deviations.
func limitAt(r routeDurations, deviations float64) time.Duration {
	d := durations{byRoute: map[uint32]routeDurations{0: r}}
	usual := d.stallLimit(0, 0)
	deviation := max(float64(r.deviation), minDeviationShare*float64(r.mean))
	return max(minStallLimit, usual+time.Duration((deviations-stallDeviations)*deviation))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// More deviations must cost detection time and save false suspicion; the table that
// "go test -v -run StallCurve" prints is in docs/MEASUREMENTS.md. A dial that costs one
// of them without saving the other would be set wrongly.
func TestStallCurve(t *testing.T) {
	is := is.New(t)
	var previousFaulty, previousHealthy curvePoint
	for i, deviations := range []float64{2, 3, 4, 6, 8} {
		faulty := simulateStalls(rand.New(rand.NewPCG(1, 2)), deviations, true, time.Hour)
		healthy := simulateStalls(rand.New(rand.NewPCG(3, 4)), deviations, false, time.Hour)
		t.Logf("%.0f deviations: detected after %d ms, p90 %d ms, found %.3f; a healthy target is suspected %.4f of the time",
			deviations, faulty.detection.Milliseconds(), faulty.detectionP90.Milliseconds(), faulty.found, healthy.suspected)
		if i > 0 {
			is.True(faulty.detection > previousFaulty.detection)
			is.True(healthy.suspected < previousHealthy.suspected)
		}
		previousFaulty, previousHealthy = faulty, healthy
	}
}
