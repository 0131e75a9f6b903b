package accept_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/accept"
)

// Connections that clients made before Refuse must be accepted and get a response;
// later ones must be refused. The test guards against resetting queued connections.
func TestRefuseKeepsQueuedConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	const queued = 8
	var clients []net.Conn
	for range queued {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		_, err = conn.Write([]byte("call"))
		require.NoError(t, err)
		clients = append(clients, conn)
	}
	require.NoError(t, accept.Refuse(l))
	require.NoError(t, accept.Refuse(l), "second call of Refuse")
	_, err = net.Dial("tcp", l.Addr().String())
	require.True(t, errors.Is(err, syscall.ECONNREFUSED), "got %v", err)
	for range queued {
		conn, err := l.Accept()
		require.NoError(t, err)
		_, err = conn.Write([]byte("answer"))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	for _, conn := range clients {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		response := make([]byte, len("answer"))
		_, err := io.ReadFull(conn, response)
		require.NoError(t, err)
	}
}
