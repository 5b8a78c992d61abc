// Package field checks values that come from outside of the process: from the
// platform's store, from a target, from another node or from an operator.
//
// Any of these writers may be faulty or of another version. Each decoder checks
// the fields that it has decoded with a Checker, before anything else sees them:
//
//	var c field.Checker
//	c.Address("gate", r.GateAddress)
//	c.Int("slots", slots, 1, MaxSlots)
//	return c.Err()
//
// The ranges are far wider than what sound writers send, and narrow enough that
// arithmetic on a checked value cannot overflow. Millis and Seconds convert
// numbers that stand for a time; they saturate, so that numbers which have no
// range of their own are safe as well.
//
// A decoder that finds an invalid item of a list drops that item alone.
package field
