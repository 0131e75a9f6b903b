package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

var attemptCount atomic.Int64

// newAttempt returns an attempt ID.
func newAttempt() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, attemptCount.Add(1))
}

// request is one attempt of a client, and what became of it.
type request struct {
	id         string
	path       string
	deadlineMs int
	sent       time.Time
	answered   time.Time
	closed     time.Time // When the connection ended without an answer.
	status     int       // 0 if there was no answer.
	whole      bool      // The answer was complete.
	size       int
	signature  string
}

func newRequest(path string, deadlineMs int) *request {
	return &request{id: newAttempt(), path: path, deadlineMs: deadlineMs}
}

// success reports whether the request was answered with success.
func (r *request) success() bool { return r.status == 200 && r.whole && r.signature != "" }

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	record *record
	reader *bufio.Reader
}

func dialClient(record *record, address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, record: record, reader: bufio.NewReader(conn)}, nil
}

// send sends requests, the later ones before the first has been answered.
func (c *clientConn) send(requests ...*request) error {
	var b strings.Builder
	now := time.Now()
	for _, r := range requests {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Endivewalk-Attempt-Id: %s\r\nX-Endivewalk-Deadline-Ms: %d\r\n\r\n", r.path, hostName, r.id, r.deadlineMs)
		r.sent = now
		c.record.log("client sends %s (GET %s, deadline %d ms)", r.id, r.path, r.deadlineMs)
	}
	_, err := io.WriteString(c, b.String())
	return err
}

// receive reads the answers to requests in order. It returns the error that ended the
// connection.
func (c *clientConn) receive(requests ...*request) error {
	for i, r := range requests {
		// A client that waits for longer than its deadline has given up.
		c.SetReadDeadline(r.sent.Add(time.Duration(r.deadlineMs)*time.Millisecond + 3*time.Second))
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			c.lose(requests[i:], err)
			return err
		}
		body, err := io.ReadAll(response.Body)
		r.answered, r.status, r.whole, r.size = time.Now(), response.StatusCode, err == nil, len(body)
		r.signature = response.Header.Get("X-Endivewalk-Response-Signature")
		c.record.log("client gets %d for %s: %d bytes, whole %v, signature %q, after %.3f s", r.status, r.id, r.size, r.whole, r.signature, r.answered.Sub(r.sent).Seconds())
		if err != nil {
			c.lose(requests[i+1:], err)
			return err
		}
		if response.Close && i+1 < len(requests) {
			c.lose(requests[i+1:], io.EOF)
			return io.EOF
		}
	}
	return nil
}

// lose notes that requests have no answer because the connection has ended with err.
func (c *clientConn) lose(requests []*request, err error) {
	for _, r := range requests {
		if !errors.Is(err, os.ErrDeadlineExceeded) { // The daemon, not the client, ended it.
			r.closed = time.Now()
		}
		c.record.log("client gets no answer to %s: %v, %.3f s after it was sent", r.id, err, time.Since(r.sent).Seconds())
	}
}
