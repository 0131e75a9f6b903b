package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
)

// Sender sends calls to one upstream. Both functions may be called concurrently.
type Sender struct {
	// Send sends a call once. The call must end within timeout. The error is a
	// *call.Error; its Execution is NotExecuted only if it is certain that the
	// call was not executed.
	Send func(ctx context.Context, c Call, timeout time.Duration) (*Response, error)
	// Close closes idle connections.
	Close func()
}

// newHTTPSender returns a Sender for upstreams that understand the system's own
// Endivewalk-* headers. Compression is disabled because responses are forwarded
// unchanged.
func newHTTPSender(a Announcement) Sender {
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     a.Connections,
		MaxIdleConnsPerHost: a.Connections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	send := func(ctx context.Context, c Call, timeout time.Duration) (*Response, error) {
		var maybeSent atomic.Bool
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { maybeSent.Store(true) }}
		response, err := transport.RoundTrip(newRequest(httptrace.WithClientTrace(ctx, trace), timeout, a.Address, c))
		if err != nil {
			return nil, call.NoResponse(ctx, maybeSent.Load())
		}
		return &Response{
			Status: response.StatusCode, Header: response.Header,
			Body: response.Body, Length: response.ContentLength,
		}, nil
	}
	return Sender{Send: send, Close: transport.CloseIdleConnections}
}

// newRequest returns the HTTP request for a call.
func newRequest(ctx context.Context, timeout time.Duration, address string, c Call) *http.Request {
	r := &http.Request{
		Method:        c.Method,
		URL:           call.TargetURL(address, c.Target),
		Host:          address,
		Header:        http.Header{},
		Body:          c.Body,
		ContentLength: c.Length,
	}
	call.CopyHeader(r.Header, c.Header)
	call.SetKey(r.Header, c.Key)
	if team := c.Team(); team != "" {
		r.Header.Set(call.HeaderTeam, team)
	}
	// Nested calls of the upstream must end before this call does, and the system
	// must not retry them on its own.
	r.Header.Set(call.HeaderTimeout, timeout.String())
	r.Header.Set(call.HeaderDepth, strconv.Itoa(call.Depth(c.Header)+1))
	call.PreventReplay(r)
	return r.WithContext(ctx)
}
