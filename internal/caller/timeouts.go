package caller

import (
	"sync"
	"time"
)

// timeoutTracker learns how long the callers of each route wait in all, which tells
// how much of its time a caller that comes back after a refusal has used up.
// The zero value is ready, and it is safe for concurrent use.
type timeoutTracker struct {
	mutex  sync.Mutex
	routes map[string]time.Duration
}

const (
	// timeoutDecay is the part of the longest patience that is forgotten with
	// each call, so that callers who have become less patient are not taken for
	// ones who come back.
	timeoutDecay = 0.002
	// timeoutSlack is the part of the longest patience by which a first attempt
	// may fall short of it.
	timeoutSlack = 0.05
	maxRoutes    = 4096
)

// elapsed returns how much of its time a caller that still waits for left has
// used up.
func (p *timeoutTracker) elapsed(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.routes == nil || len(p.routes) >= maxRoutes {
		p.routes = map[string]time.Duration{}
	}
	longest := p.routes[route]
	longest -= time.Duration(timeoutDecay * float64(longest))
	longest = max(longest, left)
	p.routes[route] = longest
	used := longest - left
	if used <= time.Duration(timeoutSlack*float64(longest)) {
		return 0
	}
	return used
}
