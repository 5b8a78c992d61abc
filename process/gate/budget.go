package gate

// budget bounds how often the target is sent a request that a target has been
// sent before. It grows with the first sends that the gate sees, so that the
// sum over all gates of a service keeps the fleet's ratio without any message
// between them.
type budget struct {
	tokens float64
	share  float64
	most   float64
}

// Shares of the fleet's bound that the gates use together. The rest is for
// requests that a repeated request makes in its turn, which no gate can tell.
const (
	ratioShare = 0.8
	slackShare = 0.6
)

// newBudget returns a gate's part of a budget of ratio repeats for each request
// and slack repeats besides, shared by the given number of gates.
func newBudget(ratio, slack float64, gates int) budget {
	most := max(1, slackShare*slack/float64(max(1, gates)))
	return budget{tokens: most, share: ratioShare * ratio, most: most}
}

func (b *budget) earn() { b.tokens = min(b.most, b.tokens+b.share) }

func (b *budget) canSpend() bool { return b.tokens >= 1 }

func (b *budget) spend() { b.tokens-- }
