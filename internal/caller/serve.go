package caller

import (
	"net/http"
	"time"

	"github.com/endivewalk/endivewalk/internal/balance"
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	// defaultMaxAttempts is how many attempts a call may have if its route sets
	// no limit. A call is sent to one inbound proxy after another. Of these
	// sends, those that reached an upstream, or may have, are counted as
	// attempts; one that an inbound proxy rejected by itself is not.
	defaultMaxAttempts = 3
	// maxSends is how often a call is sent at most, whether or not the sends are counted
	// as attempts.
	maxSends = 4
	// maxFullQueues is how many queues may reject a call because they are full. If two
	// that were expected to have room have none, others hardly have.
	maxFullQueues = 2
)

// sendCount counts what was done for one call.
type sendCount struct {
	sends      int // To an inbound proxy.
	attempts   int // Sends that reached an upstream, or may have.
	fullQueues int // Rejections by a full queue.
}

// exhausted reports whether the call must not be sent again, given the maximum number
// of attempts of its route.
func (n sendCount) exhausted(maxAttempts int) bool {
	return n.sends >= maxSends || n.attempts >= maxAttempts || n.fullQueues >= maxFullQueues
}

// serveCall sends a call to one upstream after another until one responds or no
// further retry is allowed. The error is a *call.Error.
func (p *Proxy) serveCall(c *routedCall) (*upstream.Response, error) {
	p.retries.deposit(c.service, p.config.Retries.Ratio, p.retryBurst())
	version, running := p.pickVersion(p.config.Clock(), c)
	tried := map[string]bool{}
	callErr := call.NotExecutedError(call.ReasonNoUpstream)
	var fallback *upstream.Response // The latest response that led to a retry.
	count := sendCount{}
	for {
		now := p.config.Clock()
		if c.callerLeft() {
			p.recordUnsent(running, version)
			return fallbackOr(fallback, unlessUnknown(callErr, call.ReasonCallerLeft))
		}
		if !now.Before(c.deadline) {
			return fallbackOr(fallback, unlessUnknown(callErr, call.ReasonDeadline))
		}
		if accessErr := p.renewGrant(c); accessErr != nil {
			p.recordUnsent(running, version)
			return fallbackOr(fallback, mergeErrors(callErr, accessErr))
		}
		target, ok := p.pickTarget(now, c, version, tried, count.fullQueues > 0)
		if !ok {
			p.recordUnsent(running, version)
			return fallbackOr(fallback, p.noTarget(now, c, version, tried, callErr))
		}
		tried[target.Host+"/"+target.ID] = true
		count.sends++
		response, err := p.send(c, target)
		if err == nil && isRoutedByHost(c.route) {
			err = bufferResponse(response)
		}
		p.recordAttempt(c, now, target, running, response, err)
		c.urgency.Retry = true
		if err == nil {
			count.attempts++
			if c.callerLeft() || !p.shouldRetryResponse(c, response) || count.exhausted(c.maxAttempts()) || !p.withdrawRetry(c) {
				fallback.Discard()
				return response, nil
			}
			p.logRetry(c, target, p.config.Clock(), response.Status, false)
			fallback.Discard()
			fallback = response
			if version, ok = p.versionForRetry(p.config.Clock(), running, version); !ok {
				return fallback, nil
			}
			continue
		}
		callErr = mergeErrors(callErr, call.AsError(err))
		if callErr.Execution != call.NotExecuted || callErr.FromUpstream {
			count.attempts++
		}
		if callErr.Reason == call.ReasonShed {
			count.fullQueues++
		}
		if c.callerLeft() || !p.mayRetryError(c, callErr) || count.exhausted(c.maxAttempts()) {
			return fallbackOr(fallback, callErr)
		}
		if !p.isFreeRetry(c, callErr) && !p.withdrawRetry(c) {
			return fallbackOr(fallback, callErr)
		}
		if version, ok = p.versionForRetry(p.config.Clock(), running, version); !ok {
			return fallbackOr(fallback, callErr)
		}
		p.logRetry(c, target, p.config.Clock(), callErr.Reason, callErr.Unresponsive)
	}
}

// callerLeft reports whether the caller has closed its connection.
func (c *routedCall) callerLeft() bool { return c.request.Context().Err() != nil }

// patientUntil returns the time up to which a call that its caller abandons says nothing
// about the upstream. Callers that leave later may do so because the upstream hangs.
func (c *routedCall) patientUntil() time.Time {
	if objective := c.objectiveTime(); !objective.IsZero() {
		return objective
	}
	return c.started.Add(c.deadline.Sub(c.started) / 2)
}

// recordUnsent records that a call that was given a version found no upstream of it.
func (p *Proxy) recordUnsent(running *config.Move, version string) {
	if running != nil {
		p.exposure.Record(*running, version, false, false)
	}
}

