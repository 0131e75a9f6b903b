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

// headerPrefix starts the names of the headers that the proxies set.
const headerPrefix = "Endivewalk-"

// CopyHeader copies the end-to-end headers of a message. It omits hop-by-hop
// headers, those that the Connection header names, and all headers that start
// with Endivewalk-. The copied values are shared with from.
func CopyHeader(to, from http.Header) {
	connectionHeaders := from["Connection"]
	for name, values := range from {
		if strings.HasPrefix(name, headerPrefix) || isHopByHop(name, connectionHeaders) {
			continue
		}
		to[name] = values
	}
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

// SendBody returns the body to set in a request for the client of net/http. It
// prevents the client from retrying the request by itself if the call is not
// retryable. A nil result stands for an empty body.
//
// If a kept-alive connection breaks, the client retries a request that has no
// body, or a body that it can rewind, in two cases:
//   - The method is GET, HEAD, OPTIONS or TRACE. If the call is not retryable,
//     SendBody therefore returns an empty body that the client cannot rewind.
//   - The request has an Idempotency-Key header. SetKey hides it from the client.
func SendBody(method string, body io.ReadCloser, retryable bool) io.ReadCloser {
	empty := body == nil || body == http.NoBody
	if !empty {
		return struct{ io.ReadCloser }{body}
	}
	if retryable || !retriedByClient(method) {
		return nil
	}
	return struct{ io.ReadCloser }{io.NopCloser(strings.NewReader(""))}
}

// retriedByClient reports whether the client of net/http retries requests with
// this method.
func retriedByClient(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// SetKey sets the Idempotency-Key header, or removes it if key is empty. The
// name is in lower case, so that the client of net/http does not find it: with
// this header the client may send a request twice. Header names are
// case-insensitive on the wire.
func SetKey(h http.Header, key string) {
	delete(h, HeaderKey)
	if key != "" {
		h[strings.ToLower(HeaderKey)] = []string{key}
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
