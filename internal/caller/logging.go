package caller

import (
	"net/http"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/logs"
	"github.com/endivewalk/endivewalk/internal/move"
	"github.com/endivewalk/endivewalk/internal/upstream"
)

// callsPerSample is the number of answered calls of which one is logged. The
// choice depends on the ID alone, so that all processes log the same calls.
const callsPerSample = 16

// Sampled reports whether the responses to the attempt with an ID are among
// those that are logged.
func Sampled(id string) bool { return xxh3.HashString(id)%callsPerSample == 0 }

// logRejected logs and counts a call that ended with an error. c is nil if the
// call was not admitted.
func (p *Proxy) logRejected(r *http.Request, info CallInfo, c *routedCall, start time.Time, callErr *call.Error) {
	now := p.config.Clock()
	p.config.Counters.Add("calls_refused_"+string(callErr.Reason), 1)
	route, service, choice, team := "", "", move.Reason(""), ""
	if c != nil {
		route, service, choice, team = c.route.Name(), c.service, c.choice, c.grant.Team()
		p.config.Counters.Observe("call_refused", "reason", string(callErr.Reason), now.Sub(start))
	} else if found, ok := p.config.Hub.State().Table().MatchHost(call.HostName(r.Host), r.URL.Path); ok {
		route = found.Name()
	}
	p.config.CallLog.Log(logs.ClassRefusal, "msg", "call rejected", "id", info.ID, "host", r.Host, "path", r.URL.Path,
		"route", route, "service", service, "choice", choice, "run", callErr.Execution, "reason", callErr.Reason, "took", now.Sub(start),
		"patience", info.Timeout, "retryAfter", callErr.RetryAfter, "load", callErr.Load,
		"team", team, "nested", info.Parent != nil,
		"revision", p.config.Hub.State().Revision(), "version", p.config.Hub.State().Table().Fleet().Version)
}

// logAnswered counts an answered call, and logs it if it is sampled or must not
// be retried.
func (p *Proxy) logAnswered(c *routedCall, start time.Time, response *upstream.Response) {
	duration := p.config.Clock().Sub(start)
	p.config.Counters.Add("calls_answered", 1)
	p.config.Counters.Observe("call", "route", c.route.Name(), duration)
	class := logs.ClassAnswer
	switch {
	case !c.route.Retryable():
		class = logs.ClassUnsafe
	case !Sampled(c.id):
		return
	}
	p.config.CallLog.Log(class, "msg", "call answered", "id", c.id, "route", c.route.Name(), "service", c.service,
		"choice", c.choice, "status", response.Status, "took", duration, "upstream", response.Duration, "load", response.Load,
		"team", c.grant.Team(), "nested", c.parent != nil,
		"revision", c.state.Revision())
}

// logRetry logs an attempt after which the call is retried. outcome is the
// status of a response or the reason of an error.
func (p *Proxy) logRetry(c *routedCall, t feed.Target, now time.Time, outcome any, unresponsive bool) {
	p.config.CallLog.Log(logs.ClassRetry, "msg", "retrying call on another upstream", "id", c.id, "route", c.route.Name(),
		"host", t.Host, "upstream", t.ID, "incarnation", t.Incarnation, "outcome", outcome, "silent", unresponsive,
		"left", c.deadline.Sub(now))
}
