package upstream

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/logs"
)

func sortUpstreams(all []directory.Upstream) {
	slices.SortFunc(all, func(a, b directory.Upstream) int { return strings.Compare(a.ID, b.ID) })
}

// Call is one call for an upstream.
type Call struct {
	Upstream  string
	Method    string
	Host      string   // The caller's Host header.
	URL       *url.URL // Path and query.
	Header    http.Header
	Body      io.ReadCloser
	Length    int64 // Of the body; -1 if unknown.
	Key       string
	Retryable bool // Whether the call may be run more than once.
	Deadline  time.Time
	// Expiry is when a keyed call must not be run any more, whatever it has
	// waited for. The zero value is never.
	Expiry time.Time

	Route     string
	Caller    string       // The service beside which the call began.
	Urgency   call.Urgency // Its objective is given by Objective.
	Objective time.Time    // Until when an answer is worth most; zero if not known.
}

func (c Call) request() request {
	objective := c.Objective
	if objective.IsZero() {
		objective = c.Deadline
	}
	return request{
		route: c.Route, nested: c.Urgency.Nested, parentPriority: c.Urgency.ParentPriority, priority: c.Urgency.Priority, retry: c.Urgency.Retry,
		objective: objective, deadline: c.Deadline,
	}
}

// Response is an upstream's answer. The reader must read Body to its end or
// close it; only then is the upstream's slot free again.
type Response struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	Length   int64
	Load     call.Load
	Duration time.Duration // From sending the call to the head of the answer.
}

// Discard gives an answer up. It may be called on nil.
func (a *Response) Discard() {
	if a != nil {
		a.Body.Close()
	}
}

// ReportAdmission takes in which part of the calls that are at least as urgent as those of
// a route find room at a service that calls of the route need, as 0 to 1.
func (g *Proxy) ReportAdmission(now time.Time, id, route string, part float64) {
	if e := g.registration(id); e != nil {
		e.scheduler.tell(now, route, part)
	}
}

// Do runs a call at an upstream, once. The error is a *call.Error. A refusal
// that says "not run" means that no byte was sent, or that the upstream said so.
func (g *Proxy) Do(ctx context.Context, c Call) (*Response, error) {
	e := g.registration(c.Upstream)
	if e == nil {
		g.config.Counters.Add("gate_refused_absent", 1)
		return nil, call.NotExecutedError(call.ReasonDraining)
	}
	came := g.config.Clock()
	if refusal := g.wait(ctx, e, c); refusal != nil {
		g.config.Counters.Add("gate_refused_"+string(refusal.Reason), 1)
		g.config.CallLog.Log(logs.ClassRefusal, "msg", "gate refused", "id", g.config.CallID(c.Header), "upstream", c.Upstream,
			"route", c.Route, "reason", refusal.Reason, "waited", g.config.Clock().Sub(came), "left", c.Deadline.Sub(came),
			"nested", c.Urgency.Nested, "priority", c.Urgency.Priority, "retryAfter", refusal.RetryAfter, "load", refusal.Load)
		return nil, refusal
	}
	g.config.Counters.Observe("gate_wait", "service", e.announcement.Service, g.config.Clock().Sub(came))
	return g.run(ctx, e, c)
}

// wait waits for a slot.
func (g *Proxy) wait(ctx context.Context, e *registration, c Call) *call.Error {
	t, refusal := e.scheduler.enter(g.config.Clock(), c.request())
	if refusal != nil {
		return refusal
	}
	select {
	case refusal = <-t.granted:
		return refusal
	default:
	}
	timer := time.NewTimer(c.Deadline.Sub(g.config.Clock()))
	defer timer.Stop()
	select {
	case refusal = <-t.granted:
		return refusal
	case <-timer.C:
	case <-ctx.Done():
	}
	if e.scheduler.abandon(t) {
		e.scheduler.leave(g.config.Clock(), c.Route, 0, true)
	}
	return call.NotExecutedError(call.ReasonDeadline)
}

// run sends the call. The slot is held until the answer's body ends.
func (g *Proxy) run(ctx context.Context, e *registration, c Call) (*Response, error) {
	start := g.config.Clock()
	// A process that was frozen while the call waited must not run it late.
	if !start.Before(c.Deadline) || (!c.Expiry.IsZero() && !start.Before(c.Expiry)) {
		e.scheduler.leave(start, c.Route, 0, true)
		return nil, call.NotExecutedError(call.ReasonDeadline)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	g.config.Counters.Add("gate_calls", 1)
	answer, err := e.sender.Send(ctx, c, c.Deadline.Sub(start))
	took := g.config.Clock().Sub(start)
	if err != nil {
		cancelled := ctx.Err() == context.Canceled // By the caller, who has gone.
		cancel()
		refusal := call.AsError(err)
		if !cancelled && !refusal.FromUpstream {
			e.scheduler.observe(g.config.Clock(), true)
		}
		refusal.Load = e.scheduler.leave(g.config.Clock(), c.Route, took, true)
		g.config.Counters.Add("gate_failed_"+string(refusal.Reason), 1)
		g.config.CallLog.Log(logs.ClassRefusal, "msg", "upstream failed", "id", g.config.CallID(c.Header), "upstream", c.Upstream,
			"address", e.announcement.Address, "route", c.Route, "run", refusal.Execution, "reason", refusal.Reason, "took", took,
			"left", c.Deadline.Sub(start), "cancelled", cancelled)
		return nil, refusal
	}
	g.config.Counters.Observe("upstream", "service", e.announcement.Service, took)
	e.scheduler.observe(g.config.Clock(), answer.Status >= http.StatusInternalServerError)
	answer.Body = &responseBody{ReadCloser: answer.Body, done: func(failed bool) {
		cancel()
		e.scheduler.leave(g.config.Clock(), c.Route, g.config.Clock().Sub(start), failed)
	}}
	answer.Load = e.scheduler.LoadFor(c.request())
	answer.Duration = took
	return answer, nil
}

// responseBody frees the slot once, when the answer has ended.
type responseBody struct {
	io.ReadCloser
	done  func(failed bool)
	ended atomic.Bool
}

// Read reads from the answer.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && b.ended.CompareAndSwap(false, true) {
		b.done(err != io.EOF)
	}
	return n, err
}

// Close ends the answer.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	if b.ended.CompareAndSwap(false, true) {
		b.done(true)
	}
	return err
}
