package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
)

// Sender sends calls to one upstream.
type Sender struct {
	// Send sends a call once, which must end within left. The error is a
	// *call.Error, which says that the call was not run only if it is known.
	Send func(ctx context.Context, c Call, left time.Duration) (*Response, error)
	// Close closes idle connections and keeps no others.
	Close func()
}

// newHTTPSender returns the sender of upstreams that understand the system's
// own headers. Answers are passed on as they are, so nothing may be unpacked on
// the way.
func newHTTPSender(a Announcement) Sender {
	dialer := &net.Dialer{Timeout: time.Second}
	client := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     a.Connections,
		MaxIdleConnsPerHost: a.Connections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	send := func(ctx context.Context, c Call, left time.Duration) (*Response, error) {
		var sent atomic.Bool
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
		response, err := client.RoundTrip(newRequest(httptrace.WithClientTrace(ctx, trace), left, a.Address, c))
		if err != nil {
			return nil, call.NoResponse(ctx, sent.Load())
		}
		return &Response{
			Status: response.StatusCode, Header: response.Header,
			Body: response.Body, Length: response.ContentLength,
		}, nil
	}
	return Sender{Send: send, Close: client.CloseIdleConnections}
}

func newRequest(ctx context.Context, left time.Duration, address string, c Call) *http.Request {
	r := &http.Request{
		Method:        c.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: c.URL.Path, RawPath: c.URL.RawPath, RawQuery: c.URL.RawQuery},
		Host:          address,
		Header:        http.Header{},
		Body:          call.SendBody(c.Method, c.Body, c.Retryable),
		ContentLength: c.Length,
	}
	call.CopyHeader(r.Header, c.Header)
	call.SetKey(r.Header, c.Key)
	// What the upstream calls in turn must end before this call does, and must
	// not be retried on its own.
	r.Header.Set(call.HeaderTimeout, left.String())
	r.Header.Set(call.HeaderDepth, strconv.Itoa(call.Depth(c.Header)+1))
	return r.WithContext(ctx)
}
