package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/upstream"
)

// responseGrace is added to the deadline of a call on its way to a gate, so that
// the gate's word on what became of it can still come back.
const responseGrace = 50 * time.Millisecond

// send sends a call to a target once. The error is a *call.Error.
func (e *Proxy) send(c *routedCall, t feed.Target) (*upstream.Response, error) {
	if t.Host == e.config.Host {
		return e.config.Inbound.Do(c.request.Context(), upstream.Call{
			Upstream: t.ID, Method: c.request.Method, Host: c.request.Host, URL: c.request.URL, Header: c.request.Header,
			Body: c.body.open(), Length: c.body.length(), Key: c.key,
			Retryable: c.route.Retryable(), Deadline: c.deadline, Expiry: c.expiry,
			Route: c.route.Name(), Caller: c.caller, Urgency: c.urgency,
			Objective: c.objective(),
		})
	}
	return e.sendRemote(c, t)
}

// sendRemote sends a call to the gate of another daemon.
func (e *Proxy) sendRemote(c *routedCall, t feed.Target) (*upstream.Response, error) {
	now := e.config.Clock()
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline.Add(responseGrace))
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request := e.newRequest(httptrace.WithClientTrace(ctx, trace), now, c, t)
	way := e.pools.to(t.Inbound)
	stop := context.AfterFunc(way.failed, cancel)
	response, err := way.transport.RoundTrip(request)
	if err != nil {
		refusal := call.NoResponse(ctx, sent.Load())
		refusal.Unresponsive = e.pools.fail(t.Inbound, way, err) || way.failed.Err() != nil
		stop()
		cancel()
		return nil, refusal
	}
	body := &cancelBody{ReadCloser: response.Body, cancel: func() {
		stop()
		cancel()
	}}
	answer, err := readResponse(response, body)
	if err != nil {
		body.Close()
	}
	return answer, err
}

func (e *Proxy) newRequest(ctx context.Context, now time.Time, c *routedCall, t feed.Target) *http.Request {
	in := c.request
	r := &http.Request{
		Method:        in.Method,
		URL:           &url.URL{Scheme: "http", Host: t.Inbound, Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery},
		Host:          in.Host,
		Header:        make(http.Header, len(in.Header)+6),
		Body:          call.SendBody(in.Method, c.body.open(), c.route.Retryable()),
		ContentLength: c.body.length(),
	}
	call.CopyHeader(r.Header, in.Header)
	delete(r.Header, call.HeaderKey)
	r.Header.Set(call.HeaderUpstream, t.ID)
	r.Header.Set(call.HeaderBudget, strconv.FormatInt(c.deadline.Sub(now).Microseconds(), 10))
	r.Header.Set(call.HeaderTeam, c.route.Team())
	r.Header.Set(call.HeaderRoute, c.route.Name())
	r.Header.Set(call.HeaderDepth, strconv.Itoa(c.depth))
	r.Header.Set(call.HeaderHost, e.config.Host)
	if c.key != "" {
		r.Header.Set(call.HeaderInnerKey, c.key)
	}
	call.SetExpiry(r.Header, c.expiry)
	if c.route.Retryable() {
		r.Header.Set(call.HeaderRepeat, "safe")
	}
	if byHost(c.route) {
		rank := c.urgency
		if until := c.objective(); !until.IsZero() {
			rank.Objective = until.Sub(now)
		}
		r.Header.Set(call.HeaderRank, rank.String())
		r.Header.Set(call.HeaderCaller, c.caller)
	}
	return r.WithContext(ctx)
}

// readResponse tells an upstream's answer from the gate's own.
func readResponse(r *http.Response, body io.ReadCloser) (*upstream.Response, error) {
	load, _ := call.ParseLoad(r.Header.Get(call.HeaderLoad))
	switch run := call.Execution(r.Header.Get(call.HeaderRun)); run {
	case call.Executed:
		took, _ := strconv.ParseInt(r.Header.Get(call.HeaderTook), 10, 64)
		return &upstream.Response{
			Status: r.StatusCode, Header: r.Header, Body: body, Length: r.ContentLength,
			Load: load, Duration: time.Duration(took) * time.Microsecond,
		}, nil
	case call.NotExecuted:
		after, _ := strconv.ParseInt(r.Header.Get(call.HeaderAfter), 10, 64)
		return nil, &call.Error{
			Execution: run, Reason: call.Reason(r.Header.Get(call.HeaderReason)), Load: load,
			RetryAfter: time.Duration(after) * time.Microsecond, FromUpstream: r.Header.Get(call.HeaderReached) != "",
		}
	default:
		return nil, &call.Error{Execution: call.ExecutionUnknown, Reason: call.ReasonBroken, Load: load}
	}
}

// cancelBody frees the call's context when the answer ends.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close ends the answer.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// maxBufferedBody is the largest body, in bytes, that is kept to be sent again to
// another upstream if the first one did not run the call.
const maxBufferedBody = 64 << 10

// callBody is a call's body, which can be opened again if it is small.
type callBody struct {
	kept   []byte
	rest   io.ReadCloser // Set if the body is larger than what is kept.
	size   int64         // -1 if unknown.
	opened bool
}

// newCallBody reads a small body whole. The error is that of a caller who
// broke off.
func newCallBody(r *http.Request) (*callBody, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &callBody{}, nil
	}
	if r.ContentLength > maxBufferedBody {
		return &callBody{rest: r.Body, size: r.ContentLength}, nil
	}
	kept, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody+1))
	if err != nil {
		return nil, err
	}
	if len(kept) <= maxBufferedBody {
		return &callBody{kept: kept, size: int64(len(kept))}, nil
	}
	return &callBody{kept: kept, rest: r.Body, size: r.ContentLength}, nil
}

// rewindable reports whether the body can be opened once more.
func (b *callBody) rewindable() bool { return b.rest == nil || !b.opened }

func (b *callBody) length() int64 { return b.size }

func (b *callBody) open() io.ReadCloser {
	b.opened = true
	switch {
	case b.rest != nil:
		return struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(b.kept), b.rest), b.rest}
	case len(b.kept) > 0:
		return io.NopCloser(bytes.NewReader(b.kept))
	default:
		return nil
	}
}

func (b *callBody) release() {
	if b.rest != nil {
		b.rest.Close()
	}
}
