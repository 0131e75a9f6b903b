package caller

import "sync"

// routeBytes records the mean size of the calls of each route, request and response
// together, in bytes. The zero value is ready for use. It is safe for concurrent use.
type routeBytes struct {
	mutex sync.Mutex
	means map[string]float64 // By route name.
}

const (
	// routeBytesWeight is the weight of a new call in the mean of its route.
	routeBytesWeight = 0.05
	// headerBytes is roughly what the headers of a call and of its response take
	// between two daemons.
	headerBytes = 1100
	// maxMeanRoutes bounds the routes whose mean is recorded. When it is reached, all of
	// them are dropped.
	maxMeanRoutes = 4096
)

// record counts a call whose request and response bodies have the given sizes. Unknown
// sizes are negative and count as 0.
func (b *routeBytes) record(route string, request, response int64) {
	size := headerBytes + float64(max(0, request)) + float64(max(0, response))
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.means == nil || len(b.means) >= maxMeanRoutes {
		b.means = map[string]float64{}
	}
	mean, known := b.means[route]
	if !known {
		mean = size
	}
	b.means[route] = mean + routeBytesWeight*(size-mean)
}

// mean returns the mean size of the calls of a route; without calls, that of the
// headers.
func (b *routeBytes) mean(route string) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if mean, known := b.means[route]; known {
		return mean
	}
	return headerBytes
}
