package caller

import (
	"sync"

	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// splitter shares the calls of routes out between services. Each service gets
// its weight's share of any run of calls to within one call, so that the sum
// over many daemons is exact too. The zero value is ready, and it is safe for
// concurrent use.
type splitter struct {
	mutex sync.Mutex
	turns map[string]*turn // By host and prefix.
}

// turn is the state of a smooth weighted round robin.
type turn struct {
	destinations []config.Destination
	credit       []float64
}

// maxTurns bounds how many routes are remembered.
const maxTurns = 4096

// pick returns the service for the next call of a route. draw is a random
// number in [0, 1); it decides where a route begins, so that the daemons of a
// fleet do not all begin with the same service.
func (s *splitter) pick(r *expand.Route, draw func() float64) string {
	parts := r.Destinations()
	if len(parts) == 1 {
		return parts[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := r.Host() + "\x00" + r.Path()
	t := s.turns[key]
	if t == nil || !sameDestinations(t.destinations, parts) {
		if s.turns == nil || len(s.turns) >= maxTurns {
			s.turns = map[string]*turn{}
		}
		t = newTurn(parts, draw())
		s.turns[key] = t
	}
	return parts[t.next()].Service
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

func newTurn(parts []config.Destination, draw float64) *turn {
	t := &turn{destinations: parts, credit: make([]float64, len(parts))}
	sum := t.sum()
	at := draw * sum
	for i, p := range parts {
		if at < p.Weight {
			t.credit[i] = sum - p.Weight // The first turn is this one's.
			break
		}
		at -= p.Weight
	}
	return t
}

func (t *turn) sum() float64 {
	sum := 0.0
	for _, p := range t.destinations {
		sum += p.Weight
	}
	return sum
}

// next returns the index of the service whose turn it is.
func (t *turn) next() int {
	best := -1
	for i, p := range t.destinations {
		t.credit[i] += p.Weight
		if p.Weight > 0 && (best < 0 || t.credit[i] > t.credit[best]) {
			best = i
		}
	}
	t.credit[best] -= t.sum()
	return best
}
