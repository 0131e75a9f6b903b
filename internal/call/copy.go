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

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

const ownPrefix = "Endivewalk-"

// CopyHeader copies the headers of a message that concern its ends. Headers of
// the system's own are left out.
func CopyHeader(to, from http.Header) {
	named := from["Connection"]
	for name, values := range from {
		if strings.HasPrefix(name, ownPrefix) || isHop(name, named) {
			continue
		}
		to[name] = values
	}
}

func isHop(name string, named []string) bool {
	for _, h := range hopHeaders {
		if name == h {
			return true
		}
	}
	for _, list := range named {
		for _, one := range strings.Split(list, ",") {
			if strings.EqualFold(strings.TrimSpace(one), name) {
				return true
			}
		}
	}
	return false
}

const bufferSize = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

// CopyBody copies a message body. With flush, each piece is passed on as soon
// as it has come. It returns the first error of either side.
func CopyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	b := buffers.Get().(*[]byte)
	defer buffers.Put(b)
	control := http.NewResponseController(w)
	for {
		n, err := body.Read(*b)
		if n > 0 {
			if _, writeErr := w.Write((*b)[:n]); writeErr != nil {
				return writeErr
			}
			if flush {
				control.Flush()
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

// SendBody returns the body to give to net/http's client so that the client
// does not send a call again by itself unless the call may be repeated.
//
// On a broken kept-alive connection the client resends a request that has no
// body, or one that it can rewind, if the method is a reading one or the
// request has an Idempotency-Key header. SetKey hides the header, and a
// reading request that must not be repeated gets a body that is empty but
// can't be rewound.
func SendBody(method string, body io.ReadCloser, repeat bool) io.ReadCloser {
	empty := body == nil || body == http.NoBody
	if !empty {
		return struct{ io.ReadCloser }{body}
	}
	if repeat || !resendsByMethod(method) {
		return nil
	}
	return struct{ io.ReadCloser }{io.NopCloser(strings.NewReader(""))}
}

func resendsByMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// SetKey sets the Idempotency-Key header, or removes it if key is empty. Its
// name is spelt so that net/http's client does not know it: the client would
// take it as leave to send the request twice. Header names have no case on the
// wire.
func SetKey(h http.Header, key string) {
	delete(h, HeaderKey)
	if key != "" {
		h[strings.ToLower(HeaderKey)] = []string{key}
	}
}

// SetExpiry sets the header that says until when a keyed call may be run.
func SetExpiry(h http.Header, until time.Time) {
	if !until.IsZero() {
		h.Set(HeaderUntil, strconv.FormatInt(until.UnixMilli(), 10))
	}
}

// ParseExpiry reads that header. Without it, it returns the zero time.
func ParseExpiry(h http.Header) (time.Time, error) {
	text := h.Get(HeaderUntil)
	if text == "" {
		return time.Time{}, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}, errs.New("call: malformed header %s", HeaderUntil)
	}
	return time.UnixMilli(millis), nil
}

// Depth returns in how many calls of the mesh a call is nested.
func Depth(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderDepth))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
