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

// maxStoredResponseBytes is the maximum size of a response body that is stored
// for retries.
const maxStoredResponseBytes = 64 << 10

// serveIdempotent serves a call with an idempotency key whose route is not retryable.
// It sends the call only if it gets the claim. A retry by the caller gets the
// stored response of the first call, or an error if there is none.
func (p *Proxy) serveIdempotent(w http.ResponseWriter, c *routedCall) {
	if c.body.rest != nil {
		p.reject(w, call.NotExecutedError(call.ReasonTooLarge))
		return
	}
	grant, stored, callErr := p.config.Claims.Acquire(c.deadline, claim.MakeKey(c.route.Team(), c.key), digestOf(c))
	switch {
	case callErr != nil:
		p.reject(w, callErr)
		return
	case stored != nil:
		p.config.Counters.Add("calls_answered_again", 1)
		writeStoredResponse(w, stored)
		return
	}
	c.expiry = grant.Expiry()
	response, err := p.serveLimited(c)
	if err != nil {
		callErr := call.AsError(err)
		if callErr.Execution == call.NotExecuted {
			grant.Release()
		} else {
			grant.MarkLost()
		}
		p.reject(w, callErr)
		return
	}
	p.config.Counters.Add("calls_answered", 1)
	p.writeResponse(w, storeResponse(grant, response))
}

// digestOf returns a hash of the method, the URL and the body of a request, by
// which requests with the same key are distinguished.
func digestOf(c *routedCall) uint64 {
	h := xxh3.New()
	for _, part := range []string{c.request.Method, c.request.URL.RequestURI(), string(c.body.buffered)} {
		h.WriteString(part)
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// storeResponse stores a response at the claim replicas and returns it for the
// caller. If the response is too large or breaks off, it marks the claim as
// lost, since the response cannot be replayed.
func storeResponse(grant *claim.Grant, response *upstream.Response) *upstream.Response {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStoredResponseBytes+1))
	if err != nil || len(body) > maxStoredResponseBytes {
		grant.MarkLost()
	} else {
		stored := &claim.Response{Status: response.Status, Header: http.Header{}, Body: body}
		call.CopyHeader(stored.Header, response.Header)
		grant.Complete(stored)
	}
	rest := response.Body
	copied := *response
	copied.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(body), errorReader{err}, rest), rest}
	return &copied
}

// errorReader is an empty reader that ends with err, or with io.EOF if err is
// nil.
type errorReader struct{ err error }

// Read returns no bytes and the error of the reader.
func (r errorReader) Read([]byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	return 0, io.EOF
}

func writeStoredResponse(w http.ResponseWriter, stored *claim.Response) {
	call.CopyHeader(w.Header(), stored.Header)
	w.Header().Set(call.HeaderRun, string(call.Executed))
	w.WriteHeader(stored.Status)
	w.Write(stored.Body)
}
