// Package floor lets gates eject targets without taking a service's healthy
// capacity below its floor, with no coordinator, no log and no clock that
// others must agree with.
//
// A gate that wants to eject a target first raises a bid for it, then asks the
// target's siblings to vouch, and ejects only when healthy targets with at
// least the floor's capacity are vouched for. While a target is bid for or is
// ejected, its gate does not vouch for it.
//
// That is enough. Of all targets that are out at some moment, take the one
// whose bid was raised last. Those who vouched to it were neither out nor bid
// for after that bid was raised, and no bid for them was raised since, so they
// are still in service. Lost or late answers, cuts and restarts cost speed and
// never the floor. Targets that crash are not ejections: what is promised is
// that at each ejection a floor's worth of targets had answered as healthy and
// is not taken out by any other ejection.
//
// The model in spec/floor.pml checks these rules; Bids.Begin, Bids.MayVouch
// and Bid.Commit are the code that it stands for.
package floor
