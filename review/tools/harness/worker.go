//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a worker began to work on.
type run struct {
	worker, id, method, target, caller string
	at                                 time.Time
}

// worker is a stand-in for an application worker.
type worker struct {
	id, service, version string
	machine              *machine
	record               *record
	work                 time.Duration
	bodyBytes            int
	pieces               int           // The body is sent in so many pieces;
	pause                time.Duration // this is the time between two.
	slowFactor           float64       // Factor on pause until slowUntil.
	born                 int64
	listener             net.Listener
	server               *http.Server
	control              string // Where heartbeats go.
	stop                 chan struct{}

	mutex     sync.Mutex
	sequence  uint64
	slowUntil time.Time
	state     string
	runs      []run
	ended     map[string]bool // Attempt ids whose response was written.
	// truncate returns whether the answer to a request breaks off. Nil means never.
	truncate func(r *http.Request) bool
}

func startWorker(rec *record, m *machine, id string, work time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", m.address(appPort))
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: m.service, version: "v1", machine: m, record: rec, work: work, bodyBytes: 600, born: time.Now().UnixMilli(),
		listener: l, control: m.address(controlPort), stop: make(chan struct{}), state: "ready", ended: map[string]bool{}}
	w.server = &http.Server{Handler: w, IdleTimeout: 30 * time.Second}
	go w.server.Serve(l)
	go w.beat()
	return w, nil
}

// beatBody returns the next heartbeat.
func (w *worker) beatBody() []byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.sequence++
	type object = map[string]any
	data, _ := json.Marshal(object{"address": w.machine.address(appPort), "born": w.born,
		"info":   object{"service": w.service, "version": w.version, "zone": w.machine.zone, "slots": 9},
		"status": object{"state": w.state, "sequence": w.sequence, "cold_remaining_s": 0}})
	return data
}

// post sends a call of service discovery and reports whether it was acknowledged.
func (w *worker) post(path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.control+path, bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	response, err := plain.Do(r)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode/100 == 2
}

func (w *worker) heartbeatPath() string { return "/api/instances/" + w.id + "/heartbeat" }

// beat sends heartbeats until stop is closed.
func (w *worker) beat() {
	for {
		w.post(w.heartbeatPath(), w.beatBody())
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// ServeHTTP runs a request.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Endivewalk-Attempt-Id")
	if r.URL.Path == "/health" {
		out.Header().Set("X-Endivewalk-Instance-Id", w.id)
		return
	}
	if want := r.Header.Get("X-Endivewalk-Expect-Instance"); want != "" && want != w.id {
		out.Header().Set("X-Endivewalk-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	io.Copy(io.Discard, r.Body)
	w.mutex.Lock()
	w.runs = append(w.runs, run{w.id, id, r.Method, r.RequestURI, r.Header.Get("X-Endivewalk-Caller-Service"), time.Now()})
	truncate := w.truncate != nil && w.truncate(r)
	w.mutex.Unlock()
	w.record.line("worker %s runs %s %s, attempt %s", w.id, r.Method, r.RequestURI, id)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		w.record.line("worker %s: the connection of attempt %s closed while it ran", w.id, id)
		return
	}
	body := bytes.Repeat([]byte("x"), w.bodyBytes)
	h := out.Header()
	h.Set("X-Endivewalk-Attempt-Id", id)
	h.Set("X-Endivewalk-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	h.Set("X-Endivewalk-Server-Load", "1,0,9")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if truncate {
		w.record.line("worker %s breaks off its answer to attempt %s after %d of %d bytes", w.id, id, len(body)/2, len(body))
		out.Write(body[:len(body)/2])
		http.NewResponseController(out).Flush()
		panic(http.ErrAbortHandler)
	}
	for rest := body; len(rest) > 0; {
		n := min(len(rest), max(1, len(body)/max(1, w.pieces)))
		out.Write(rest[:n])
		if rest = rest[n:]; len(rest) > 0 {
			http.NewResponseController(out).Flush()
			time.Sleep(w.pauseNow())
		}
	}
	w.mutex.Lock()
	w.ended[id] = true
	w.mutex.Unlock()
}

// pauseNow returns the pause between two pieces, which is longer while the worker is slow.
func (w *worker) pauseNow() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if time.Now().Before(w.slowUntil) {
		return time.Duration(w.slowFactor * float64(w.pause))
	}
	return w.pause
}

// runsOf returns how often a worker ran an attempt.
func (w *worker) runsOf(id string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	n := 0
	for _, r := range w.runs {
		if r.id == id {
			n++
		}
	}
	return n
}

// answer is what a client got.
type answer struct {
	status    int // 0 if the connection ended without an answer.
	signature string
	whole     bool
	err       error
}

// request sends one client attempt to the daemon of a machine, on a new connection.
func request(rec *record, m *machine, method, host, path, id string, deadline time.Duration, headers map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+m.address(outboundPort)+path, nil)
	r.Host = host
	r.Header.Set("X-Endivewalk-Attempt-Id", id)
	r.Header.Set("X-Endivewalk-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for k, v := range headers {
		r.Header.Set(k, v)
	}
	rec.line("client of %s sends %s %s, attempt %s", m.name, method, path, id)
	response, err := plain.Do(r)
	if err != nil {
		rec.line("attempt %s ends: %v", id, err)
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	a := answer{status: response.StatusCode, signature: response.Header.Get("X-Endivewalk-Response-Signature"), whole: err == nil && len(body) > 0, err: err}
	rec.line("attempt %s ends: status %d, %d bytes, error %v", id, a.status, len(body), err)
	return a
}

var attempts struct {
	sync.Mutex
	n int
}

// newID returns the id of a new client attempt.
func newID() string {
	attempts.Lock()
	defer attempts.Unlock()
	attempts.n++
	return fmt.Sprintf("%08x%08x", time.Now().Unix(), attempts.n)
}
