package node

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// meter holds a node's metrics.
type meter struct {
	set *metrics.Set
}

func newMeter() *meter { return &meter{set: metrics.NewSet()} }

// observe adds gauges that read the node's state.
func (m *meter) observe(n *Node) {
	m.set.NewGauge("cuminwheel_configuration_version", func() float64 {
		return float64(n.current.Configuration().Version)
	})
	m.set.NewGauge("cuminwheel_known_nodes", func() float64 { return float64(len(n.roster.Nodes())) })
	m.set.NewGauge("cuminwheel_target_busy", func() float64 { return float64(n.gate.State().Outstanding) })
	m.set.NewGauge("cuminwheel_target_suspect", func() float64 {
		if n.gate.State().Suspect {
			return 1
		}
		return 0
	})
}

// RecordEntryRequest counts a caller's request.
func (m *meter) RecordEntryRequest(route string, code outcome.Code, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cuminwheel_requests_total{route=%q,code=%q}`, route, code)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`cuminwheel_request_seconds{route=%q}`, route)).Update(took.Seconds())
}

// RecordGateAttempt counts a question to a gate.
func (m *meter) RecordGateAttempt(tier string, code outcome.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cuminwheel_asks_total{tier=%q,code=%q}`, tier, code)).Inc()
}

// CountGateRequest counts a request at the gate.
func (m *meter) CountGateRequest(code outcome.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cuminwheel_gate_requests_total{code=%q}`, code)).Inc()
}
