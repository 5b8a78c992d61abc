package balance

// Spread returns the load of the busiest gate relative to the mean, among the gates of
// the node's data centre of which there is fresh knowledge. It is 1 if there are none,
// or if they have no load.
func Spread(views []View) float64 {
	highest, total, n := 0.0, 0.0, 0
	for i := range views {
		v := &views[i]
		if v.Distance != DataCentre || v.Unavailable || v.Slots <= 0 || v.Age >= knowledgeTTL {
			continue
		}
		load := float64(v.Outstanding+v.SentSince) / float64(v.Slots)
		highest = max(highest, load)
		total += load
		n++
	}
	if total == 0 {
		return 1
	}
	return highest * float64(n) / total
}
