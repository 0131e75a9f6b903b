package caller

import "sync"

const (
	// retryPart is how many retries each call earns.
	retryPart = 0.1
	// retryMost is how many retries can be saved up.
	retryMost = 20.0
)

// retryBudget keeps retries to a part of the calls, so that they can't pile up
// on upstreams that are failing already. The zero value has a few to begin
// with, and it is safe for concurrent use.
type retryBudget struct {
	mutex sync.Mutex
	spent float64 // Below retryMost; the rest is what may be spent.
}

func (b *retryBudget) earn() {
	b.mutex.Lock()
	b.spent = max(0, b.spent-retryPart)
	b.mutex.Unlock()
}

func (b *retryBudget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.spent+1 > retryMost {
		return false
	}
	b.spent++
	return true
}
