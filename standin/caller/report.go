package caller

import (
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/go-faster/errors"
)

// Report says what callers saw.
type Report struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	// Errors are whole answers with an error status of the target.
	Errors     int `json:"errors"`
	NotRun     int `json:"not_run"`
	Unknown    int `json:"unknown"`
	NoResponse int `json:"no_response"`
	NotSent    int `json:"not_sent"`
	// Invalid are answers that were short or belonged to another request.
	Invalid int            `json:"foreign"`
	Codes   map[string]int `json:"codes"`

	P50Millis float64 `json:"p50_ms"`
	P99Millis float64 `json:"p99_ms"`
	MaxMillis float64 `json:"max_ms"`

	Claims int `json:"claims"`
	// Duplicated claims ran more than once.
	Duplicated int `json:"doubled"`
	// AnsweredWithoutRun requests were answered and ran nowhere.
	AnsweredWithoutRun int `json:"lost"`
	// FalseNotRun requests were said not to have run and ran.
	FalseNotRun int `json:"false_not_run"`
	// RanWithoutResponse requests ran and got no response at all.
	RanWithoutResponse int `json:"cut"`
	// StartedAfterDrain requests began at a target that had said that it drains.
	StartedAfterDrain int `json:"late"`
}

// IsCorrect reports whether nothing was doubled, lost, foreign or falsely said
// not to have run.
func (r Report) IsCorrect() bool {
	return r.Duplicated == 0 && r.AnsweredWithoutRun == 0 && r.Invalid == 0 && r.FalseNotRun == 0 && r.StartedAfterDrain == 0
}

const microsPerMilli = 1000

func (g *Generator) summarise() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.report
	r.P50Millis = float64(g.latencies.ValueAtQuantile(50)) / microsPerMilli
	r.P99Millis = float64(g.latencies.ValueAtQuantile(99)) / microsPerMilli
	r.MaxMillis = float64(g.latencies.Max()) / microsPerMilli
	return r
}

// Audit adds to the report what the targets' records of what ran show.
func (g *Generator) Audit(r Report, executions map[string]int) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.StartedAfterDrain = executions[target.StartedAfterDrainID]
	for id, result := range g.results {
		if result.isClaim {
			r.Claims++
		}
		n := executions[id]
		switch {
		case n > 1 && result.isClaim:
			r.Duplicated++
		case n == 0 && result.isAnswered:
			r.AnsweredWithoutRun++
		case n > 0 && result.hasNoResponse:
			r.RanWithoutResponse++
		case n > 0 && result.isReportedNotRun:
			r.FalseNotRun++
		}
	}
	return r
}

// ReadExecutions adds up the files in which the targets noted the requests that began.
func ReadExecutions(paths []string) (map[string]int, error) {
	counts := map[string]int{}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read counts")
		}
		for _, id := range strings.Fields(string(raw)) {
			counts[id]++
		}
	}
	return counts, nil
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"requests sent", r.Sent}, {"whole answers", r.Answered}, {"target errors", r.Errors},
		{"refused, not run", r.NotRun}, {"failed, outcome unknown", r.Unknown},
		{"no response", r.NoResponse}, {"not sent (caller's bound)", r.NotSent},
		{"short or foreign answers", r.Invalid},
		{"p50 ms", r.P50Millis}, {"p99 ms", r.P99Millis}, {"max ms", r.MaxMillis},
		{"claims", r.Claims}, {"claims doubled", r.Duplicated}, {"requests lost", r.AnsweredWithoutRun},
		{"run and got no response", r.RanWithoutResponse}, {"falsely called not run", r.FalseNotRun}, {"begun at a drained target", r.StartedAfterDrain},
	}
	for _, row := range rows {
		fmt.Fprintf(t, "%s\t%v\n", row.name, row.value)
	}
	codes := make([]string, 0, len(r.Codes))
	for c := range r.Codes {
		codes = append(codes, c)
	}
	sort.Strings(codes)
	for _, c := range codes {
		fmt.Fprintf(t, "code %s\t%d\n", c, r.Codes[c])
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "print report")
	}
	return nil
}
