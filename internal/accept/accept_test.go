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

// TestRefuse leaves connections that came before in the queue, and refuses
// those that come after.
func TestRefuse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	const waiting = 8
	var before []net.Conn
	for range waiting {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		_, err = conn.Write([]byte("call"))
		require.NoError(t, err)
		before = append(before, conn)
	}
	require.NoError(t, accept.Refuse(l))
	require.NoError(t, accept.Refuse(l), "twice does no harm")
	_, err = net.Dial("tcp", l.Addr().String())
	require.True(t, errors.Is(err, syscall.ECONNREFUSED), "got %v", err)
	for range waiting {
		conn, err := l.Accept()
		require.NoError(t, err)
		_, err = conn.Write([]byte("answer"))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	for _, conn := range before {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		answer := make([]byte, len("answer"))
		_, err := io.ReadFull(conn, answer)
		require.NoError(t, err)
	}
}
