package caller

import (
	"sync"

	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// splitter distributes the calls of a route to the weighted destinations of the
// route. In any sequence of calls each service gets its share to within one
// call, so the sum over many daemons is accurate too. The zero value is ready
// for use. It is safe for concurrent use.
type splitter struct {
	mutex       sync.Mutex
	roundRobins map[string]*roundRobin // By the host and path prefix of the route.
}

// roundRobin is the state of a smooth weighted round robin.
type roundRobin struct {
	destinations []config.Destination
	credits      []float64 // By destination; the highest one is next.
}

// maxRoundRobins limits the number of routes whose state is kept. When it is
// reached, all routes start anew.
const maxRoundRobins = 4096

// pick returns the service for the next call of a route. random returns a
// number in [0, 1), which selects the first service of a route, so that the
// daemons do not all start with the same one.
func (s *splitter) pick(r *expand.Route, random func() float64) string {
	destinations := r.Destinations()
	if len(destinations) == 1 {
		return destinations[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := r.Host() + "\x00" + r.Path()
	robin := s.roundRobins[key]
	if robin == nil || !sameDestinations(robin.destinations, destinations) {
		if s.roundRobins == nil || len(s.roundRobins) >= maxRoundRobins {
			s.roundRobins = map[string]*roundRobin{}
		}
		robin = newRoundRobin(destinations, random())
		s.roundRobins[key] = robin
	}
	return destinations[robin.next()].Service
}

func sameDestinations(a, b []config.Destination) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// newRoundRobin returns a round robin that starts with a destination chosen by
// weight; random is a number in [0, 1).
func newRoundRobin(destinations []config.Destination, random float64) *roundRobin {
	r := &roundRobin{destinations: destinations, credits: make([]float64, len(destinations))}
	sum := r.totalWeight()
	offset := random * sum
	for i, d := range destinations {
		if offset < d.Weight {
			r.credits[i] = sum - d.Weight // This destination is the first one.
			break
		}
		offset -= d.Weight
	}
	return r
}

func (r *roundRobin) totalWeight() float64 {
	sum := 0.0
	for _, d := range r.destinations {
		sum += d.Weight
	}
	return sum
}

// next returns the index of the next destination. Destinations without weight
// are never chosen.
func (r *roundRobin) next() int {
	best := -1
	for i, d := range r.destinations {
		r.credits[i] += d.Weight
		if d.Weight > 0 && (best < 0 || r.credits[i] > r.credits[best]) {
			best = i
		}
	}
	r.credits[best] -= r.totalWeight()
	return best
}
