package node

import (
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// meter records a node's metrics.
type meter struct {
	set *metrics.Set
}

func newMeter() *meter { return &meter{set: metrics.NewSet()} }

// registerGauges adds gauges that read the node's state.
func (m *meter) registerGauges(n *Node) {
	m.set.NewGauge("cuminwheel_configuration_version", func() float64 {
		return float64(n.configuration.Configuration().Version)
	})
	m.set.NewGauge("cuminwheel_store_response_age_seconds", func() float64 {
		at := n.follower.RespondedAt()
		if at.IsZero() {
			return math.Inf(1)
		}
		return time.Since(at).Seconds()
	})
	m.set.NewGauge("cuminwheel_configuration_behind_seconds", func() float64 {
		since := n.gossiper.BehindSince()
		if since.IsZero() {
			return 0
		}
		return time.Since(since).Seconds()
	})
	m.set.NewGauge("cuminwheel_configuration_customers", func() float64 {
		return float64(n.configuration.Configuration().Customers().Len())
	})
	m.set.NewGauge("cuminwheel_known_nodes", func() float64 { return float64(len(n.view.Nodes())) })
	m.set.NewGauge("cuminwheel_target_busy", func() float64 { return float64(n.gate.State().Outstanding) })
	m.set.NewGauge("cuminwheel_body_bytes", func() float64 { return float64(n.bodies.Used()) })
	m.set.NewGauge("cuminwheel_target_request_limit", func() float64 {
		limit, ok := n.gate.RequestLimit()
		if !ok {
			return math.Inf(1)
		}
		return limit
	})
	m.set.NewGauge("cuminwheel_target_shedding", func() float64 {
		if n.gate.Scheduling().IsShedding {
			return 1
		}
		return 0
	})
	m.set.NewGauge(`cuminwheel_gate_queued{rank="calls"}`, func() float64 { return float64(n.gate.Scheduling().QueuedCalls) })
	m.set.NewGauge(`cuminwheel_gate_queued{rank="customers"}`, func() float64 { return float64(n.gate.Scheduling().QueuedOfCustomers) })
	m.set.NewGauge("cuminwheel_target_suspect", func() float64 {
		if n.gate.State().Suspected {
			return 1
		}
		return 0
	})
}

// RecordEntryRequest records the outcome and the duration of a caller's request.
// The code is empty if the response of a target was returned.
func (m *meter) RecordEntryRequest(route string, code outcome.Code, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cuminwheel_requests_total{route=%q,code=%q}`, route, code)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`cuminwheel_request_seconds{route=%q}`, route)).Update(took.Seconds())
}

// RecordQuotaDecision records whether a request of a customer with a quota was allowed.
func (m *meter) RecordQuotaDecision(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cuminwheel_quota_requests_total{result=%q}`, result)).Inc()
}

// RecordQuotaCall records a call for tokens to another node.
func (m *meter) RecordQuotaCall() {
	m.set.GetOrCreateCounter("cuminwheel_quota_calls_total").Inc()
}

// RecordGateAttempt records an attempt to send a request to a gate.
func (m *meter) RecordGateAttempt(tier string, code outcome.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cuminwheel_asks_total{tier=%q,code=%q}`, tier, code)).Inc()
}

// RecordEvenChoice records a choice of even balancing.
func (m *meter) RecordEvenChoice(service string, spread float64, age time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`cuminwheel_load_spread{service=%q}`, service)).Update(spread)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`cuminwheel_knowledge_age_seconds{service=%q}`, service)).Update(age.Seconds())
}

// RecordOverruledChoice records a choice of even balancing that the gate refused.
func (m *meter) RecordOverruledChoice(service string, code outcome.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cuminwheel_overruled_choices_total{service=%q,code=%q}`, service, code)).Inc()
}

// RecordGateRequest records a request that the gate has served or refused.
func (m *meter) RecordGateRequest(code outcome.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cuminwheel_gate_requests_total{code=%q}`, code)).Inc()
}

// RecordTargetRequest records a request that is sent to the target.
func (m *meter) RecordTargetRequest() {
	m.set.GetOrCreateCounter("cuminwheel_target_requests_total").Inc()
}
