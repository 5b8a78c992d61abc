package entry

import "sync"

// retryBudget lets retries be at most a share of the requests, so that they
// cannot multiply an overload.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

const (
	retryShare      = 0.1
	maxRetryTokens  = 20
	firstRetryToken = 10
)

func newRetryBudget() *retryBudget { return &retryBudget{tokens: firstRetryToken} }

// earn counts a request of a caller.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+retryShare)
}

// spend takes a retry from the budget, if there is one.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