// fallbackOr returns the response of an upstream that led to a retry, if there
// is one, rather than an error: the call was executed, whatever the outcome of
// later attempts.
func fallbackOr(fallback *upstream.Response, callErr *call.Error) (*upstream.Response, error) {
	if fallback != nil {
		return fallback, nil
	}
	return nil, callErr
}

// mergeErrors returns the error to report after an attempt: the latest one,
// with the shorter retry-after of the two. If an earlier attempt may have been
// executed and the latest was not, it returns the earlier error.
func mergeErrors(earlier, latest *call.Error) *call.Error {
	if earlier.Execution == call.ExecutionUnknown && latest.Execution == call.NotExecuted {
		return earlier
	}
	if earlier.RetryAfter > 0 && (latest.RetryAfter == 0 || earlier.RetryAfter < latest.RetryAfter) {
		latest.RetryAfter = earlier.RetryAfter
	}
	return latest
}

// isFreeRetry reports whether a retry does not count against the retry budget,
// because the attempt caused no work for any upstream. That is the case if the
// target was unreachable, or is draining and will not be chosen again soon. It
// is also the case if an inbound proxy rejects a call that is routed by host:
// such routes limit how many upstreams a call may reach, not how many inbound
// proxies are asked.
func (p *Proxy) isFreeRetry(c *routedCall, callErr *call.Error) bool {
	if callErr.Execution != call.NotExecuted || callErr.FromUpstream {
		return false
	}
	return isRoutedByHost(c.route) || callErr.Reason == call.ReasonDraining || callErr.Reason == call.ReasonUnreachable
}

// unlessUnknown returns an error for a call that was not executed, with a
// reason. If an earlier attempt may have been executed, it returns the error of
// that attempt instead.
func unlessUnknown(callErr *call.Error, reason call.Reason) *call.Error {
	if callErr.Execution == call.ExecutionUnknown {
		return callErr
	}
	return call.NotExecutedError(reason)
}

// pickVersion returns the version of the service that gets the call, and the
// move in progress, if any. Config.Blocked overrides the share.
func (p *Proxy) pickVersion(now time.Time, c *routedCall) (string, *config.Move) {
	table := c.state.Table()
	split := table.VersionSplit(c.service)
	if split.To == "" {
		return split.From, nil
	}
	running, _ := table.Move(c.service)
	if p.config.Blocked(running) {
		return split.From, &running
	}
	version, reason := p.exposure.Choose(now, running, c.route.Name(), p.knowledge(running))
	p.config.Counters.Add(ChoiceCounter(reason), 1)
	c.choice = reason
	return version, &running
}

// versionForRetry returns the version for another attempt at a call that was sent to
// version, and false if it must not be attempted again.
func (p *Proxy) versionForRetry(now time.Time, running *config.Move, version string) (string, bool) {
	if running == nil {
		return version, true
	}
	return p.exposure.Again(now, *running, p.knowledge(*running), version)
}

// knowledge returns what this daemon knows during a move.
func (p *Proxy) knowledge(running config.Move) move.Knowledge {
	return move.Knowledge{
		OldReady:    p.hasReadyUpstream(running.Service, running.From),
		NewReady:    p.hasReadyUpstream(running.Service, running.To),
		OthersKnown: len(p.config.Hub.View().Live()) > 1,
		Contact:     p.config.Hub.ConfirmedAt(),
	}
}

// ChoiceCounter returns the name of the counter of calls that got their version for a
// reason.
func ChoiceCounter(r move.Reason) string { return "calls_by_choice_" + string(r) }

func (p *Proxy) hasReadyUpstream(service, version string) bool {
	for _, t := range p.config.Hub.View().Targets(service, version) {
		if t.State == 0 {
			return true
		}
	}
	return false
}

func (p *Proxy) pickTarget(now time.Time, c *routedCall, version string, exclude map[string]bool, rejected bool) (feed.Target, bool) {
	targets := p.config.Hub.View().Targets(c.service, version)
	q := p.query(now, c, exclude)
	q.Rejected = rejected
	return p.balancer.Pick(now, q, targets, p.config.Random)
}

// query describes a call for the balancer.
func (p *Proxy) query(now time.Time, c *routedCall, exclude map[string]bool) balance.Query {
	q := balance.Query{
		Exclude: exclude, Retryable: p.mayExecuteAgain(c), Route: c.route.Name(), Returning: c.elapsed > 0,
		Bytes: p.routeBytes.mean(c.route.Name()),
	}
	if objective := c.objectiveTime(); !objective.IsZero() {
		q.Objective, q.HasObjective = objective.Sub(now), true
	}
	return q
}

