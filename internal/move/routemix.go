package move

import "slices"

// commonFraction is the fraction of a service's calls from which on a route counts as common.
const commonFraction = 0.1

// routeMix spreads the calls of a new version over a service's routes. Common routes get the
// same number of its calls, so that a fault on one of them shows as soon as on any other, and
// a rarer route as much less as its calls are fewer. The zero value has counted no calls. It is
// not safe for concurrent use.
type routeMix struct {
	calls  map[string]float64 // By route.
	total  float64
	common []string // Routes with at least commonFraction of the calls.
}

// add counts a call on a route, and returns its weight: the factor by which it counts more
// for the share of the new version than the average call, whose weight is 1.
func (x *routeMix) add(route string) float64 {
	if x.calls == nil {
		x.calls = map[string]float64{}
	}
	x.calls[route]++
	x.total++
	if !slices.Contains(x.common, route) {
		x.common = append(x.common, route)
	}
	x.common = slices.DeleteFunc(x.common, func(r string) bool { return x.fraction(r) < commonFraction })
	rest := 1.0 // The fraction of the calls on other routes.
	for _, r := range x.common {
		rest -= x.fraction(r)
	}
	mean := float64(len(x.common)) + max(0, rest)/commonFraction
	return 1 / (max(x.fraction(route), commonFraction) * mean)
}

// fraction returns the fraction of the calls that are on a route.
func (x *routeMix) fraction(route string) float64 { return x.calls[route] / x.total }
