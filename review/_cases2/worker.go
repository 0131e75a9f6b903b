package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of an application worker. It runs up to slots requests at once and rejects
// others with X-Endivewalk-Not-Executed.
type worker struct {
	record  *record
	id      string
	service string
	zone    string
	version string
	slots   int
	address string
	control string // Of the daemon beside it.
	born    int64
	// respond writes the answer to a request that it has run for its time, and reports whether
	// the connection may be kept.
	respond func(w *worker, conn net.Conn, r *http.Request) bool
	work    func(r *http.Request) time.Duration

	listener net.Listener
	stop     chan struct{}
	mutex    sync.Mutex
	running  int
	conns    map[net.Conn]bool
	runs     map[string]int  // By attempt ID.
	whole    map[string]bool // Attempts whose whole answer was written.
}

// start listens and announces the worker until close.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.listener, w.stop = l, make(chan struct{})
	w.conns, w.runs, w.whole = map[net.Conn]bool{}, map[string]int{}, map[string]bool{}
	w.born = time.Now().UnixMilli()
	if w.version == "" {
		w.version = "v1"
	}
	go w.accept()
	go w.announce()
	return nil
}

func (w *worker) close() {
	close(w.stop)
	w.listener.Close()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for c := range w.conns {
		c.Close()
	}
}

func (w *worker) announce() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":%q,"zone":%q,"slots":%d},"status":{"state":"ready","sequence":%d,"cold_remaining_s":0}}`,
			w.address, w.born, w.service, w.version, w.zone, w.slots, sequence)
		response, err := client.Post("http://"+w.control+"/api/instances/"+w.id+"/heartbeat", "application/json", strings.NewReader(body))
		pause := 1500 * time.Millisecond
		if err != nil {
			pause = 300 * time.Millisecond
		} else {
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				pause = 300 * time.Millisecond
			}
		}
		select {
		case <-w.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mutex.Lock()
		w.conns[conn] = true
		w.mutex.Unlock()
		go func() {
			w.serve(conn)
			conn.Close()
			w.mutex.Lock()
			delete(w.conns, conn)
			w.mutex.Unlock()
		}()
	}
}

func (w *worker) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body bytes.Buffer
		if _, err := body.ReadFrom(r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Endivewalk-Attempt-Id")
		switch {
		case r.Header.Get("X-Endivewalk-Expect-Instance") != w.id:
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Endivewalk-Not-Executed: 1\r\nX-Endivewalk-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		case !w.begin(id):
			w.record.log("worker %s rejects %s: full", w.id, id)
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Endivewalk-Not-Executed: 1\r\nX-Endivewalk-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		w.record.log("worker %s runs %s (%s %s)", w.id, id, r.Method, r.URL.Path)
		time.Sleep(w.work(r))
		w.mutex.Lock()
		w.running--
		w.mutex.Unlock()
		if !w.respond(w, conn, r) {
			return
		}
		w.record.log("worker %s has answered %s", w.id, id)
	}
}

// begin takes a slot.
func (w *worker) begin(id string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.running >= w.slots {
		return false
	}
	w.running++
	w.runs[id]++
	return true
}

// ranTimes returns how often the worker has run an attempt.
func (w *worker) ranTimes(id string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.runs[id]
}

// writeAnswer writes a whole answer of size bytes.
func (w *worker) writeAnswer(conn net.Conn, r *http.Request, size int) bool {
	id := r.Header.Get("X-Endivewalk-Attempt-Id")
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nX-Endivewalk-Attempt-Id: %s\r\nX-Endivewalk-Response-Signature: %s.%s.%d\r\nContent-Length: %d\r\n\r\n", id, w.id, id, size, size)
	b.Write(bytes.Repeat([]byte("w"), size))
	_, err := conn.Write(b.Bytes())
	return err == nil
}

// breakOff writes the header of an answer of size bytes and ends the connection.
func (w *worker) breakOff(conn net.Conn, r *http.Request, size int) bool {
	id := r.Header.Get("X-Endivewalk-Attempt-Id")
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Endivewalk-Attempt-Id: %s\r\nX-Endivewalk-Response-Signature: %s.%s.%d\r\nContent-Length: %d\r\n\r\n", id, w.id, id, size, size)
	w.record.log("worker %s breaks off its answer to %s", w.id, id)
	return false
}
