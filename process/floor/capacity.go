package floor

// Capacity is what a gate says of its own targets of a service.
type Capacity struct {
	// HealthySlots is the capacity of targets that are vouched for.
	HealthySlots int `codec:"healthy_slots"`
	// SuspectedSlots is the capacity of targets that are suspected themselves.
	SuspectedSlots int `codec:"suspected_slots"`
	// ServingSlots is the capacity of all targets that take work.
	ServingSlots int `codec:"serving_slots"`
}

// minHealthyShare of the siblings must be unsuspected: if fewer are, the
// service is slow and no single target is sick.
const minHealthyShare = 0.4

// Add returns the sum of what two gates say.
func (v Capacity) Add(o Capacity) Capacity {
	v.HealthySlots += o.HealthySlots
	v.SuspectedSlots += o.SuspectedSlots
	v.ServingSlots += o.ServingSlots
	return v
}

// IsServiceDegraded reports whether too many siblings are suspected themselves.
func (v Capacity) IsServiceDegraded() bool {
	healthy := v.ServingSlots - v.SuspectedSlots
	return v.ServingSlots > 0 && float64(healthy) < minHealthyShare*float64(v.ServingSlots)
}
