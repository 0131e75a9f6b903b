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

// sampleOne is out of how many answered calls one is logged. The choice goes by
// the ID, so that all processes log the same calls.
const sampleOne = 16

// Sampled reports whether answers to the attempt with an ID are logged.
func Sampled(id string) bool { return xxh3.HashString(id)%sampleOne == 0 }

func (e *Entry) noteRefused(r *http.Request, a Asked, c *routed, began time.Time, refusal *call.Refusal) {
	now := e.config.Clock()
	e.config.Counters.Add("calls_refused_"+string(refusal.Reason), 1)
	route, service := "", ""
	if c != nil {
		route, service = c.route.Name(), c.service
		e.config.Counters.Observe("call_refused", "reason", string(refusal.Reason), now.Sub(began))
	}
	e.config.Calls.Log(logs.ClassRefusal, "msg", "call refused", "id", a.ID, "host", r.Host, "path", r.URL.Path,
		"route", route, "service", service, "run", refusal.Run, "reason", refusal.Reason, "took", now.Sub(began),
		"patience", a.Patience, "retryAfter", refusal.After, "load", refusal.Load,
		"revision", e.config.Hub.State().Revision(), "version", e.config.Hub.State().Table().Fleet().Version)
}

func (e *Entry) noteAnswered(c *routed, began time.Time, answer *upstream.Answer) {
	took := e.config.Clock().Sub(began)
	e.config.Counters.Add("calls_answered", 1)
	e.config.Counters.Observe("call", "route", c.route.Name(), took)
	class := logs.ClassAnswer
	switch {
	case !c.route.Repeatable():
		class = logs.ClassUnsafe
	case !Sampled(c.id):
		return
	}
	e.config.Calls.Log(class, "msg", "call answered", "id", c.id, "route", c.route.Name(), "service", c.service,
		"status", answer.Status, "took", took, "upstream", answer.Took, "load", answer.Load,
		"revision", c.state.Revision())
}

// noteTry logs a try that is not the last one.
func (e *Entry) noteTry(c *routed, t feed.Target, now time.Time, outcome any, silent bool) {
	e.config.Calls.Log(logs.ClassRetry, "msg", "call goes on", "id", c.id, "route", c.route.Name(),
		"host", t.Host, "upstream", t.ID, "incarnation", t.Incarnation, "outcome", outcome, "silent", silent,
		"left", c.deadline.Sub(now))
}
