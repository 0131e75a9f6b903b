package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/http1"
	"github.com/endivewalk/endivewalk/internal/upstream"
)

// CallInfo is what is known of a call besides the request itself.
type CallInfo struct {
	ID      string        // The ID of the caller's attempt, for the log.
	Timeout time.Duration // How long the caller waits for the response; 0 if unknown.
	Caller  string        // The service beside whose daemon the caller runs.
	Parent  *Parent       // Set if a local upstream makes the call while it executes another one.
	// Refuse reports whether the daemon stops too soon to wait for a response. Such a call
	// is rejected with reason draining, also if only its body arrives too late. Nil means
	// that it does not stop.
	Refuse func() bool
}

// Parent is a call that a local upstream is executing and that led to another
// call.
type Parent struct {
	Upstream string // The ID of the upstream.
	Route    string // The name of the route of the parent.
	Priority int    // 0 is the most urgent.
}

// Dispatch routes a call by its host and path, and returns the response of an
// upstream. The error is a *call.Error. The caller must read the body of the
// response to its end or close it.
func (p *Proxy) Dispatch(r *http.Request, info CallInfo) (*upstream.Response, error) {
	p.config.Counters.Add("calls", 1)
	start := p.config.Clock()
	c, callErr := p.admitByHost(r, info)
	if callErr != nil {
		p.logRejected(r, info, nil, start, callErr)
		return nil, callErr
	}
	defer c.body.release()
	if info.Refuse != nil && info.Refuse() {
		p.config.Counters.Add("calls_refused_stopping", 1)
		callErr = call.NotExecutedError(call.ReasonDraining)
		p.logRejected(r, info, c, start, callErr)
		return nil, callErr
	}
	response, err := p.serveLimited(c)
	if err != nil {
		callErr = call.AsError(err)
		p.logRejected(r, info, c, start, callErr)
		return nil, callErr
	}
	p.logAnswered(c, start, response)
	return response, nil
}

// admitByHost finds the route of a call by its host, and selects the service
// that gets the call.
func (p *Proxy) admitByHost(r *http.Request, info CallInfo) (*routedCall, *call.Error) {
	if !p.config.Ready() {
		return nil, call.NotExecutedError(call.ReasonNotReady)
	}
	now := p.config.Clock()
	confirmed := p.config.KeysValid() // Before the configuration is read, which may become newer.
	state := p.config.Hub.State()
	if state.Table().Fleet().Version == 0 {
		return nil, call.NotExecutedError(call.ReasonNotReady)
	}
	route, ok := state.Table().MatchHost(call.HostName(r.Host), r.URL.Path)
	if !ok {
		return nil, call.NotExecutedError(call.ReasonNoRoute)
	}
	grant, callErr := p.decideAccess(state.Table(), r, confirmed)
	if callErr != nil {
		return nil, callErr
	}
	timeout := route.Timeout()
	if info.Timeout > 0 {
		timeout = min(timeout, info.Timeout)
	}
	body, err := newCallBody(r)
	if errors.Is(err, http1.ErrBodyTooLarge) {
		return nil, call.NotExecutedError(call.ReasonTooLarge)
	}
	if err != nil {
		return nil, call.NotExecutedError(call.ReasonBadCall)
	}
	elapsed := p.callerTimeouts.elapsed(route.Name(), info.Timeout)
	c := &routedCall{
		id: info.ID, request: r, route: route, state: state, deadline: now.Add(timeout), body: body,
		elapsed: elapsed,
		service: p.splitter.pick(route, p.config.Random), caller: info.Caller,
		urgency: call.Urgency{Priority: priorityOf(state.Table(), route, grant), Retry: elapsed > 0},
		parent:  info.Parent, started: now, grant: grant,
	}
	if info.Parent != nil {
		c.urgency.Nested, c.urgency.ParentPriority = true, info.Parent.Priority
	}
	return c, nil
}

// objectiveTime returns the time up to which the response meets the latency
// objective of the route, or the zero time if the route has none. The time that
// earlier attempts of the caller took counts.
func (c *routedCall) objectiveTime() time.Time {
	if c.route.Objective() == 0 {
		return time.Time{}
	}
	return c.started.Add(c.route.Objective() - c.elapsed)
}

// maxAttempts returns the maximum number of attempts of the call, as explained at
// defaultMaxAttempts.
func (c *routedCall) maxAttempts() int {
	if n := c.route.Attempts(); n > 0 {
		return n
	}
	return defaultMaxAttempts
}

// isRoutedByHost reports whether the calls of a route are matched by their host
// rather than by their team.
func isRoutedByHost(r *expand.Route) bool { return r.Host() != "" }

const (
	// maxBufferedResponseBytes is the maximum size of a response body that is read
	// completely before it is forwarded, so that the call can be retried at another
	// upstream if the body breaks off.
	maxBufferedResponseBytes = 64 << 10
	// maxFirstBytes bounds what is read of a longer body, of a request or a response, before
	// it is forwarded.
	maxFirstBytes = 4 << 10
)

// bufferResponse reads the body of a small response into memory, and the first bytes of a
// longer one. It returns an error if the body breaks off, and closes the body then.
func bufferResponse(response *upstream.Response) error {
	if response.Length > maxBufferedResponseBytes {
		return awaitBody(response)
	}
	buffered, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponseBytes+1))
	if err != nil {
		response.Body.Close()
		return err
	}
	if len(buffered) > maxBufferedResponseBytes {
		prependBody(response, buffered)
		return nil
	}
	response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(buffered))
	response.Length = int64(len(buffered))
	return nil
}

// awaitBody waits for the first bytes of a body. An upstream that fails right after the header
// has not responded. A response to a HEAD request has no body.
func awaitBody(response *upstream.Response) error {
	first := make([]byte, maxFirstBytes)
	n, err := io.ReadAtLeast(response.Body, first, 1)
	if err != nil && err != io.EOF {
		response.Body.Close()
		return err
	}
	prependBody(response, first[:n])
	return nil
}

// prependBody puts what was read of a body in front of the rest.
func prependBody(response *upstream.Response, read []byte) {
	response.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(read), response.Body), response.Body}
}
