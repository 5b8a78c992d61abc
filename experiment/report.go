package experiment

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// Summary holds the combined results of the runs of one policy on one scenario.
type Summary struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seeds    int    `json:"seeds"`
	// DetectP50S and DetectP99S are quantiles of Result.DetectionS over the
	// episodes of all runs: the time from the start of an episode to the last
	// request, other than trials, that was started at a faulty target during it.
	// Negative means that there was no episode.
	DetectP50S float64 `json:"detect_p50_s"`
	DetectP99S float64 `json:"detect_p99_s"`
	// FirstDetectP99S is the 99th percentile over the first episode of each run.
	FirstDetectP99S float64 `json:"first_p99_s"`
	// RequestsToFaulty is the mean of Result.RequestsToFaulty.
	RequestsToFaulty float64 `json:"to_sick"`
	// AnsweredShare, RefusedShare and FailedShare are shares of the requests that
	// were offered. Amplification is the number of attempts per offered request.
	AnsweredShare float64 `json:"answered_share"`
	RefusedShare  float64 `json:"refused_share"`
	FailedShare   float64 `json:"failed_share"`
	Amplification float64 `json:"amplification"`
	Ejections     int     `json:"ejections"`
	// FalseEjections is the number of false ejections in HealthyHours of target
	// time.
	FalseEjections int     `json:"false_ejections"`
	HealthyHours   float64 `json:"healthy_hours"`
	FloorBreaches  int     `json:"floor_breaches"`
	// RequestsToFaultyOverTime is the sum of Result.RequestsToFaultyOverTime, in
	// tenths of a second since the start of the first fault.
	RequestsToFaultyOverTime []int `json:"sick_work,omitempty"`
}

// Measure runs each policy on the scenario with each seed from 1 to seeds. Up to
// workers runs are concurrent.
func Measure(s Scenario, factories []PolicyFactory, seeds, workers int) []Summary {
	summaries := make([]Summary, len(factories))
	for i, f := range factories {
		summaries[i] = summarise(s, f.Name, runSeeds(s, f, seeds, workers))
	}
	return summaries
}

func runSeeds(s Scenario, f PolicyFactory, seeds, workers int) []Result {
	results := make([]Result, seeds)
	semaphore := make(chan struct{}, max(1, workers))
	var wg sync.WaitGroup
	for i := range seeds {
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			results[i] = Run(s, f, uint64(i+1))
		}()
	}
	wg.Wait()
	return results
}

// summarise combines the results of all seeds of one policy on one scenario.
func summarise(s Scenario, policy string, results []Result) Summary {
	summary := Summary{Scenario: s.Name, Policy: policy, Seeds: len(results), DetectP50S: -1, DetectP99S: -1, FirstDetectP99S: -1}
	var total Result
	var detections, firstDetections []float64
	for _, r := range results {
		total.Offered += r.Offered
		total.Answered += r.Answered
		total.Refused += r.Refused
		total.Failed += r.Failed
		total.Attempts += r.Attempts
		total.RequestsToFaulty += r.RequestsToFaulty
		summary.Ejections += r.Ejections
		summary.FalseEjections += r.FalseEjections
		summary.HealthyHours += r.HealthyHours
		summary.FloorBreaches += r.FloorBreaches
		detections = append(detections, r.DetectionS...)
		if len(r.DetectionS) > 0 {
			firstDetections = append(firstDetections, r.DetectionS[0])
		}
		summary.RequestsToFaultyOverTime = addElements(summary.RequestsToFaultyOverTime, r.RequestsToFaultyOverTime)
	}
	offered := float64(max(1, total.Offered))
	summary.RequestsToFaulty = float64(total.RequestsToFaulty) / float64(len(results))
	summary.AnsweredShare = float64(total.Answered) / offered
	summary.RefusedShare = float64(total.Refused) / offered
	summary.FailedShare = float64(total.Failed) / offered
	summary.Amplification = float64(total.Attempts) / offered
	if len(detections) > 0 {
		summary.DetectP50S = quantile(detections, 0.50)
		summary.DetectP99S = quantile(detections, 0.99)
		summary.FirstDetectP99S = quantile(firstDetections, 0.99)
	}
	return summary
}

// addElements adds the elements of b to those of a, which it extends as needed.
func addElements(a, b []int) []int {
	for len(a) < len(b) {
		a = append(a, 0)
	}
	for i, n := range b {
		a[i] += n
	}
	return a
}

// quantile returns the smallest value that at least a share q of the values does
// not exceed.
func quantile(values []float64, q float64) float64 {
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	i := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[max(0, min(i, len(sorted)-1))]
}

// PrintTable writes the summaries as an aligned table.
func PrintTable(w io.Writer, summaries []Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tpolicy\tdetect p50 s\tp99 s\tfirst p99 s\tto faulty\tanswered\trefused\tfailed\tattempts\tejected\tfalse\tper 1000 h\tbelow floor\t")
	for _, s := range summaries {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.1f\t%.4f\t%.4f\t%.4f\t%.3f\t%d\t%d\t%.2f\t%d\t\n",
			s.Scenario, s.Policy, formatSeconds(s.DetectP50S), formatSeconds(s.DetectP99S), formatSeconds(s.FirstDetectP99S), s.RequestsToFaulty,
			s.AnsweredShare, s.RefusedShare, s.FailedShare, s.Amplification, s.Ejections, s.FalseEjections,
			1000*float64(s.FalseEjections)/max(s.HealthyHours, 1e-9), s.FloorBreaches)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "print table")
	}
	return nil
}

// formatSeconds formats a detection time. Negative values, which mean that there was
// no episode, become a dash.
func formatSeconds(v float64) string {
	if v < 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", v)
}
