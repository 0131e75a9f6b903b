package upstream

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/access"
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/logs"
)

// sortByID sorts upstreams in place.
func sortByID(all []directory.Upstream) {
	slices.SortFunc(all, func(a, b directory.Upstream) int { return strings.Compare(a.ID, b.ID) })
}

// Call is one call to an upstream.
type Call struct {
	Upstream string
	Method   string
	Host     string // The caller's Host header.
	Target   string // Path and query, as the caller wrote them; begins with a slash.
	Header   http.Header
	Body     io.ReadCloser
	Length   int64 // Of the body, in bytes; -1 if unknown.
	// Key is the caller's idempotency key; empty if there is none.
	Key       string
	Retryable bool // Whether the call may be executed more than once.
	Deadline  time.Time
	// Expiry is the time from which a call with an idempotency key must not be
	// executed any more, even if its deadline is later. The zero value means never.
	Expiry time.Time

	Route     string
	Caller    string       // The service beside whose daemon the caller runs.
	Urgency   call.Urgency // The objective is in Objective instead.
	Objective time.Time    // Time by which a response is most useful; zero if not known.

	// Grant is what the daemon that took the call from its caller decided on it, and Access
	// what is needed to decide anew.
	Grant  access.Grant
	Access access.Request
}

// Team returns the name of the team that makes the call, or "" if there is none.
func (c Call) Team() string { return c.Grant.Team() }

// request returns what the scheduler needs to know of the call. A call without an
// objective gets its deadline as objective.
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

// Response is an upstream's response. The receiver must read Body to its end or
// close it; only then is the upstream's slot free again. If Body ends early, its error is a
// *call.Error.
type Response struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	Length   int64 // Of the body, in bytes; -1 if unknown.
	Load     call.Load
	Duration time.Duration // From sending the call to receiving the response header.
}

// Discard closes the response without reading it. It may be called on nil.
func (r *Response) Discard() {
	if r != nil {
		r.Body.Close()
	}
}

// ReportAdmission records how many calls get a slot at another service that calls of
// a route depend on: fraction, from 0 to 1, of those that are at least as urgent as
// the calls of the route. The proxy then admits calls of the route to the upstream
// id in about the same proportion. An unknown upstream is ignored.
func (p *Proxy) ReportAdmission(now time.Time, id, route string, fraction float64) {
	if r := p.lookup(id); r != nil {
		r.scheduler.reportAdmission(now, route, fraction)
	}
}

// Do executes a call at an upstream, at most once. It waits for a slot until the
// call's deadline. The error is a *call.Error. Its Execution is NotExecuted only
// if no byte was sent, or if the upstream itself reported that it did not execute
// the call.
func (p *Proxy) Do(ctx context.Context, c Call) (*Response, error) {
	if p.refusing.Load() {
		p.config.Counters.Add("gate_refused_stopping", 1)
		return nil, call.NotExecutedError(call.ReasonDraining)
	}
	r, confirmed := p.lookupConfirmed(ctx, c.Upstream)
	if !confirmed {
		p.config.Counters.Add("gate_refused_unconfirmed", 1)
		return nil, call.NotExecutedError(call.ReasonNotReady)
	}
	if r == nil {
		p.config.Counters.Add("gate_refused_absent", 1)
		return nil, call.NotExecutedError(call.ReasonDraining)
	}
	arrived := p.config.Clock()
	callErr := p.renewGrant(&c)
	if callErr == nil {
		callErr = p.acquireSlot(ctx, r, c)
	}
	if callErr != nil {
		p.config.Counters.Add("gate_refused_"+string(callErr.Reason), 1)
		p.config.CallLog.Log(logs.ClassRefusal, "msg", "inbound proxy rejected call", "id", p.config.CallID(c.Header), "upstream", c.Upstream,
			"route", c.Route, "reason", callErr.Reason, "waited", p.config.Clock().Sub(arrived), "left", c.Deadline.Sub(arrived),
			"nested", c.Urgency.Nested, "priority", c.Urgency.Priority, "retryAfter", callErr.RetryAfter, "load", callErr.Load)
		return nil, callErr
	}
	p.config.Counters.Observe("gate_wait", "service", r.announcement.Service, p.config.Clock().Sub(arrived))
	return p.execute(ctx, r, c)
}

// renewGrant decides on a call if the daemon that took it did not, and anew if the
// configuration here is newer than the one that it decided by. By a keyed configuration the
// call loses its credentials, which its sender removes unless it is of an older build or its
// configuration was not keyed yet.
func (p *Proxy) renewGrant(c *Call) *call.Error {
	if p.config.Table == nil {
		return nil
	}
	// The daemon that took the call has confirmed a decision that exists. The configuration
	// is read afterwards: a newer one may come into force between the two.
	confirmed := c.Grant.IsDecided() || p.config.KeysValid()
	grant, err := c.Grant.Renew(p.config.Table(), c.Access, confirmed)
	if err != nil {
		return call.NotExecutedError(access.ReasonOf(err))
	}
	c.Grant = grant
	if grant.IsKeyed() && call.HasCredential(c.Header) {
		p.config.Counters.Add("gate_credentials_removed", 1)
		c.Header = c.Header.Clone() // The caller's request shares it.
		delete(c.Header, call.HeaderCredential)
	}
	return nil
}

