package call

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// headerPrefix starts the names of the headers that the proxies set. A hyphen or an
// underscore follows: some servers do not distinguish the two.
const headerPrefix = "Endivewalk"

// isOwn reports whether a header is one that only the proxies set.
func isOwn(name string) bool {
	rest, ok := strings.CutPrefix(name, headerPrefix)
	return ok && (strings.HasPrefix(rest, "-") || strings.HasPrefix(rest, "_"))
}

// CopyHeader copies the end-to-end headers of a message. It omits hop-by-hop
// headers, those that the Connection header names, and all that only the proxies
// set. The copied values are shared with from.
func CopyHeader(to, from http.Header) {
	connectionHeaders := from["Connection"]
	for name, values := range from {
		if isOwn(name) || isHopByHop(name, connectionHeaders) {
			continue
		}
		to[name] = values
	}
}

// HeaderCredential holds the credentials of a caller, such as an API key. Its value must
// never be logged.
const HeaderCredential = "Authorization"

// HasCredential reports whether a request carries credentials of its caller.
func HasCredential(h http.Header) bool {
	_, ok := h[HeaderCredential]
	return ok
}

func isHopByHop(name string, connectionHeaders []string) bool {
	for _, h := range hopByHopHeaders {
		if name == h {
			return true
		}
	}
	for _, list := range connectionHeaders {
		for _, token := range strings.Split(list, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

// bufferBytes is the size of the buffers that copy bodies.
const bufferBytes = 32 << 10

var bufferPool = sync.Pool{New: func() any { b := make([]byte, bufferBytes); return &b }}

// CopyBody copies a message body. With flush, it flushes w after each read, for
// bodies whose length is unknown. It returns the first error of either side,
// and nil at the end of body.
func CopyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	buf := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buf)
	controller := http.NewResponseController(w)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, writeErr := w.Write((*buf)[:n]); writeErr != nil {
				return writeErr
			}
			if flush {
				controller.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// PreventReplay keeps the client of net/http from sending a request a second time by
// itself. The proxies alone decide that, by the route and the caller's attempts.
//
// If a kept-alive connection breaks, the client repeats a request that has no body, or a
// body that it can rewind, if the method is GET, HEAD, OPTIONS or TRACE, or if there is a
// header Idempotency-Key or X-Idempotency-Key. PreventReplay replaces a missing body by an
// empty one that cannot be rewound, and hides the headers from the client: their names
// are written in lower case, which means the same on the wire.
func PreventReplay(r *http.Request) {
	for _, name := range replayHeaders {
		if values, ok := r.Header[name]; ok {
			delete(r.Header, name)
			r.Header[strings.ToLower(name)] = values
		}
	}
	r.GetBody = nil
	switch {
	case r.Body != nil && r.Body != http.NoBody:
		r.Body = struct{ io.ReadCloser }{r.Body}
	case isReplayMethod(r.Method):
		r.Body = struct{ io.ReadCloser }{io.NopCloser(strings.NewReader(""))}
	default:
		// With a body that is not known to be empty, the client would use chunks.
		r.Body = nil
	}
}

// replayHeaders are the headers for which the client of net/http repeats a request.
var replayHeaders = []string{HeaderKey, "X-Idempotency-Key"}

// isReplayMethod reports whether the client of net/http repeats requests with a method.
func isReplayMethod(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// SetKey sets the Idempotency-Key header, or removes it if key is empty.
func SetKey(h http.Header, key string) {
	delete(h, HeaderKey)
	if key != "" {
		h[HeaderKey] = []string{key}
	}
}

// SetExpiry sets the header with the time from which a call with an idempotency
// key must no longer be executed. A zero expiry sets no header.
func SetExpiry(h http.Header, expiry time.Time) {
	if !expiry.IsZero() {
		h.Set(HeaderUntil, strconv.FormatInt(expiry.UnixMilli(), 10))
	}
}

// ParseExpiry returns the time that SetExpiry has set, or the zero time if the
// header is missing.
func ParseExpiry(h http.Header) (time.Time, error) {
	value := h.Get(HeaderUntil)
	if value == "" {
		return time.Time{}, nil
	}
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return time.Time{}, errs.New("call: malformed header %s, want milliseconds since 1970", HeaderUntil)
	}
	return time.UnixMilli(millis), nil
}

// Depth returns the number of calls of the mesh that a call is nested in. It is
// 0 if the header is missing or malformed.
func Depth(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderDepth))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
