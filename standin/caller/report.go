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

// Report counts the requests of a workload by outcome. Audit fills in the fields from
// Claims on.
type Report struct {
	Sent int `json:"sent"`
	// Answered counts complete, successful responses to the request sent.
	Answered int `json:"answered"`
	// Errors counts complete responses with an error status of the target.
	Errors int `json:"errors"`
	// NotRun counts refusals, which say that the request did not run.
	NotRun int `json:"not_run"`
	// Unknown counts failures after which the request may have run or not.
	Unknown int `json:"unknown"`
	// NoResponse counts requests without a complete HTTP response.
	NoResponse int `json:"no_response"`
	// Returns counts the refused requests that were sent again; the counts above hold the
	// outcome of the last attempt.
	Returns int `json:"returns"`
	// NotSent counts requests that would have exceeded Workload.MaxInFlight.
	NotSent int `json:"not_sent"`
	// Invalid counts responses that were truncated, belonged to another request or had no
	// status of HTTP.
	Invalid int `json:"foreign"`
	// Codes counts refusals and failures by their outcome code.
	Codes map[string]int `json:"codes"`

	// Latencies of the answered requests.
	P50Millis float64 `json:"p50_ms"`
	P99Millis float64 `json:"p99_ms"`
	MaxMillis float64 `json:"max_ms"`

	// Claims counts the requests to Workload.ClaimPaths.
	Claims int `json:"claims"`
	// Duplicated counts claims that were executed more than once.
	Duplicated int `json:"doubled"`
	// AnsweredWithoutRun counts requests that were answered although no target
	// executed them.
	AnsweredWithoutRun int `json:"lost"`
	// FalseNotRun counts requests that were reported as not run although a target
	// executed them.
	FalseNotRun int `json:"false_not_run"`
	// RanWithoutResponse counts requests that a target executed and whose caller got
	// no response.
	RanWithoutResponse int `json:"cut"`
	// StartedAfterDrain counts requests that a target started although the node had
	// confirmed its drain.
	StartedAfterDrain int `json:"late"`
	// WrongCustomer counts requests that a target got with another customer than that of
	// their key, KeysForwarded those that it got with a key.
	WrongCustomer int `json:"wrong_customer"`
	KeysForwarded int `json:"keys_forwarded"`
}

// IsCorrect reports whether all guarantees hold: no claim was executed more than once,
// no request was answered without being executed or reported as not run although it
// was executed, no response was invalid, no request started after a drain, and targets
// got the right customers and no keys. A request without a response violates none.
func (r Report) IsCorrect() bool {
	return r.Duplicated == 0 && r.AnsweredWithoutRun == 0 && r.Invalid == 0 && r.FalseNotRun == 0 && r.StartedAfterDrain == 0 &&
		r.WrongCustomer == 0 && r.KeysForwarded == 0
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

// Audit compares the recorded outcomes with how often the targets executed each
// request, by ID, and adds the results to the report.
func (g *Generator) Audit(r Report, executions map[string]int) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.StartedAfterDrain = executions[target.StartedAfterDrainID]
	r.WrongCustomer = executions[target.WrongCustomerID]
	r.KeysForwarded = executions[target.KeyForwardedID]
	for id, result := range g.resultsByID {
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

// ReadExecutions reads the files in which the targets record the ID of each request
// that they start, and returns the number of executions by ID.
func ReadExecutions(paths []string) (map[string]int, error) {
	counts := map[string]int{}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read execution record")
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
		{"requests sent", r.Sent}, {"complete responses", r.Answered}, {"target errors", r.Errors},
		{"refused, not run", r.NotRun}, {"failed, outcome unknown", r.Unknown},
		{"no response", r.NoResponse}, {"sent again after a refusal", r.Returns}, {"not sent (in-flight limit)", r.NotSent},
		{"truncated or wrong responses", r.Invalid},
		{"p50 ms", r.P50Millis}, {"p99 ms", r.P99Millis}, {"max ms", r.MaxMillis},
		{"claims", r.Claims}, {"claims executed more than once", r.Duplicated}, {"answered but not executed", r.AnsweredWithoutRun},
		{"executed without response", r.RanWithoutResponse}, {"refused but executed", r.FalseNotRun}, {"started after the drain", r.StartedAfterDrain},
		{"wrong customer at a target", r.WrongCustomer}, {"keys at a target", r.KeysForwarded},
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
