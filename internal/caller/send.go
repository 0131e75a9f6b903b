package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/access"
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/upstream"
)

// responseGrace is added to the deadline of a call that is sent to another
// daemon, so that the error response of its inbound proxy, which states whether
// the call was executed, can still arrive.
const responseGrace = 50 * time.Millisecond

// minExpectBytes is the size of a body from which on it is sent to another data centre
// only once the inbound proxy there asks for it, that is, once the call has a slot. A
// rejected call then costs no more than its header.
const minExpectBytes = 1 << 10

// send sends a call to a target once. The error is a *call.Error.
func (p *Proxy) send(c *routedCall, t feed.Target) (*upstream.Response, error) {
	if t.Host == p.config.Host {
		return p.config.Inbound.Do(c.request.Context(), upstream.Call{
			Upstream: t.ID, Method: c.request.Method, Host: c.request.Host, Target: call.Target(c.request), Header: c.request.Header,
			Body: c.body.open(), Length: c.body.length(), Key: c.key,
			Retryable: c.route.Retryable(), Deadline: c.deadline, Expiry: c.expiry,
			Route: c.route.Name(), Caller: c.caller, Urgency: c.urgency,
			Objective: c.objectiveTime(), Grant: c.grant, Access: access.RequestOf(c.request),
		})
	}
	return p.sendRemote(c, t)
}

// sendRemote sends a call to the inbound proxy of another daemon.
func (p *Proxy) sendRemote(c *routedCall, t feed.Target) (*upstream.Response, error) {
	now := p.config.Clock()
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline.Add(responseGrace))
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request := p.newRequest(httptrace.WithClientTrace(ctx, trace), now, c, t)
	pool := p.connPools.get(t.Inbound, t.Zone != p.config.Zone)
	stop := context.AfterFunc(pool.unresponsive, cancel)
	response, err := pool.transport.RoundTrip(request)
	if err != nil {
		callErr := call.NoResponse(c.endedBy(ctx, pool), sent.Load())
		callErr.Unresponsive = p.connPools.reportError(p.config.Clock(), t.Inbound, pool, err) || pool.unresponsive.Err() != nil
		stop()
		cancel()
		return nil, callErr
	}
	body := &remoteBody{
		ReadCloser: response.Body,
		cancel: func() {
			stop()
			cancel()
		},
		failure: func(err error) error { return call.BodyError(c.endedBy(ctx, pool), err) },
	}
	result, err := readResponse(response, body)
	if err != nil {
		body.Close()
	}
	return result, err
}

// endedBy returns the context that tells why a send with ctx has failed: the caller has left,
// or the deadline has passed. Neither holds if the connections to the host were given up.
func (c *routedCall) endedBy(ctx context.Context, pool *connPool) context.Context {
	if pool.unresponsive.Err() != nil && c.request.Context().Err() == nil {
		return context.Background()
	}
	return ctx
}

// newRequest returns the request to the inbound proxy of a target. Of the
// caller's headers it keeps those that CopyHeader copies. The key of a team's call is
// sent in HeaderInnerKey; for a host route it is a header like any other.
func (p *Proxy) newRequest(ctx context.Context, now time.Time, c *routedCall, t feed.Target) *http.Request {
	in := c.request
	r := &http.Request{
		// net/http waits with the body of a request only from HTTP/1.1 on.
		ProtoMajor: 1, ProtoMinor: 1,
		Method:        in.Method,
		URL:           call.TargetURL(t.Inbound, call.Target(in)),
		Host:          in.Host,
		Header:        make(http.Header, len(in.Header)+6),
		Body:          c.body.open(),
		ContentLength: c.body.length(),
	}
	call.CopyHeader(r.Header, in.Header)
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil // net/http adds its own otherwise.
	}
	if !isRoutedByHost(c.route) {
		delete(r.Header, call.HeaderKey)
	}
	r.Header.Set(call.HeaderUpstream, t.ID)
	r.Header.Set(call.HeaderBudget, strconv.FormatInt(c.deadline.Sub(now).Microseconds(), 10))
	if team := c.route.Team(); team != "" {
		r.Header.Set(call.HeaderTeam, team)
	}
	p.setAccess(r.Header, c)
	r.Header.Set(call.HeaderRoute, c.route.Name())
	r.Header.Set(call.HeaderDepth, strconv.Itoa(c.depth))
	r.Header.Set(call.HeaderHost, p.config.Host)
	if c.key != "" {
		r.Header.Set(call.HeaderInnerKey, c.key)
	}
	if t.Zone != p.config.Zone && c.body.length() >= minExpectBytes {
		r.Header.Set("Expect", "100-continue")
	}
	call.SetExpiry(r.Header, c.expiry)
	if c.route.Retryable() {
		r.Header.Set(call.HeaderRepeat, "safe")
	}
	if isRoutedByHost(c.route) {
		urgency := c.urgency
		if objective := c.objectiveTime(); !objective.IsZero() {
			urgency.Objective = objective.Sub(now)
		}
		r.Header.Set(call.HeaderRank, urgency.String())
		r.Header.Set(call.HeaderCaller, c.caller)
	}
	call.PreventReplay(r)
	return r.WithContext(ctx)
}

