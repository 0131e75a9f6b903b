package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/directory"
)

func sortUpstreams(all []directory.Upstream) {
	slices.SortFunc(all, func(a, b directory.Upstream) int { return strings.Compare(a.ID, b.ID) })
}

// Call is one call for an upstream.
type Call struct {
	Upstream string
	Method   string
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

// Do runs a call at an upstream, once. The error is a *call.Refusal. A refusal
// that says "not run" means that no byte was sent.
func (g *Gate) Do(ctx context.Context, c Call) (*Answer, error) {
	e := g.entry(c.Upstream)
	if e == nil {
		g.config.Counters.Add("gate_refused_absent", 1)
		return nil, call.Refuse(call.ReasonDraining)
	}
	if refusal := g.wait(ctx, e, c); refusal != nil {
		g.config.Counters.Add("gate_refused_"+string(refusal.Reason), 1)
		return nil, refusal
	}
	return g.run(ctx, e, c)
}

// wait waits for a slot.
func (g *Gate) wait(ctx context.Context, e *entry, c Call) *call.Refusal {
	t, refusal := e.lane.enter(g.config.Clock(), c.Deadline)
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
		e.lane.leave(g.config.Clock(), 0, true)
	}
	return call.Refuse(call.ReasonDeadline)
}

// run sends the call. The slot is held until the answer's body ends.
func (g *Gate) run(ctx context.Context, e *entry, c Call) (*Answer, error) {
	start := g.config.Clock()
	// A process that was frozen while the call waited must not run it late.
	if !start.Before(c.Deadline) || (!c.Until.IsZero() && !start.Before(c.Until)) {
		e.lane.leave(start, 0, true)
		return nil, call.Refuse(call.ReasonDeadline)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request := newRequest(httptrace.WithClientTrace(ctx, trace), start, e.said.Address, c)
	g.config.Counters.Add("gate_calls", 1)
	response, err := e.client.RoundTrip(request)
	took := g.config.Clock().Sub(start)
	if err != nil {
		cancel()
		load := e.lane.leave(g.config.Clock(), took, true)
		return nil, g.failed(ctx, sent.Load(), load)
	}
	body := &answerBody{ReadCloser: response.Body, done: func(failed bool) {
		cancel()
		e.lane.leave(g.config.Clock(), g.config.Clock().Sub(start), failed)
	}}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Body: body,
		Length: response.ContentLength, Load: e.lane.Load(), Took: took,
	}, nil
}

// failed tells what is known of a call without an answer.
func (g *Gate) failed(ctx context.Context, sent bool, load call.Load) *call.Refusal {
	r := call.Refuse(call.ReasonUnreachable)
	switch {
	case sent && ctx.Err() == context.DeadlineExceeded:
		r = call.Unknown(call.ReasonDeadline)
	case sent:
		r = call.Unknown(call.ReasonBroken)
	case ctx.Err() == context.DeadlineExceeded:
		r = call.Refuse(call.ReasonDeadline)
	}
	r.Load = load
	g.config.Counters.Add("gate_failed_"+string(r.Reason), 1)
	return r
}

func newRequest(ctx context.Context, now time.Time, address string, c Call) *http.Request {
	r := &http.Request{
		Method:        c.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: c.URL.Path, RawPath: c.URL.RawPath, RawQuery: c.URL.RawQuery},
		Host:          address,
		Header:        http.Header{},
		Body:          call.SendBody(c.Method, c.Body, c.Repeat),
		ContentLength: c.Length,
	}
	call.CopyHeader(r.Header, c.Header)
	call.SetKey(r.Header, c.Key)
	// What the upstream calls in turn must end before this call does, and must
	// not be retried on its own.
	r.Header.Set(call.HeaderTimeout, c.Deadline.Sub(now).String())
	r.Header.Set(call.HeaderDepth, strconv.Itoa(call.Depth(c.Header)+1))
	return r.WithContext(ctx)
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
