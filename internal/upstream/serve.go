package upstream

import (
	"net/http"
	"strconv"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
)

// ServeHTTP takes a call from the entry of another daemon, runs it, and passes
// the answer on as it comes.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, refusal := g.parse(r)
	if refusal != nil {
		g.config.Counters.Add("gate_bad_calls", 1)
		refusal.Write(w)
		return
	}
	answer, err := g.Do(r.Context(), c)
	if err != nil {
		call.AsRefusal(err).Write(w)
		return
	}
	answer.PassOn(w)
}

// parse reads a call with the headers that an entry sets.
func (g *Gate) parse(r *http.Request) (Call, *call.Refusal) {
	micros, err := strconv.ParseInt(r.Header.Get(call.HeaderBudget), 10, 64)
	id := r.Header.Get(call.HeaderUpstream)
	if err != nil || micros <= 0 || id == "" {
		return Call{}, call.Refuse(call.ReasonBadCall)
	}
	until, err := call.ParseUntil(r.Header)
	if err != nil {
		return Call{}, call.Refuse(call.ReasonBadCall)
	}
	budget := time.Duration(micros) * time.Microsecond
	now := g.config.Clock()
	rank, err := call.ParseRank(r.Header.Get(call.HeaderRank))
	if err != nil {
		return Call{}, call.Refuse(call.ReasonBadCall)
	}
	c := Call{
		Upstream: id, Method: r.Method, Host: r.Host, URL: r.URL, Header: r.Header, Body: r.Body, Length: r.ContentLength,
		Key:      r.Header.Get(call.HeaderInnerKey),
		Repeat:   r.Header.Get(call.HeaderRepeat) == "safe",
		Deadline: now.Add(budget),
		Until:    until,
		Route:    r.Header.Get(call.HeaderRoute),
		Caller:   r.Header.Get(call.HeaderCaller),
		Rank:     rank,
	}
	if rank.Objective != 0 {
		c.Objective = now.Add(rank.Objective)
	}
	return c, nil
}

// PassOn writes the answer to w. If the answer breaks off, so does the
// connection that it is passed to: a truncated answer must never look whole.
func (a *Answer) PassOn(w http.ResponseWriter) {
	defer a.Body.Close()
	h := w.Header()
	call.CopyHeader(h, a.Header)
	h.Set(call.HeaderRun, string(call.RunRan))
	h.Set(call.HeaderLoad, a.Load.String())
	h.Set(call.HeaderTook, strconv.FormatInt(a.Took.Microseconds(), 10))
	w.WriteHeader(a.Status)
	if err := call.CopyBody(w, a.Body, a.Length < 0); err != nil {
		panic(http.ErrAbortHandler)
	}
}
