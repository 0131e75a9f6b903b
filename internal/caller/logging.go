package caller

import (
	"net/http"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/logs"
	"github.com/endivewalk/endivewalk/internal/upstream"
)

// sampleRate is out of how many answered calls one is logged. The choice goes by
// the ID, so that all processes log the same calls.
const sampleRate = 16

// Sampled reports whether answers to the attempt with an ID are logged.
func Sampled(id string) bool { return xxh3.HashString(id)%sampleRate == 0 }

func (e *Proxy) logError(r *http.Request, a CallInfo, c *routedCall, began time.Time, refusal *call.Error) {
	now := e.config.Clock()
	e.config.Counters.Add("calls_refused_"+string(refusal.Reason), 1)
	route, service := "", ""
	if c != nil {
		route, service = c.route.Name(), c.service
		e.config.Counters.Observe("call_refused", "reason", string(refusal.Reason), now.Sub(began))
	}
	e.config.CallLog.Log(logs.ClassRefusal, "msg", "call refused", "id", a.ID, "host", r.Host, "path", r.URL.Path,
		"route", route, "service", service, "run", refusal.Execution, "reason", refusal.Reason, "took", now.Sub(began),
		"patience", a.Timeout, "retryAfter", refusal.RetryAfter, "load", refusal.Load,
		"revision", e.config.Hub.State().Revision(), "version", e.config.Hub.State().Table().Fleet().Version)
}

func (e *Proxy) logResponse(c *routedCall, began time.Time, answer *upstream.Response) {
	took := e.config.Clock().Sub(began)
	e.config.Counters.Add("calls_answered", 1)
	e.config.Counters.Observe("call", "route", c.route.Name(), took)
	class := logs.ClassAnswer
	switch {
	case !c.route.Retryable():
		class = logs.ClassUnsafe
	case !Sampled(c.id):
		return
	}
	e.config.CallLog.Log(class, "msg", "call answered", "id", c.id, "route", c.route.Name(), "service", c.service,
		"status", answer.Status, "took", took, "upstream", answer.Duration, "load", answer.Load,
		"revision", c.state.Revision())
}

// logAttempt logs a try that is not the last one.
func (e *Proxy) logAttempt(c *routedCall, t feed.Target, now time.Time, outcome any, silent bool) {
	e.config.CallLog.Log(logs.ClassRetry, "msg", "call goes on", "id", c.id, "route", c.route.Name(),
		"host", t.Host, "upstream", t.ID, "incarnation", t.Incarnation, "outcome", outcome, "silent", silent,
		"left", c.deadline.Sub(now))
}
