// Package floor lets gates eject targets without taking a service's healthy
// capacity below its floor, with no coordinator, no log and no synchronised
// clocks.
//
// A gate that wants to eject a target asks the target's siblings to promise
// that they stay in service for a short term. It may eject only when promises
// for at least the floor are in, and only before the first of them could end.
// A gate that has promised does not eject the promised target before the
// promise ends, and a gate that is collecting for a target does not promise
// it. At the moment of any ejection, therefore, a floor's worth of targets
// that answered as healthy is in service and none of them is being ejected.
//
// The ejecting gate counts the time from before it asked and the promising
// gate from after it was asked, so that only the rates of their clocks matter,
// and those are covered by a margin. A gate that restarts has forgotten its
// promises and ejects nothing until any promise would have ended. A cut, a
// crash or a lost message costs speed and never the floor.
//
// The model in spec/floor.pml checks these rules; Promises is the code that it
// stands for.
package floor