// readResponse returns the response of an upstream, or the error that an
// inbound proxy has sent instead of one. The body is owned by the response; on
// an error the caller must close it.
func readResponse(r *http.Response, body io.ReadCloser) (*upstream.Response, error) {
	load, _ := call.ParseLoad(r.Header.Get(call.HeaderLoad))
	switch execution := call.Execution(r.Header.Get(call.HeaderRun)); execution {
	case call.Executed:
		return &upstream.Response{
			Status: r.StatusCode, Header: r.Header, Body: body, Length: r.ContentLength,
			Load: load, Duration: microsHeader(r, call.HeaderTook),
		}, nil
	case call.NotExecuted:
		return nil, &call.Error{
			Execution: execution, Reason: call.Reason(r.Header.Get(call.HeaderReason)), Load: load,
			RetryAfter: microsHeader(r, call.HeaderAfter), Opens: microsHeader(r, call.HeaderOpens),
			FromUpstream: r.Header.Get(call.HeaderReached) != "",
		}
	default:
		reason := call.ReasonBroken
		if execution == call.ExecutionUnknown && r.Header.Get(call.HeaderReason) == string(call.ReasonDeadline) {
			reason = call.ReasonDeadline
		}
		return nil, &call.Error{Execution: call.ExecutionUnknown, Reason: reason, Load: load}
	}
}

// microsHeader returns the duration in a header that holds microseconds, or 0 if it is
// missing or malformed.
func microsHeader(r *http.Response, name string) time.Duration {
	micros, _ := strconv.ParseInt(r.Header.Get(name), 10, 64)
	return time.Duration(micros) * time.Microsecond
}

// remoteBody is the body of a response from another daemon. It releases the context of the
// call when it is closed.
type remoteBody struct {
	io.ReadCloser
	cancel  context.CancelFunc
	failure func(error) error // Returns a *call.Error for an error of the connection.
}

// Read implements io.Reader. Errors other than io.EOF are of type *call.Error.
func (b *remoteBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = b.failure(err)
	}
	return n, err
}

// Close closes the body and releases the context of the call.
func (b *remoteBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// maxBufferedBodyBytes is the maximum size of a request body that is kept in
// memory, so that it can be sent to another upstream if the first one did not
// execute the call.
const maxBufferedBodyBytes = 64 << 10

// callBody is the request body of a call. It can be opened repeatedly if it is
// small.
type callBody struct {
	buffered []byte        // The whole body, or its start if rest is set.
	rest     io.ReadCloser // The unread remainder of a body that is too large to be kept.
	size     int64         // In bytes; -1 if unknown.
	opened   bool          // Whether open was called.
}

// newCallBody reads a small request body into memory, and the first bytes of a larger one: a
// caller may have to be asked for it, or be slow, and no upstream may wait for that. It returns
// an error if the request breaks off.
func newCallBody(r *http.Request) (*callBody, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &callBody{}, nil
	}
	if r.ContentLength > maxBufferedBodyBytes {
		first := make([]byte, maxFirstBytes)
		n, err := io.ReadAtLeast(r.Body, first, 1)
		if err != nil {
			return nil, err
		}
		return &callBody{buffered: first[:n], rest: r.Body, size: r.ContentLength}, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(buffered) <= maxBufferedBodyBytes {
		return &callBody{buffered: buffered, size: int64(len(buffered))}, nil
	}
	return &callBody{buffered: buffered, rest: r.Body, size: r.ContentLength}, nil
}

// rewindable reports whether the body can be opened from its start.
func (b *callBody) rewindable() bool { return b.rest == nil || !b.opened }

func (b *callBody) length() int64 { return b.size }

// open returns the body from its start, or nil if it is empty. It may be called
// only if the body is rewindable.
func (b *callBody) open() io.ReadCloser {
	b.opened = true
	switch {
	case b.rest != nil:
		return struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(b.buffered), b.rest), b.rest}
	case len(b.buffered) > 0:
		return io.NopCloser(bytes.NewReader(b.buffered))
	default:
		return nil
	}
}

// release closes the body of the request.
func (b *callBody) release() {
	if b.rest != nil {
		b.rest.Close()
	}
}
