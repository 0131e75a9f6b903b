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

// Asked is what is known of a call besides the request itself.
type Asked struct {
	ID       string        // Of the caller's attempt, for the log.
	Patience time.Duration // How long the caller waits for an answer; 0 if not known.
	Caller   string        // The service beside which the call began.
	Parent   *Parent       // Set if an upstream makes the call while it works on another.
}

// Parent is a call that runs at the upstream beside the entry and made another.
type Parent struct {
	Upstream string
	Route    string
	Priority int
}

// Dispatch routes a call by its host and path, and returns the answer of an
// upstream. The error is a *call.Refusal. The reader must read the answer's
// body to its end or close it.
func (e *Entry) Dispatch(r *http.Request, a Asked) (*upstream.Answer, error) {
	e.config.Counters.Add("calls", 1)
	began := e.config.Clock()
	c, refusal := e.admitHost(r, a)
	if refusal != nil {
		e.noteRefused(r, a, nil, began, refusal)
		return nil, refusal
	}
	defer c.body.release()
	answer, err := e.serve(c)
	if err != nil {
		refusal = call.AsRefusal(err)
		e.noteRefused(r, a, c, began, refusal)
		return nil, refusal
	}
	e.noteAnswered(c, began, answer)
	return answer, nil
}

// admitHost finds the route of a call and the service that gets it.
func (e *Entry) admitHost(r *http.Request, a Asked) (*routed, *call.Refusal) {
	if !e.config.Ready() {
		return nil, call.Refuse(call.ReasonNotReady)
	}
	now := e.config.Clock()
	state := e.config.Hub.State()
	if state.Table().Fleet().Version == 0 {
		return nil, call.Refuse(call.ReasonNotReady)
	}
	route, ok := state.Table().MatchHost(hostName(r.Host), r.URL.Path)
	if !ok {
		return nil, call.Refuse(call.ReasonNoRoute)
	}
	timeout := route.Timeout()
	if a.Patience > 0 {
		timeout = min(timeout, a.Patience)
	}
	body, err := newCallBody(r)
	if errors.Is(err, http1.ErrBodyTooLarge) {
		return nil, call.Refuse(call.ReasonTooLarge)
	}
	if err != nil {
		return nil, call.Refuse(call.ReasonBadCall)
	}
	elapsed := e.patience.elapsed(route.Name(), a.Patience)
	c := &routed{
		id: a.ID, request: r, route: route, state: state, deadline: now.Add(timeout), body: body,
		elapsed: elapsed,
		service: e.splits.pick(route, e.config.Draw), caller: a.Caller,
		rank:   call.Rank{Priority: route.Priority(), Again: elapsed > 0},
		parent: a.Parent, began: now,
	}
	if a.Parent != nil {
		c.rank.Nested, c.rank.Parent = true, a.Parent.Priority
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
func (c *routed) objective() time.Time {
	if c.route.Objective() == 0 {
		return time.Time{}
	}
	return c.began.Add(c.route.Objective() - c.elapsed)
}

// attempts returns how many upstreams the call may reach.
func (c *routed) attempts() int {
	if n := c.route.Attempts(); n > 0 {
		return n
	}
	return attemptLimit
}

// byHost reports whether a call is routed by its host.
func byHost(r *expand.Route) bool { return r.Host() != "" }

// wholeMost is the largest answer, in bytes, that is read whole before it is
// passed on, so that one that breaks off can be replaced by another upstream's.
const wholeMost = 64 << 10

// keepAnswer reads a small answer whole. The error is that of an answer that
// broke off.
func keepAnswer(a *upstream.Answer) error {
	if a.Length > wholeMost {
		return nil
	}
	kept, err := io.ReadAll(io.LimitReader(a.Body, wholeMost+1))
	if err != nil {
		a.Body.Close()
		return err
	}
	if len(kept) > wholeMost {
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
