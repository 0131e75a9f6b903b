package caller

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/http1"
	"github.com/endivewalk/endivewalk/internal/upstream"
)

// CallInfo is what is known of a call besides the request itself.
type CallInfo struct {
	ID      string        // Of the caller's attempt, for the log.
	Timeout time.Duration // How long the caller waits for an answer; 0 if not known.
	Caller  string        // The service beside which the call began.
	Parent  *Parent       // Set if an upstream makes the call while it works on another.
}

// Parent is a call that runs at the upstream beside the entry and made another.
type Parent struct {
	Upstream string
	Route    string
	Priority int
}

// Dispatch routes a call by its host and path, and returns the answer of an
// upstream. The error is a *call.Error. The reader must read the answer's
// body to its end or close it.
func (e *Proxy) Dispatch(r *http.Request, a CallInfo) (*upstream.Response, error) {
	e.config.Counters.Add("calls", 1)
	began := e.config.Clock()
	c, refusal := e.admitHost(r, a)
	if refusal != nil {
		e.logError(r, a, nil, began, refusal)
		return nil, refusal
	}
	defer c.body.release()
	answer, err := e.serve(c)
	if err != nil {
		refusal = call.AsError(err)
		e.logError(r, a, c, began, refusal)
		return nil, refusal
	}
	e.logResponse(c, began, answer)
	return answer, nil
}

// admitHost finds the route of a call and the service that gets it.
func (e *Proxy) admitHost(r *http.Request, a CallInfo) (*routedCall, *call.Error) {
	if !e.config.Ready() {
		return nil, call.NotExecutedError(call.ReasonNotReady)
	}
	now := e.config.Clock()
	state := e.config.Hub.State()
	if state.Table().Fleet().Version == 0 {
		return nil, call.NotExecutedError(call.ReasonNotReady)
	}
	route, ok := state.Table().MatchHost(hostName(r.Host), r.URL.Path)
	if !ok {
		return nil, call.NotExecutedError(call.ReasonNoRoute)
	}
	timeout := route.Timeout()
	if a.Timeout > 0 {
		timeout = min(timeout, a.Timeout)
	}
	body, err := newCallBody(r)
	if errors.Is(err, http1.ErrBodyTooLarge) {
		return nil, call.NotExecutedError(call.ReasonTooLarge)
	}
	if err != nil {
		return nil, call.NotExecutedError(call.ReasonBadCall)
	}
	elapsed := e.timeouts.elapsed(route.Name(), a.Timeout)
	c := &routedCall{
		id: a.ID, request: r, route: route, state: state, deadline: now.Add(timeout), body: body,
		elapsed: elapsed,
		service: e.splits.pick(route, e.config.Random), caller: a.Caller,
		urgency: call.Urgency{Priority: route.Priority(), Retry: elapsed > 0},
		parent:  a.Parent, started: now,
	}
	if a.Parent != nil {
		c.urgency.Nested, c.urgency.ParentPriority = true, a.Parent.Priority
	}
	return c, nil
}

// hostName returns a Host header without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// objective returns until when an answer is worth most, or zero.
func (c *routedCall) objective() time.Time {
	if c.route.Objective() == 0 {
		return time.Time{}
	}
	return c.started.Add(c.route.Objective() - c.elapsed)
}

// attempts returns how many upstreams the call may reach.
func (c *routedCall) attempts() int {
	if n := c.route.Attempts(); n > 0 {
		return n
	}
	return defaultMaxAttempts
}

// byHost reports whether a call is routed by its host.
func byHost(r *expand.Route) bool { return r.Host() != "" }

// maxBufferedResponse is the largest answer, in bytes, that is read whole before it is
// passed on, so that one that breaks off can be replaced by another upstream's.
const maxBufferedResponse = 64 << 10

// bufferResponse reads a small answer whole. The error is that of an answer that
// broke off.
func bufferResponse(a *upstream.Response) error {
	if a.Length > maxBufferedResponse {
		return nil
	}
	kept, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedResponse+1))
	if err != nil {
		a.Body.Close()
		return err
	}
	if len(kept) > maxBufferedResponse {
		a.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(kept), a.Body), a.Body}
		return nil
	}
	a.Body.Close()
	a.Body = io.NopCloser(bytes.NewReader(kept))
	a.Length = int64(len(kept))
	return nil
}
