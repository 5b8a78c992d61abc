package experiment

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// Summary sums up the runs of one policy on one scenario.
type Summary struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seeds    int    `json:"seeds"`
	// DetectP50S and DetectP99S are over the sick episodes of all runs: the
	// time from the onset to the last work, trials apart, that began at the
	// sick target in the episode. Negative means that there was no episode.
	DetectP50S float64 `json:"detect_p50_s"`
	DetectP99S float64 `json:"detect_p99_s"`
	// FirstDetectP99S is the same over the first episode of each run.
	FirstDetectP99S float64 `json:"first_p99_s"`
	// RequestsToFaulty is the mean number of requests begun at a sick target in a run.
	RequestsToFaulty float64 `json:"to_sick"`
	// The shares are of the requests offered.
	AnsweredShare float64 `json:"answered_share"`
	RefusedShare  float64 `json:"refused_share"`
	FailedShare   float64 `json:"failed_share"`
	Amplification float64 `json:"amplification"`
	Ejections     int     `json:"ejections"`
	// FalseEjections are over HealthyHours of target time.
	FalseEjections int     `json:"false_ejections"`
	HealthyHours   float64 `json:"healthy_hours"`
	FloorBreaches  int     `json:"floor_breaches"`
	// RequestsToFaultyOverTime counts requests begun at sick targets by tenths of a second
	// since the first onset, over all runs.
	RequestsToFaultyOverTime []int `json:"sick_work,omitempty"`
}

// Measure runs each policy on the scenario with seeds 1 to seeds, workers runs
// at a time.
func Measure(s Scenario, makers []PolicyFactory, seeds, workers int) []Summary {
	rows := make([]Summary, len(makers))
	for i, m := range makers {
		rows[i] = sum(s, m.Name, runSeeds(s, m, seeds, workers))
	}
	return rows
}

func runSeeds(s Scenario, m PolicyFactory, seeds, workers int) []Result {
	results := make([]Result, seeds)
	slots := make(chan struct{}, max(1, workers))
	var wg sync.WaitGroup
	for i := range seeds {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			results[i] = Run(s, m, uint64(i+1))
		}()
	}
	wg.Wait()
	return results
}

func sum(s Scenario, policy string, results []Result) Summary {
	row := Summary{Scenario: s.Name, Policy: policy, Seeds: len(results), DetectP50S: -1, DetectP99S: -1, FirstDetectP99S: -1}
	var total Result
	var lasts, firsts []float64
	for _, r := range results {
		total.Offered += r.Offered
		total.Answered += r.Answered
		total.Refused += r.Refused
		total.Failed += r.Failed
		total.Attempts += r.Attempts
		total.RequestsToFaulty += r.RequestsToFaulty
		row.Ejections += r.Ejections
		row.FalseEjections += r.FalseEjections
		row.HealthyHours += r.HealthyHours
		row.FloorBreaches += r.FloorBreaches
		lasts = append(lasts, r.DetectionS...)
		if len(r.DetectionS) > 0 {
			firsts = append(firsts, r.DetectionS[0])
		}
		row.RequestsToFaultyOverTime = addTo(row.RequestsToFaultyOverTime, r.RequestsToFaultyOverTime)
	}
	offered := float64(max(1, total.Offered))
	row.RequestsToFaulty = float64(total.RequestsToFaulty) / float64(len(results))
	row.AnsweredShare = float64(total.Answered) / offered
	row.RefusedShare = float64(total.Refused) / offered
	row.FailedShare = float64(total.Failed) / offered
	row.Amplification = float64(total.Attempts) / offered
	if len(lasts) > 0 {
		row.DetectP50S = quantile(lasts, 0.50)
		row.DetectP99S = quantile(lasts, 0.99)
		row.FirstDetectP99S = quantile(firsts, 0.99)
	}
	return row
}

func addTo(a, b []int) []int {
	for len(a) < len(b) {
		a = append(a, 0)
	}
	for i, n := range b {
		a[i] += n
	}
	return a
}

// quantile returns the smallest value that at least share q do not exceed.
func quantile(values []float64, q float64) float64 {
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	i := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[max(0, min(i, len(sorted)-1))]
}

// PrintTable writes rows as an aligned table.
func PrintTable(w io.Writer, rows []Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tpolicy\tdetect p50 s\tp99 s\tfirst p99 s\tto sick\tanswered\trefused\tfailed\tattempts\tejected\tfalse\tper 1000 h\tbelow floor\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.1f\t%.4f\t%.4f\t%.4f\t%.3f\t%d\t%d\t%.2f\t%d\t\n",
			r.Scenario, r.Policy, orDash(r.DetectP50S), orDash(r.DetectP99S), orDash(r.FirstDetectP99S), r.RequestsToFaulty,
			r.AnsweredShare, r.RefusedShare, r.FailedShare, r.Amplification, r.Ejections, r.FalseEjections,
			1000*float64(r.FalseEjections)/max(r.HealthyHours, 1e-9), r.FloorBreaches)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "print table")
	}
	return nil
}

func orDash(v float64) string {
	if v < 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", v)
}
