package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/http1"
)

// maxEndlessHeap bounds, in bytes, how much one endless response may add to the
// heap. A daemon has as many such responses at once as its upstream has slots.
const maxEndlessHeap = 4 << 20

// endlessResponses are responses that never end, by their start and the bytes that
// follow it for ever.
var endlessResponses = map[string]struct{ start, rest string }{
	"no line end":       {"", "x"},
	"status line":       {"HTTP/1.1 200 ", "OK"},
	"header line":       {"HTTP/1.1 200 OK\r\nId: a\r\nLong: ", "x"},
	"header name":       {"HTTP/1.1 200 OK\r\nId: a\r\n", "x"},
	"header lines":      {"HTTP/1.1 200 OK\r\nId: a\r\n", "X: y\r\n"},
	"continuation":      {"HTTP/1.1 200 OK\r\nId: a\r\nX: y\r\n", " y\r\n"},
	"informational":     {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
	"body of unmatched": {"HTTP/1.1 200 OK\r\nId: b\r\n\r\n", "x"},
	"chunk of unmatched": {"HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n",
		"4\r\nabcd\r\n"},
}

// serveEndless starts a server whose response to each request never ends.
func serveEndless(t *testing.T, start, rest string) string {
	address, _ := serveScript(t, func(conn net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		io.WriteString(conn, start)
		block := []byte(strings.Repeat(rest, 64<<10/len(rest)))
		for {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	})
	return address
}

// heapGrowth returns by how many bytes the heap in use grows, at most, while f
// runs.
func heapGrowth(f func()) uint64 {
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	most := before.HeapInuse
	for {
		runtime.ReadMemStats(&now)
		most = max(most, now.HeapInuse)
		select {
		case <-done:
			return most - before.HeapInuse
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// A response head that never ends, and the body of a response to another request
// that never ends, are given up after a bounded number of bytes. The request may
// have been executed.
func TestEndlessResponseIsGivenUp(t *testing.T) {
	for name, e := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			c := http1.NewClient(http1.ClientConfig{Address: serveEndless(t, e.start, e.rest), Identify: identifyByID})
			defer c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			var err error
			growth := heapGrowth(func() { _, err = c.Do(ctx, newGet("a")) })
			require.ErrorIs(t, err, http1.ErrBroken)
			require.NoError(t, ctx.Err(), "not given up before the deadline")
			require.Less(t, growth, uint64(maxEndlessHeap))
		})
	}
}

// A body that never ends uses no more memory than one read, and ends with its
// context.
func TestEndlessBodyEndsWithContext(t *testing.T) {
	for name, e := range map[string]struct{ start, rest string }{
		"until close":   {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "x"},
		"chunks":        {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"chunk size":    {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk options": {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer":       {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := http1.NewClient(http1.ClientConfig{Address: serveEndless(t, e.start, e.rest), Identify: identifyByID})
			defer c.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			response, err := c.Do(ctx, newGet("a"))
			require.NoError(t, err)
			time.AfterFunc(300*time.Millisecond, cancel)
			start := time.Now()
			growth := heapGrowth(func() { _, err = io.Copy(io.Discard, response.Body) })
			require.ErrorIs(t, err, http1.ErrBroken)
			require.Less(t, time.Since(start), 2*time.Second)
			require.Less(t, growth, uint64(maxEndlessHeap))
		})
	}
}

// A head below the limit is read in full, however it is split.
func TestLongResponseHeadIsRead(t *testing.T) {
	value := strings.Repeat("v", (64<<10)/2)
	address, _ := serveScript(t, func(conn net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nLong: ")
		time.Sleep(10 * time.Millisecond)
		io.WriteString(conn, value+"\r\nContent-Length: 1\r\n\r\na")
	})
	c := http1.NewClient(http1.ClientConfig{Address: address, Identify: identifyByID})
	defer c.Close()
	response, err := c.Do(context.Background(), newGet("a"))
	require.NoError(t, err)
	require.Equal(t, value, response.Header.Get("Long"))
	response.Body.Close()
}