// acquireSlot waits for a slot until the call's deadline or the end of ctx. It
// returns nil if the call holds a slot, which scheduler.finish releases.
func (p *Proxy) acquireSlot(ctx context.Context, r *registration, c Call) *call.Error {
	w, callErr := r.scheduler.submit(p.config.Clock(), c.request())
	if callErr != nil {
		return callErr
	}
	select {
	case callErr = <-w.result:
		return callErr
	default:
	}
	timer := time.NewTimer(c.Deadline.Sub(p.config.Clock()))
	defer timer.Stop()
	select {
	case callErr = <-w.result:
		return callErr
	case <-timer.C:
	case <-ctx.Done():
	}
	if r.scheduler.abandon(w) {
		r.scheduler.finish(p.config.Clock(), c.Route, 0, true)
	}
	if ctx.Err() == context.Canceled {
		return call.NotExecutedError(call.ReasonCallerLeft)
	}
	return call.NotExecutedError(call.ReasonDeadline)
}

// execute sends the call, which must hold a slot. The slot is held until the
// response body ends.
func (p *Proxy) execute(ctx context.Context, r *registration, c Call) (*Response, error) {
	start := p.config.Clock()
	// A process that was suspended while the call was queued must not execute it
	// after its deadline.
	if !start.Before(c.Deadline) || (!c.Expiry.IsZero() && !start.Before(c.Expiry)) {
		r.scheduler.finish(start, c.Route, 0, true)
		return nil, call.NotExecutedError(call.ReasonDeadline)
	}
	// The configuration may have changed while the call was queued.
	if callErr := p.renewGrant(&c); callErr != nil {
		r.scheduler.finish(start, c.Route, 0, true)
		p.config.Counters.Add("gate_refused_"+string(callErr.Reason), 1)
		p.config.CallLog.Log(logs.ClassRefusal, "msg", "inbound proxy rejected call", "id", p.config.CallID(c.Header), "upstream", c.Upstream,
			"route", c.Route, "reason", callErr.Reason, "team", c.Team())
		return nil, callErr
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	p.config.Counters.Add("gate_calls", 1)
	if call.HasCredential(c.Header) {
		p.config.Counters.Add("gate_credentials_forwarded", 1) // None in a keyed configuration.
	}
	response, err := r.sender.Send(ctx, c, c.Deadline.Sub(start))
	duration := p.config.Clock().Sub(start)
	if err != nil {
		cancelled := ctx.Err() == context.Canceled // The caller closed its connection.
		cancel()
		callErr := call.AsError(err)
		if !cancelled && !callErr.FromUpstream {
			r.scheduler.observe(p.config.Clock(), true)
		}
		callErr.Load = r.scheduler.finish(p.config.Clock(), c.Route, duration, true)
		p.config.Counters.Add("gate_failed_"+string(callErr.Reason), 1)
		p.config.CallLog.Log(logs.ClassRefusal, "msg", "call to upstream failed", "id", p.config.CallID(c.Header), "upstream", c.Upstream,
			"address", r.announcement.Address, "route", c.Route, "run", callErr.Execution, "reason", callErr.Reason, "took", duration,
			"left", c.Deadline.Sub(start), "cancelled", cancelled)
		return nil, callErr
	}
	p.config.Counters.Observe("upstream", "service", r.announcement.Service, duration)
	r.scheduler.observe(p.config.Clock(), response.Status >= http.StatusInternalServerError)
	response.Body = &responseBody{ReadCloser: response.Body, ctx: ctx, onEnd: func(failed bool) {
		cancel()
		r.scheduler.finish(p.config.Clock(), c.Route, p.config.Clock().Sub(start), failed)
	}}
	response.Load = r.scheduler.LoadFor(c.request())
	response.Duration = duration
	return response, nil
}

// responseBody calls onEnd once, when the body ends or is closed; this frees the
// slot. A body that is closed before its end counts as failed.
type responseBody struct {
	io.ReadCloser
	ctx   context.Context // Of the call.
	onEnd func(failed bool)
	ended atomic.Bool
}

// Read implements io.Reader. Any error, including io.EOF, ends the body. Errors other than
// io.EOF are of type *call.Error.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = call.BodyError(b.ctx, err)
	}
	if err != nil && b.ended.CompareAndSwap(false, true) {
		b.onEnd(err != io.EOF)
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	if b.ended.CompareAndSwap(false, true) {
		b.onEnd(true)
	}
	return err
}
