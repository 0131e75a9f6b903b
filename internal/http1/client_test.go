package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/http1"
)

// upstream runs script for each connection and counts them.
func upstream(t *testing.T, script func(net.Conn, *bufio.Reader)) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var count atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			count.Add(1)
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String(), &count
}

func get(id string) http1.Request {
	return http1.Request{Method: http.MethodGet, Target: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}}}
}

func belongs(request, answer http.Header) bool { return answer.Get("Id") == request.Get("Id") }

func whole(t *testing.T, c *http1.Client, r http1.Request) string {
	t.Helper()
	response, err := c.Do(context.Background(), r)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	response.Body.Close()
	return string(body)
}

// answerAll answers each request with its ID.
func answerAll(conn net.Conn, r *bufio.Reader) {
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Id")
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+string(rune('0'+len(id)))+"\r\n\r\n"+id)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	address, count := upstream(t, answerAll)
	c := http1.NewClient(http1.ClientConfig{Address: address, Matches: belongs})
	defer c.Close()
	for _, id := range []string{"a", "bb", "ccc"} {
		require.Equal(t, id, whole(t, c, get(id)))
	}
	r := http1.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"d"}}, Body: strings.NewReader("xyz"), Length: -1}
	require.Equal(t, "d", whole(t, c, r))
	require.Equal(t, int64(1), count.Load())
}

// A late second answer to an earlier request is not taken for the next one's.
func TestStrayAnswerIsDropped(t *testing.T) {
	address, count := upstream(t, func(conn net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := request.Header.Get("Id")
			if n == 1 {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nold")
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 1\r\n\r\n"+id)
		}
	})
	c := http1.NewClient(http1.ClientConfig{Address: address, Matches: belongs})
	defer c.Close()
	require.Equal(t, "a", whole(t, c, get("a")))
	require.Equal(t, "b", whole(t, c, get("b")))
	require.Equal(t, int64(1), count.Load())
}

// A connection on which bytes came that nobody asked for is not used again.
func TestUnaskedBytesEndTheConnection(t *testing.T) {
	address, count := upstream(t, func(conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 1\r\n\r\n"+id)
		time.Sleep(20 * time.Millisecond)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 1\r\n\r\n"+id)
		io.Copy(io.Discard, r)
	})
	c := http1.NewClient(http1.ClientConfig{Address: address, Matches: belongs})
	defer c.Close()
	require.Equal(t, "a", whole(t, c, get("a")))
	time.Sleep(60 * time.Millisecond)
	require.Equal(t, "b", whole(t, c, get("b")))
	require.Equal(t, int64(2), count.Load())
}

// An answer that is cut short, and one without a length that is reset, are not
// whole.
func TestCutAnswers(t *testing.T) {
	for name, script := range map[string]func(net.Conn, *bufio.Reader){
		"length": func(conn net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nhalf")
		},
		"no length": func(conn net.Conn, r *bufio.Reader) {
			http.ReadRequest(r)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
			time.Sleep(20 * time.Millisecond)
			conn.(*net.TCPConn).SetLinger(0)
		},
	} {
		address, _ := upstream(t, script)
		c := http1.NewClient(http1.ClientConfig{Address: address, Matches: belongs})
		response, err := c.Do(context.Background(), get("a"))
		require.NoError(t, err, name)
		_, err = io.ReadAll(response.Body)
		require.ErrorIs(t, err, http1.ErrBroken, name)
		c.Close()
	}
}

// Only a request that was not sent is told to be unreachable.
func TestErrorsTellWhetherARequestWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	nobody := l.Addr().String()
	l.Close()
	c := http1.NewClient(http1.ClientConfig{Address: nobody})
	_, err = c.Do(context.Background(), get("a"))
	require.ErrorIs(t, err, http1.ErrUnreachable)

	address, _ := upstream(t, func(_ net.Conn, r *bufio.Reader) { http.ReadRequest(r) })
	c = http1.NewClient(http1.ClientConfig{Address: address})
	_, err = c.Do(context.Background(), get("a"))
	require.ErrorIs(t, err, http1.ErrBroken)

	silent, _ := upstream(t, func(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) })
	c = http1.NewClient(http1.ClientConfig{Address: silent})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = c.Do(ctx, get("a"))
	require.ErrorIs(t, err, http1.ErrBroken)
}

// An upstream that answers before it has read a long body gets nothing else on
// that connection.
func TestEarlyAnswer(t *testing.T) {
	address, count := upstream(t, func(conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nId: "+id+"\r\nContent-Length: 1\r\n\r\n"+id)
		time.Sleep(100 * time.Millisecond)
		io.Copy(io.Discard, r)
	})
	c := http1.NewClient(http1.ClientConfig{Address: address, Matches: belongs})
	defer c.Close()
	body := strings.NewReader(strings.Repeat("x", 32<<20))
	r := http1.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}, Body: body, Length: body.Size()}
	require.Equal(t, "a", whole(t, c, r))
	require.Equal(t, "b", whole(t, c, get("b")))
	require.Equal(t, int64(2), count.Load())
}
