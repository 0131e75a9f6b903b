package caller

import "sync"

// RetryPolicy bounds how often calls are sent to a second upstream. Zero
// fields get defaults.
type RetryPolicy struct {
	// Part is how many retries each call to a service earns: 0.1.
	Part float64
	// Saved is how many retries one daemon can save up for a service: 20.
	Saved float64
	// Slack is how many the daemons of the fleet can save up together. If it is
	// set, each has an equal part of it, and Saved is not used.
	Slack float64
}

const (
	defaultRetryPart  = 0.1
	defaultRetrySaved = 20.0
)

func (p RetryPolicy) withDefaults() RetryPolicy {
	if p.Part == 0 {
		p.Part = defaultRetryPart
	}
	if p.Saved == 0 {
		p.Saved = defaultRetrySaved
	}
	return p
}

// saved returns how many retries one of a number of daemons can save up.
func (p RetryPolicy) saved(daemons int) float64 {
	if p.Slack == 0 {
		return p.Saved
	}
	return p.Slack / float64(max(1, daemons))
}

// retryBudgets keeps retries to a part of the calls of each service, so that
// they can't pile up on upstreams that are failing already. The zero value is
// ready, and it is safe for concurrent use.
type retryBudgets struct {
	mutex sync.Mutex
	spent map[string]float64 // By service; what is left of the savings may be spent.
}

func (b *retryBudgets) earn(service string, part float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.spent[service] > 0 {
		b.spent[service] = max(0, b.spent[service]-part)
	}
}

func (b *retryBudgets) spend(service string, saved float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.spent[service]+1 > saved {
		return false
	}
	if b.spent == nil {
		b.spent = map[string]float64{}
	}
	b.spent[service]++
	return true
}
