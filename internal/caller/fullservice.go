package caller

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/retryafter"
)

// fullServices tells callers when to retry whose calls this daemon rejects by itself,
// since all upstreams of the service are full. Their retries are spread at the rate at
// which calls of this daemon are served, so that they don't all return when the first
// upstream has room. The zero value is ready for use. It is safe for concurrent use.
type fullServices struct {
	mutex    sync.Mutex
	services map[string]*fullService
}

// fullService is the state of one service.
type fullService struct {
	spacing  retryafter.Spacing
	served   time.Time     // When a call was last served.
	interval time.Duration // Running mean of the time between two served calls.
}

const (
	// servedIntervalWeight is the weight of a new interval in the mean.
	servedIntervalWeight = 0.1
	// maxServedInterval bounds the intervals, so that a pause without calls counts
	// little.
	maxServedInterval = time.Second
	// maxFullServices bounds the services that are recorded. When it is reached, all of
	// them are dropped.
	maxFullServices = 4096
)

// get returns the state of a service, which it creates if needed. The caller must hold
// f.mutex.
func (f *fullServices) get(service string) *fullService {
	if f.services == nil || len(f.services) >= maxFullServices {
		f.services = map[string]*fullService{}
	}
	s := f.services[service]
	if s == nil {
		s = &fullService{}
		f.services[service] = s
	}
	return s
}

// recordServed counts a call that an upstream of the service served.
func (f *fullServices) recordServed(now time.Time, service string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s := f.get(service)
	if !s.served.IsZero() {
		interval := min(maxServedInterval, now.Sub(s.served))
		s.interval += time.Duration(servedIntervalWeight * float64(interval-s.interval))
	}
	s.served = now
}

// reject returns the error for a call that finds all upstreams full at now. The first
// of them is expected to admit such calls after opens.
func (f *fullServices) reject(now time.Time, service string, opens time.Duration) *call.Error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s := f.get(service)
	callErr := call.NotExecutedError(call.ReasonShed)
	callErr.RetryAfter = s.spacing.Delay(now, opens, s.interval)
	return callErr
}
