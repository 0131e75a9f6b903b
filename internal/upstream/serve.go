package upstream

import (
	"net/http"
	"strconv"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
)

// ServeHTTP takes a call from the entry of another daemon, runs it, and passes
// the answer on as it comes.
func (g *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, refusal := g.parse(r)
	if refusal != nil {
		g.config.Counters.Add("gate_bad_calls", 1)
		refusal.Write(w)
		return
	}
	answer, err := g.Do(r.Context(), c)
	if err != nil {
		call.AsError(err).Write(w)
		return
	}
	answer.Forward(w)
}

// parse reads a call with the headers that an entry sets.
func (g *Proxy) parse(r *http.Request) (Call, *call.Error) {
	micros, err := strconv.ParseInt(r.Header.Get(call.HeaderBudget), 10, 64)
	id := r.Header.Get(call.HeaderUpstream)
	if err != nil || micros <= 0 || id == "" {
		return Call{}, call.NotExecutedError(call.ReasonBadCall)
	}
	until, err := call.ParseExpiry(r.Header)
	if err != nil {
		return Call{}, call.NotExecutedError(call.ReasonBadCall)
	}
	budget := time.Duration(micros) * time.Microsecond
	now := g.config.Clock()
	rank, err := call.ParseUrgency(r.Header.Get(call.HeaderRank))
	if err != nil {
		return Call{}, call.NotExecutedError(call.ReasonBadCall)
	}
	c := Call{
		Upstream: id, Method: r.Method, Host: r.Host, URL: r.URL, Header: r.Header, Body: r.Body, Length: r.ContentLength,
		Key:       r.Header.Get(call.HeaderInnerKey),
		Retryable: r.Header.Get(call.HeaderRepeat) == "safe",
		Deadline:  now.Add(budget),
		Expiry:    until,
		Route:     r.Header.Get(call.HeaderRoute),
		Caller:    r.Header.Get(call.HeaderCaller),
		Urgency:   rank,
	}
	if rank.Objective != 0 {
		c.Objective = now.Add(rank.Objective)
	}
	return c, nil
}

// Forward writes the answer to w. If the answer breaks off, so does the
// connection that it is passed to: a truncated answer must never look whole.
func (a *Response) Forward(w http.ResponseWriter) {
	defer a.Body.Close()
	h := w.Header()
	call.CopyHeader(h, a.Header)
	h.Set(call.HeaderRun, string(call.Executed))
	h.Set(call.HeaderLoad, a.Load.String())
	h.Set(call.HeaderTook, strconv.FormatInt(a.Duration.Microseconds(), 10))
	w.WriteHeader(a.Status)
	if err := call.CopyBody(w, a.Body, a.Length < 0); err != nil {
		panic(http.ErrAbortHandler)
	}
}
