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

// maxStoredResponse is the largest answer, in bytes, that is kept for resends.
const maxStoredResponse = 64 << 10

// serveKeyed serves a keyed call that must not be repeated. It runs only
// under a claim; a resend gets the answer of the first run, or is told that
// nothing is known of it.
func (e *Proxy) serveKeyed(w http.ResponseWriter, c *routedCall) {
	if c.body.rest != nil {
		e.refuse(w, call.NotExecutedError(call.ReasonTooLarge))
		return
	}
	held, first, refusal := e.config.Claims.Acquire(c.deadline, claim.MakeKey(c.route.Team(), c.key), digestOf(c))
	switch {
	case refusal != nil:
		e.refuse(w, refusal)
		return
	case first != nil:
		e.config.Counters.Add("calls_answered_again", 1)
		writeStored(w, first)
		return
	}
	c.expiry = held.Expiry()
	answer, err := e.serve(c)
	if err != nil {
		refusal := call.AsError(err)
		if refusal.Execution == call.NotExecuted {
			held.Release()
		} else {
			held.MarkLost()
		}
		e.refuse(w, refusal)
		return
	}
	e.config.Counters.Add("calls_answered", 1)
	writeResponse(w, storeResponse(held, answer))
}

// digestOf tells requests apart that come with the same key.
func digestOf(c *routedCall) uint64 {
	h := xxh3.New()
	for _, part := range []string{c.request.Method, c.request.URL.RequestURI(), string(c.body.kept)} {
		h.WriteString(part)
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// storeResponse has the keepers keep an answer while it is passed on. An answer that is
// too large, or breaks off, can't be given again.
func storeResponse(held *claim.Grant, a *upstream.Response) *upstream.Response {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxStoredResponse+1))
	if err != nil || len(body) > maxStoredResponse {
		held.MarkLost()
	} else {
		kept := &claim.Response{Status: a.Status, Header: http.Header{}, Body: body}
		call.CopyHeader(kept.Header, a.Header)
		held.Complete(kept)
	}
	rest := a.Body
	whole := *a
	whole.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(body), errorReader{err}, rest), rest}
	return &whole
}

// errorReader is a reader that ends with an error, or is empty without one.
type errorReader struct{ err error }

// Read returns the error.
func (f errorReader) Read([]byte) (int, error) {
	if f.err != nil {
		return 0, f.err
	}
	return 0, io.EOF
}

func writeStored(w http.ResponseWriter, a *claim.Response) {
	call.CopyHeader(w.Header(), a.Header)
	w.Header().Set(call.HeaderRun, string(call.Executed))
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}
