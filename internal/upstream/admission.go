package upstream

import (
	"math"
	"time"
)

// admissionRates measures the fraction of calls of each priority that get a slot.
// It reads no clock and is not safe for concurrent use. The zero value is ready
// for use.
//
// It is for services that get direct calls from callers and nested calls from
// other services. Nested calls go first, since their parents hold slots. If direct
// calls are rejected meanwhile, the calls that reach this service through other
// services must become fewer in the same proportion. That happens at the other
// services, which admit fewer of the parent calls; call.Load.Granted carries the
// fraction to them.
type admissionRates struct {
	updated time.Time
	// counts has the calls of each priority, weighted by age.
	counts map[int]*admissionCount
}

// admissionCount counts the calls that asked for a slot and those that got one.
// Both decay with time.
type admissionCount struct {
	offered float64
	granted float64
}

const (
	// admissionDecayTime is the time in which a past call's weight falls to 1/e.
	admissionDecayTime = 2 * time.Second
	// minOfferedCalls is the smallest weighted number of offered calls from which
	// a fraction is reported.
	minOfferedCalls = 8.0
	permille        = 1000
)

// decay lowers all counts by the time since the last update.
func (a *admissionRates) decay(now time.Time) {
	elapsed := now.Sub(a.updated)
	if elapsed <= 0 {
		return
	}
	a.updated = now
	factor := math.Exp(-elapsed.Seconds() / admissionDecayTime.Seconds())
	for _, c := range a.counts {
		c.offered *= factor
		c.granted *= factor
	}
}

// count returns the counts of a priority, adding them if they are missing.
func (a *admissionRates) count(priority int) *admissionCount {
	if a.counts == nil {
		a.counts = map[int]*admissionCount{}
	}
	c := a.counts[priority]
	if c == nil {
		c = &admissionCount{}
		a.counts[priority] = c
	}
	return c
}

// recordOffered counts a direct call at its first attempt: it has asked no inbound
// proxy before, and its caller does not retry.
func (a *admissionRates) recordOffered(now time.Time, r request) {
	if r.nested || r.retry {
		return
	}
	a.decay(now)
	a.count(r.priority).offered++
}

// recordGranted counts a direct call that got a slot, at its first attempt or a
// retry.
func (a *admissionRates) recordGranted(now time.Time, r request) {
	if r.nested {
		return
	}
	a.decay(now)
	a.count(r.priority).granted++
}

// grantedPermille returns the fraction of recent direct calls with the given
// priority or a more urgent one that got a slot. It is in thousandths and at least
// 1; 0 means that there were too few calls to measure.
func (a *admissionRates) grantedPermille(priority int) int {
	offered, granted := 0.0, 0.0
	for p, c := range a.counts {
		if p <= priority {
			offered += c.offered
			granted += c.granted
		}
	}
	if offered < minOfferedCalls {
		return 0
	}
	return max(1, int(permille*min(1, granted/offered)))
}

// shedder admits only a fraction of the calls of some routes, spread evenly. It
// reads no clock and is not safe for concurrent use. The zero value admits all
// calls.
//
// The fraction counts callers, not attempts. A caller that is rejected retries; if
// each of its attempts had the same chance, two thirds of the callers would pass
// where one third should.
type shedder struct {
	routes map[string]*routeShedding
}

// routeShedding is the state of one route.
type routeShedding struct {
	fraction float64 // Running mean of the reported fractions, 0 to 1.
	updated  time.Time
	// credit is the number of calls that may pass now. Each new caller adds the
	// admitted fraction.
	credit float64
}

const (
	// minReportWeight and maxReportWeight bound the weight of a new report in the
	// running mean. In between, the weight is the time since the last report
	// divided by reportDecayTime.
	minReportWeight = 0.1
	maxReportWeight = 0.5
	reportDecayTime = 1500 * time.Millisecond
	// reportTTL is how long a report stays in effect. A route that is shed
	// strongly gets reports only rarely, since few of its calls pass; it must not
	// admit all calls again between two reports.
	reportTTL = 4 * time.Second
	// shedTolerance is how far the fraction may fall below 1 without any shedding,
	// so that a fraction that is almost 1 rejects no calls.
	shedTolerance = 0.04
	// shedMargin is subtracted from the reported fraction. That fraction is only
	// measured, and the more urgent calls that it was measured on must not be
	// admitted less often than the calls of the route.
	shedMargin = 0.05
	// minAdmittedFraction is always admitted, so that its calls can detect when
	// there is capacity again.
	minAdmittedFraction = 0.1
)

// reportAdmission records a report for a route; see Proxy.ReportAdmission.
func (s *shedder) reportAdmission(now time.Time, route string, fraction float64) {
	if s.routes == nil {
		s.routes = map[string]*routeShedding{}
	}
	r := s.routes[route]
	if r == nil || now.Sub(r.updated) > reportTTL {
		r = &routeShedding{fraction: 1, updated: now}
		s.routes[route] = r
	}
	weight := min(maxReportWeight, max(minReportWeight, now.Sub(r.updated).Seconds()/reportDecayTime.Seconds()))
	r.updated = now
	r.fraction += weight * (fraction - r.fraction)
}

// admits reports whether a call of a route that arrives at now is admitted. retry
// means that its caller has been counted before.
func (s *shedder) admits(now time.Time, route string, retry bool) bool {
	r := s.routes[route]
	if r == nil || now.Sub(r.updated) > reportTTL || r.fraction+shedTolerance >= 1 {
		return true
	}
	if !retry {
		r.credit += max(minAdmittedFraction, r.fraction-shedMargin)
	}
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}
