package caller

import "sync"

// RetryPolicy limits how often calls are sent to another upstream. Zero fields
// get the defaults given here.
type RetryPolicy struct {
	// Ratio is how many retries each call to a service adds to the retry
	// budget of the service. The default is 0.1.
	Ratio float64
	// Burst is the maximum retry budget of one daemon for a service, in
	// retries. The default is 20.
	Burst float64
	// FleetBurst is the maximum retry budget of all daemons together, in
	// retries. If it is set, each daemon has an equal share of it, and Burst
	// is not used.
	FleetBurst float64
}

const (
	defaultRetryRatio = 0.1
	defaultRetryBurst = 20.0
)

func (p RetryPolicy) withDefaults() RetryPolicy {
	if p.Ratio == 0 {
		p.Ratio = defaultRetryRatio
	}
	if p.Burst == 0 {
		p.Burst = defaultRetryBurst
	}
	return p
}

// burstFor returns the maximum retry budget of one daemon, given the number of
// daemons.
func (p RetryPolicy) burstFor(daemons int) float64 {
	if p.FleetBurst == 0 {
		return p.Burst
	}
	return p.FleetBurst / float64(max(1, daemons))
}

// retryBudgets limits retries to a fraction of the calls to each service, so
// that they cannot overload upstreams that already fail. The zero value is ready
// for use. It is safe for concurrent use.
type retryBudgets struct {
	mutex sync.Mutex
	// budgets holds retries by service. A service without an entry has at most one: a daemon
	// that has just started knows few others, and a maximum derived from them is too high.
	budgets map[string]float64
}

// deposit adds ratio retries to the budget of a service, up to burst. A daemon
// of a large fleet, whose burst is less than one, may still save up for one
// retry.
func (b *retryBudgets) deposit(service string, ratio, burst float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.setBudget(service, min(b.budget(service, burst)+ratio, max(1, burst)))
}

// withdraw takes one retry from the budget of a service. It returns false if
// the budget holds less than one.
func (b *retryBudgets) withdraw(service string, burst float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	budget := b.budget(service, burst)
	if budget < 1 {
		return false
	}
	b.setBudget(service, budget-1)
	return true
}

// budget returns the budget of a service. The caller must hold mutex, as for
// setBudget.
func (b *retryBudgets) budget(service string, burst float64) float64 {
	if stored, ok := b.budgets[service]; ok {
		return min(stored, max(1, burst))
	}
	return min(1, burst)
}

func (b *retryBudgets) setBudget(service string, budget float64) {
	if b.budgets == nil {
		b.budgets = map[string]float64{}
	}
	b.budgets[service] = budget
}
