package node

import "fmt"

// RecordHeld records a request that the entry holds because its caller would not return.
func (m *meter) RecordHeld() { m.set.GetOrCreateCounter("cuminwheel_held_total").Inc() }

// RecordReleased records a held request that got a response.
func (m *meter) RecordReleased() { m.set.GetOrCreateCounter("cuminwheel_held_released_total").Inc() }

// RecordRefused records a refusal under the shared scheduling.
func (m *meter) RecordRefused(reason string, wasHeld bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cuminwheel_refused_total{reason=%q,held="%t"}`, reason, wasHeld)).Inc()
}

// RecordReturn records a request that was refused before. The entry bounds the number of
// routes.
func (m *meter) RecordReturn(route string, early bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cuminwheel_returns_total{route=%q,early="%t"}`, route, early)).Inc()
}