// noTarget returns the error for a call that finds no target, given that of its last
// attempt. If all targets are full, the call is rejected at once.
func (p *Proxy) noTarget(now time.Time, c *routedCall, version string, exclude map[string]bool, callErr *call.Error) *call.Error {
	if len(exclude) > 0 {
		return callErr
	}
	opens, full := p.balancer.Opens(now, p.query(now, c, exclude), p.config.Hub.View().Targets(c.service, version))
	if !full {
		return callErr
	}
	p.config.Counters.Add("calls_shed_at_entry", 1)
	return p.fullServices.reject(now, c.service, opens)
}

// shouldRetryResponse reports whether the status of a response calls for a
// retry at another upstream: 503, and for calls routed by host any 5xx.
func (p *Proxy) shouldRetryResponse(c *routedCall, response *upstream.Response) bool {
	if isRoutedByHost(c.route) {
		return response.Status >= http.StatusInternalServerError && p.mayExecuteAgain(c)
	}
	return response.Status == http.StatusServiceUnavailable && p.mayExecuteAgain(c)
}

// mayRetryError reports whether a call may be retried after an error.
func (p *Proxy) mayRetryError(c *routedCall, callErr *call.Error) bool {
	if callErr.Reason == call.ReasonYield || callErr.Reason.IsAccess() {
		return false // Other inbound proxies shed the same fraction of calls, and know the same keys.
	}
	if callErr.Execution == call.NotExecuted {
		return c.body.rewindable()
	}
	return p.mayExecuteAgain(c)
}

// mayExecuteAgain reports whether a call that may have been executed can be
// executed again. Only the outermost call of a chain is retried, since retries
// at each level would multiply the calls below it.
func (p *Proxy) mayExecuteAgain(c *routedCall) bool {
	return c.route.Retryable() && c.depth == 0 && c.body.rewindable()
}

// retryBurst returns the maximum retry budget of this daemon for a service.
func (p *Proxy) retryBurst() float64 {
	return p.config.Retries.burstFor(len(p.config.Hub.View().Live()))
}

// withdrawRetry takes one retry from the budget of the service. It returns
// false if the budget is used up.
func (p *Proxy) withdrawRetry(c *routedCall) bool {
	if !p.retries.withdraw(c.service, p.retryBurst()) {
		p.config.Counters.Add("retries_denied", 1)
		return false
	}
	p.config.Counters.Add("retries", 1)
	return true
}

// recordAttempt reports the outcome of an attempt to the balancer, and to the
// call statistics if a move is in progress. For a call made by a local upstream
// it also reports the admission rate to the inbound proxy of this daemon.
func (p *Proxy) recordAttempt(c *routedCall, start time.Time, t feed.Target, running *config.Move, response *upstream.Response, err error) {
	now := p.config.Clock()
	result := balance.Result{Route: c.route.Name(), Returning: c.elapsed > 0}
	failed := false
	duration := now.Sub(start)
	var callErr *call.Error
	if err != nil {
		callErr = call.AsError(err)
		result.Load = callErr.Load
		result.Failed = callErr.Execution == call.ExecutionUnknown || callErr.Reason == call.ReasonUnreachable
		result.Abandoned = callErr.Reason == call.ReasonCallerLeft && now.Before(c.patientUntil())
		result.Draining = callErr.Reason == call.ReasonDraining
		result.Rejected = callErr.Reason == call.ReasonShed
		result.Opens = callErr.Opens
		result.Unresponsive = callErr.Unresponsive
		if callErr.Unresponsive && p.config.OnUnresponsive != nil {
			p.config.OnUnresponsive(t.Host)
		}
		failed = callErr.Execution == call.ExecutionUnknown && !result.Abandoned
	} else {
		result.Load = response.Load
		p.fullServices.recordServed(now, c.service)
		p.routeBytes.record(c.route.Name(), c.body.length(), response.Length)
		duration = response.Duration
		failed = response.Status >= http.StatusInternalServerError
	}
	p.balancer.Done(now, t, result)
	p.countRemote(c, t, callErr)
	if c.parent != nil && result.Load.Granted > 0 {
		p.config.Inbound.ReportAdmission(now, c.parent.Upstream, c.parent.Route, float64(result.Load.Granted)/config.FullShare)
	}
	reached := callErr == nil || callErr.Execution != call.NotExecuted || callErr.FromUpstream
	first := !c.reached
	c.reached = c.reached || reached
	if running == nil {
		return
	}
	p.exposure.Record(*running, t.Version, reached, first)
	if !reached {
		return
	}
	key := callstats.Key{
		Service: t.Service, Move: running.Start.UnixMilli(), Version: t.Version,
		Route: c.route.Name(), Host: t.Host,
	}
	if failed || err == nil && now.Sub(t.Since) >= warmUpTime {
		p.config.CallStats.Add(key, duration, failed)
	} else {
		p.config.CallStats.AddUntimed(key)
	}
}

// warmUpTime is how long the durations of calls to a new upstream are left out
// of the call statistics, since they say nothing about its normal speed.
const warmUpTime = 3 * time.Second
