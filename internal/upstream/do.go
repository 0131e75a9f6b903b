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
	Upstream string
	Method   string
	Host     string   // The caller's Host header.
	URL      *url.URL // Path and query.
	Header   http.Header
	Body     io.ReadCloser
	Length   int64 // Of the body; -1 if unknown.
	Key      string
	Repeat   bool // Whether the call may be run more than once.
	Deadline time.Time
	// Until is when a keyed call must not be run any more, whatever it has
	// waited for. The zero value is never.
	Until time.Time

	Route     string
	Caller    string    // The service beside which the call began.
	Rank      call.Rank // Its objective is given by Objective.
	Objective time.Time // Until when an answer is worth most; zero if not known.
}

func (c Call) want() want {
	objective := c.Objective
	if objective.IsZero() {
		objective = c.Deadline
	}
	return want{
		route: c.Route, nested: c.Rank.Nested, parent: c.Rank.Parent, priority: c.Rank.Priority, again: c.Rank.Again,
		objective: objective, deadline: c.Deadline,
	}
}

// Answer is an upstream's answer. The reader must read Body to its end or
// close it; only then is the upstream's slot free again.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64
	Load   call.Load
	Took   time.Duration // From sending the call to the head of the answer.
}

// Drop gives an answer up. It may be called on nil.
func (a *Answer) Drop() {
	if a != nil {
		a.Body.Close()
	}
}

// Tell takes in which part of the calls that are at least as urgent as those of
// a route find room at a service that calls of the route need, as 0 to 1.
func (g *Gate) Tell(now time.Time, id, route string, part float64) {
	if e := g.entry(id); e != nil {
		e.lane.tell(now, route, part)
	}
}

// Do runs a call at an upstream, once. The error is a *call.Refusal. A refusal
// that says "not run" means that no byte was sent, or that the upstream said so.
func (g *Gate) Do(ctx context.Context, c Call) (*Answer, error) {
	e := g.entry(c.Upstream)
	if e == nil {
		g.config.Counters.Add("gate_refused_absent", 1)
		return nil, call.Refuse(call.ReasonDraining)
	}
	came := g.config.Clock()
	if refusal := g.wait(ctx, e, c); refusal != nil {
		g.config.Counters.Add("gate_refused_"+string(refusal.Reason), 1)
		g.config.Calls.Log(logs.ClassRefusal, "msg", "gate refused", "id", g.config.CallID(c.Header), "upstream", c.Upstream,
			"route", c.Route, "reason", refusal.Reason, "waited", g.config.Clock().Sub(came), "left", c.Deadline.Sub(came),
			"nested", c.Rank.Nested, "priority", c.Rank.Priority, "retryAfter", refusal.After, "load", refusal.Load)
		return nil, refusal
	}
	g.config.Counters.Observe("gate_wait", "service", e.said.Service, g.config.Clock().Sub(came))
	return g.run(ctx, e, c)
}

// wait waits for a slot.
func (g *Gate) wait(ctx context.Context, e *entry, c Call) *call.Refusal {
	t, refusal := e.lane.enter(g.config.Clock(), c.want())
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
	if e.lane.abandon(t) {
		e.lane.leave(g.config.Clock(), c.Route, 0, true)
	}
	return call.Refuse(call.ReasonDeadline)
}

// run sends the call. The slot is held until the answer's body ends.
func (g *Gate) run(ctx context.Context, e *entry, c Call) (*Answer, error) {
	start := g.config.Clock()
	// A process that was frozen while the call waited must not run it late.
	if !start.Before(c.Deadline) || (!c.Until.IsZero() && !start.Before(c.Until)) {
		e.lane.leave(start, c.Route, 0, true)
		return nil, call.Refuse(call.ReasonDeadline)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	g.config.Counters.Add("gate_calls", 1)
	answer, err := e.sender.Send(ctx, c, c.Deadline.Sub(start))
	took := g.config.Clock().Sub(start)
	if err != nil {
		cancelled := ctx.Err() == context.Canceled // By the caller, who has gone.
		cancel()
		refusal := call.AsRefusal(err)
		if !cancelled && !refusal.Reached {
			e.lane.judge(g.config.Clock(), true)
		}
		refusal.Load = e.lane.leave(g.config.Clock(), c.Route, took, true)
		g.config.Counters.Add("gate_failed_"+string(refusal.Reason), 1)
		g.config.Calls.Log(logs.ClassRefusal, "msg", "upstream failed", "id", g.config.CallID(c.Header), "upstream", c.Upstream,
			"address", e.said.Address, "route", c.Route, "run", refusal.Run, "reason", refusal.Reason, "took", took,
			"left", c.Deadline.Sub(start), "cancelled", cancelled)
		return nil, refusal
	}
	g.config.Counters.Observe("upstream", "service", e.said.Service, took)
	e.lane.judge(g.config.Clock(), answer.Status >= http.StatusInternalServerError)
	answer.Body = &answerBody{ReadCloser: answer.Body, done: func(failed bool) {
		cancel()
		e.lane.leave(g.config.Clock(), c.Route, g.config.Clock().Sub(start), failed)
	}}
	answer.Load = e.lane.LoadFor(c.want())
	answer.Took = took
	return answer, nil
}

// answerBody frees the slot once, when the answer has ended.
type answerBody struct {
	io.ReadCloser
	done  func(failed bool)
	ended atomic.Bool
}

// Read reads from the answer.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && b.ended.CompareAndSwap(false, true) {
		b.done(err != io.EOF)
	}
	return n, err
}

// Close ends the answer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	if b.ended.CompareAndSwap(false, true) {
		b.done(true)
	}
	return err
}
