package floor

// Capacity is what a gate reports about its own targets of a service to a
// sibling that proposes an ejection.
type Capacity struct {
	// HealthySlots is the capacity of the targets that count towards the floor.
	HealthySlots int `codec:"healthy_slots"`
	// SuspectedSlots is the capacity of the targets that are suspected
	// themselves.
	SuspectedSlots int `codec:"suspected_slots"`
	// ServingSlots is the capacity of all targets that take requests.
	ServingSlots int `codec:"serving_slots"`
}

// minHealthyShare of the siblings' serving capacity must not be suspected. If
// less is healthy, the service is slow and no single target is unhealthy.
const minHealthyShare = 0.4

// Add returns the sum of two capacities.
func (c Capacity) Add(o Capacity) Capacity {
	c.HealthySlots += o.HealthySlots
	c.SuspectedSlots += o.SuspectedSlots
	c.ServingSlots += o.ServingSlots
	return c
}

// IsServiceDegraded reports whether so much of the siblings' capacity is
// suspected that the fault lies with the whole service.
func (c Capacity) IsServiceDegraded() bool {
	healthy := c.ServingSlots - c.SuspectedSlots
	return c.ServingSlots > 0 && float64(healthy) < minHealthyShare*float64(c.ServingSlots)
}
