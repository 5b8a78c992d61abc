package node

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cuminwheel/cuminwheel/request/choice"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// meter counts what a node does. Each node has its own set, so that several
// nodes in one process do not mix.
type meter struct {
	set *metrics.Set
}

func newMeter() *meter { return &meter{set: metrics.NewSet()} }

// Outcome counts a request's outcome and its time at this node.
func (m *meter) Outcome(service string, o outcome.Outcome, code outcome.Code, took time.Duration) {
	name := fmt.Sprintf(`cuminwheel_requests_total{service=%q,outcome=%q,code=%q}`, service, o, code)
	m.set.GetOrCreateCounter(name).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`cuminwheel_request_seconds{service=%q}`, service)).Update(took.Seconds())
}

// Attempt counts an attempt by the tier that it went to.
func (m *meter) Attempt(tier choice.Tier, retry bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cuminwheel_attempts_total{tier=%q,retry="%t"}`, tier, retry)).Inc()
}

func (m *meter) gauge(name string, f func() float64) { m.set.GetOrCreateGauge(name, f) }

func (m *meter) write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
