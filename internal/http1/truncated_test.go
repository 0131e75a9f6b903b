package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/http1"
)

// Guards against a truncated response that looks complete: a server that stops at any
// byte of its response and closes the connection, with or without a reset, must give an
// error. Only the body of a response without a length may end there.
func TestResponseTruncatedAnywhereIsError(t *testing.T) {
	for _, test := range []struct {
		name, head, body string
		endsWithConn     bool // The end of the connection is that of the body.
	}{
		{"length", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 12\r\nX-Signature: s\r\n\r\n", "hello, world", false},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: b\r\nConnection: close\r\n\r\n", "hello, world", false},
		{"chunks", "HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n", false},
		{"trailer", "HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n", "5\r\nhello\r\n0\r\nT: 1\r\n\r\n", false},
		{"no length", "HTTP/1.1 200 OK\r\nId: b\r\nConnection: close\r\n\r\n", "hello, world", true},
		{"no length, kept", "HTTP/1.1 200 OK\r\nId: b\r\n\r\n", "hello, world", true},
		{"old protocol", "HTTP/1.0 200 OK\r\nId: b\r\n\r\n", "hello, world", true},
		{"empty", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 0\r\n\r\n", "", false},
		{"no content", "HTTP/1.1 204 No Content\r\nId: b\r\n\r\n", "", false},
		{"bare line ends", "HTTP/1.1 200 OK\nId: b\nContent-Length: 12\n\n", "hello, world", false},
		{"informational before", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\n", "ok", false},
	} {
		whole := test.head + test.body
		for cut := range len(whole) {
			if test.endsWithConn && cut >= len(test.head) {
				continue
			}
			for _, earlier := range []string{"", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\na"} {
				for _, reset := range []bool{false, true} {
					name := fmt.Sprintf("%s: %q, after %q, reset %v", test.name, whole[:cut], earlier, reset)
					address, conns := serveScript(t, func(conn net.Conn, r *bufio.Reader) {
						if earlier != "" {
							http.ReadRequest(r)
							io.WriteString(conn, earlier)
						}
						if _, err := http.ReadRequest(r); err != nil {
							return
						}
						io.WriteString(conn, whole[:cut])
						if reset {
							conn.(*net.TCPConn).SetLinger(0)
						}
					})
					c := http1.NewClient(http1.ClientConfig{Address: address, Identify: identifyByID})
					if earlier != "" {
						require.Equal(t, "a", doAndRead(t, c, newGet("a")), name)
					}
					response, err := c.Do(context.Background(), newGet("b"))
					if err == nil {
						var body []byte
						body, err = io.ReadAll(response.Body)
						require.Error(t, err, "%s: got %d %q", name, response.StatusCode, body)
					}
					require.ErrorIs(t, err, http1.ErrBroken, name)
					require.EqualValues(t, 1, conns.Load(), name)
					c.Close()
				}
			}
		}
	}
}
