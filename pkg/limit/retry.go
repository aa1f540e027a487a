package limit

import "sync"

// Parameters of the retry budget.
const (
	// RetryShare is how many retries each success earns.
	RetryShare = 0.08
	// retryBurst is how many retries can be accumulated.
	retryBurst = 10.0
)

// RetryBudget permits retries in proportion to successes, so that retries add little load
// to a failing pool. The zero value has earned nothing yet.
type RetryBudget struct {
	mu     sync.Mutex
	saved  float64
	primed bool
}

// Success records an answered request.
func (b *RetryBudget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(retryBurst, b.saved+RetryShare)
}

// Take uses one retry; if it returns false the request must fail.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prime()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// prime grants one retry to a gateway that has just started.
func (b *RetryBudget) prime() {
	if b.primed {
		return
	}
	b.primed = true
	b.saved++
}
