package upstream

import (
	"net/http"
	"strconv"
	"time"

	"github.com/endivewalk/endivewalk/internal/access"
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/http1"
)

// ServeHTTP executes a call that another daemon's outbound proxy sent and streams
// the response back.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil // Only an upstream's own date is of use to a daemon.
	c, callErr := p.parse(r)
	if callErr != nil {
		p.config.Counters.Add("gate_bad_calls", 1)
		callErr.Write(w)
		return
	}
	response, err := p.Do(r.Context(), c)
	if err != nil {
		call.AsError(err).Write(w)
		return
	}
	response.Forward(w)
}

// parse reads a call from the headers that the outbound proxy sets. The error has
// reason bad-call.
func (p *Proxy) parse(r *http.Request) (Call, *call.Error) {
	micros, err := strconv.ParseInt(r.Header.Get(call.HeaderBudget), 10, 64)
	id := r.Header.Get(call.HeaderUpstream)
	if err != nil || micros <= 0 || id == "" {
		return Call{}, call.NotExecutedError(call.ReasonBadCall)
	}
	expiry, err := call.ParseExpiry(r.Header)
	if err != nil {
		return Call{}, call.NotExecutedError(call.ReasonBadCall)
	}
	budget := time.Duration(micros) * time.Microsecond
	now := p.config.Clock()
	urgency, err := call.ParseUrgency(r.Header.Get(call.HeaderRank))
	if err != nil {
		return Call{}, call.NotExecutedError(call.ReasonBadCall)
	}
	grant, err := access.Parse(r.Header.Get(call.HeaderAccess))
	if err != nil {
		return Call{}, call.NotExecutedError(call.ReasonBadCall)
	}
	c := Call{
		Upstream: id, Method: r.Method, Host: r.Host, Target: call.Target(r), Header: r.Header, Body: r.Body, Length: r.ContentLength,
		Key:       r.Header.Get(call.HeaderInnerKey),
		Retryable: r.Header.Get(call.HeaderRepeat) == "safe",
		Deadline:  now.Add(budget),
		Expiry:    expiry,
		Route:     r.Header.Get(call.HeaderRoute),
		Caller:    r.Header.Get(call.HeaderCaller),
		Urgency:   urgency,
		Grant:     grant,
		Access:    access.RequestOf(r),
	}
	if urgency.Objective != 0 {
		c.Objective = now.Add(urgency.Objective)
	}
	return c, nil
}

// Forward writes the response to w and closes its body. If the body ends early,
// Forward writes an error instead. If a part of the response may have been sent, it panics
// with http.ErrAbortHandler, which breaks the connection to the caller: a truncated response
// must never look complete.
func (r *Response) Forward(w http.ResponseWriter) {
	defer r.Body.Close()
	h := w.Header()
	call.CopyHeader(h, r.Header)
	h.Set(call.HeaderRun, string(call.Executed))
	h.Set(call.HeaderLoad, r.Load.String())
	h.Set(call.HeaderTook, strconv.FormatInt(r.Duration.Microseconds(), 10))
	w.WriteHeader(r.Status)
	if err := call.CopyBody(w, r.Body, r.Length < 0); err != nil {
		if !http1.Reset(w) {
			panic(http.ErrAbortHandler)
		}
		call.AsError(err).Write(w)
	}
}
