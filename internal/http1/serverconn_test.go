package http1

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A connection that was closed for writing after its last response ends soon, also if
// its reader begins to wait for the next request only then. Otherwise it would stay open
// for as long as the caller keeps it.
func TestClosedConnectionEndsForLateReader(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	c := newServerConn(NewServer(ServerConfig{Handler: http.NotFoundHandler()}), server)
	c.closeAfterResponse()
	ended := make(chan bool, 1)
	go func() { ended <- c.awaitRequest(Limits{}) }()
	select {
	case more := <-ended:
		require.False(t, more)
	case <-time.After(4 * lingerTimeout):
		t.Fatal("the reader still waits for a request")
	}
}

// A connection whose response was written just before Drain, and whose request ends just
// after it, closes like an idle one.
func TestConnectionClosesIfRequestEndsAfterDrain(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	s := NewServer(ServerConfig{Handler: http.NotFoundHandler()})
	c := newServerConn(s, server)
	require.True(t, s.addConn(c))
	defer s.removeConn(c)
	require.True(t, c.beginRequest())
	s.Drain()
	c.endRequest()
	client.SetReadDeadline(time.Now().Add(time.Second))
	_, err := client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
