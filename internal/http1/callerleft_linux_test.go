package http1_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A caller that left was not noticed behind more unread bytes than a connection reads ahead.
// Those beyond are in the receive buffer of the system, behind which it sees the close.
func TestCallerLeavesBeforeLongBodyIsRead(t *testing.T) {
	for name, request := range map[string]string{
		"body":      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000),
		"part":      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n" + strings.Repeat("x", 100000),
		"pipelined": strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 3000)+"\r\n\r\n", 40),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newWaitingServer(t, func(*http.Request) {})
			conn, _ := dial(t, s.address)
			_, err := conn.Write([]byte(request))
			require.NoError(t, err)
			s.requireCancelled(t, conn)
		})
	}
}
