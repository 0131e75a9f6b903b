package caller

import (
	"bytes"
	"io"
	"net/http"

	"github.com/zeebo/xxh3"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/claim"
	"github.com/endivewalk/endivewalk/internal/upstream"
)

// answerKept is the largest answer, in bytes, that is kept for resends.
const answerKept = 64 << 10

// serveClaimed serves a keyed call that must not be repeated. It runs only
// under a claim; a resend gets the answer of the first run, or is told that
// nothing is known of it.
func (e *Entry) serveClaimed(w http.ResponseWriter, c *routed) {
	if c.body.rest != nil {
		e.refuse(w, call.Refuse(call.ReasonTooLarge))
		return
	}
	held, first, refusal := e.config.Claims.Take(c.deadline, claim.MakeKey(c.route.Team(), c.key), digestOf(c))
	switch {
	case refusal != nil:
		e.refuse(w, refusal)
		return
	case first != nil:
		e.config.Counters.Add("calls_answered_again", 1)
		writeFirst(w, first)
		return
	}
	c.until = held.Until()
	answer, err := e.serve(c)
	if err != nil {
		refusal := call.AsRefusal(err)
		if refusal.Run == call.RunNot {
			held.Free()
		} else {
			held.Lost()
		}
		e.refuse(w, refusal)
		return
	}
	e.config.Counters.Add("calls_answered", 1)
	passOn(w, keep(held, answer))
}

// digestOf tells requests apart that come with the same key.
func digestOf(c *routed) uint64 {
	h := xxh3.New()
	for _, part := range []string{c.request.Method, c.request.URL.RequestURI(), string(c.body.kept)} {
		h.WriteString(part)
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// keep has the keepers keep an answer while it is passed on. An answer that is
// too large, or breaks off, can't be given again.
func keep(held *claim.Held, a *upstream.Answer) *upstream.Answer {
	body, err := io.ReadAll(io.LimitReader(a.Body, answerKept+1))
	if err != nil || len(body) > answerKept {
		held.Lost()
	} else {
		kept := &claim.Answer{Status: a.Status, Header: http.Header{}, Body: body}
		call.CopyHeader(kept.Header, a.Header)
		held.Answered(kept)
	}
	rest := a.Body
	whole := *a
	whole.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(body), failing{err}, rest), rest}
	return &whole
}

// failing is a reader that ends with an error, or is empty without one.
type failing struct{ err error }

// Read returns the error.
func (f failing) Read([]byte) (int, error) {
	if f.err != nil {
		return 0, f.err
	}
	return 0, io.EOF
}

func writeFirst(w http.ResponseWriter, a *claim.Answer) {
	call.CopyHeader(w.Header(), a.Header)
	w.Header().Set(call.HeaderRun, string(call.RunRan))
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}
