package caller

import "sync"

// RetryPolicy bounds how often calls are sent to a second upstream. Zero
// fields get defaults.
type RetryPolicy struct {
	// Ratio is how many retries each call to a service earns: 0.1.
	Ratio float64
	// Burst is how many retries one daemon can save up for a service: 20.
	Burst float64
	// FleetBurst is how many the daemons of the fleet can save up together. If it is
	// set, each has an equal part of it, and Burst is not used.
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

// burst returns how many retries one of a number of daemons can save up.
func (p RetryPolicy) burst(daemons int) float64 {
	if p.FleetBurst == 0 {
		return p.Burst
	}
	return p.FleetBurst / float64(max(1, daemons))
}

// retryBudgets keeps retries to a part of the calls of each service, so that
// they can't pile up on upstreams that are failing already. The zero value is
// ready, and it is safe for concurrent use.
type retryBudgets struct {
	mutex  sync.Mutex
	credit map[string]float64 // By service; a retry costs 1.
}

// deposit credits a call to a service. saved is what may be saved up; a daemon of
// a large fleet whose part of it is less than a retry saves up for one.
func (b *retryBudgets) deposit(service string, part, saved float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.set(service, min(b.get(service, saved)+part, max(1, saved)))
}

func (b *retryBudgets) withdraw(service string, saved float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	left := b.get(service, saved)
	if left < 1 {
		return false
	}
	b.set(service, left-1)
	return true
}

func (b *retryBudgets) get(service string, saved float64) float64 {
	if c, ok := b.credit[service]; ok {
		return min(c, max(1, saved))
	}
	return saved
}

func (b *retryBudgets) set(service string, credit float64) {
	if b.credit == nil {
		b.credit = map[string]float64{}
	}
	b.credit[service] = credit
}
