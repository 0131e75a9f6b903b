// Package standin is a small upstream for trying the system out and for its
// tests. It has slots, cold starts, shedding, draining, cancellation,
// deadlines, health and load endpoints that can lag or mislead, and faults
// that can be switched on.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/call"
)

// Config describes a Standin. Service, Version and Address are required.
type Config struct {
	ID          string
	Service     string
	Version     string
	Address     string // Where it serves; an IP number and a port.
	Daemon      string // The local address of the daemon beside it; may be empty.
	Slots       int
	Connections int
	Work        time.Duration // The mean time of a call.
	ColdFor     time.Duration // How long it is slow after its start.
	ColdFactor  float64       // How much slower it is then.
	Lease       time.Duration
	Lag         time.Duration // How old the health and load reports are.
	Mislead     bool          // The reports always show an idle, healthy upstream.
	Clock       func() time.Time
	Random      func() float64 // Random numbers in [0, 1).
}

func (c Config) withDefaults() Config {
	if c.ID == "" {
		c.ID = c.Service + "-" + c.Version
	}
	if c.Slots == 0 {
		c.Slots = 8
	}
	if c.Connections == 0 {
		c.Connections = 110
	}
	if c.Lease == 0 {
		c.Lease = 2 * time.Second
	}
	if c.ColdFactor == 0 {
		c.ColdFactor = 1
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Random == nil {
		c.Random = func() float64 { return 0.5 }
	}
	return c
}

// Run is one call that was run.
type Run struct {
	ID    string    `json:"id"` // The caller's X-Call-Id header.
	Key   string    `json:"key,omitempty"`
	Route string    `json:"route"` // Method and path.
	At    time.Time `json:"at"`
	Ended bool      `json:"ended"` // False while it runs, and if it was cancelled.
}

// CallID is the header by which callers name their calls.
const CallID = "X-Call-Id"

// Standin is a running upstream. It is safe for concurrent use. Make one with
// Start.
type Standin struct {
	config  Config
	started time.Time
	server  *http.Server
	address string
	slots   chan struct{}
	mutex   sync.Mutex
	faults  []Fault
	runs    []*Run
	history []report
	shed    int
	cancels int
	drained bool
	stop    chan struct{}
	duties  sync.WaitGroup
	ending  sync.Once
}

// report is what the health and load endpoints told at a time.
type report struct {
	at      time.Time
	Running int  `json:"running"`
	Slots   int  `json:"slots"`
	Healthy bool `json:"healthy"`
}

// Start begins to serve and to announce itself.
func Start(c Config) (*Standin, error) {
	c = c.withDefaults()
	s := &Standin{config: c, started: c.Clock(), slots: make(chan struct{}, c.Slots), stop: make(chan struct{})}
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, errs.New("standin: %v", err)
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/health", s.serveReport)
	mux.HandleFunc("/load", s.serveReport)
	mux.HandleFunc("GET /standin/runs", s.serveRuns)
	mux.HandleFunc("POST /standin/faults", s.serveFaults)
	mux.HandleFunc("POST /standin/drain", s.serveDrain)
	mux.HandleFunc("/", s.serveCall)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go s.server.Serve(l)
	s.duties.Add(1)
	go s.runReports()
	if c.Daemon != "" {
		s.duties.Add(1)
		go s.runAnnounce()
	}
	return s, nil
}

// Address returns where the upstream serves.
func (s *Standin) Address() string { return s.address }

// Runs returns every call that was run so far.
func (s *Standin) Runs() []Run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]Run, len(s.runs))
	for i, r := range s.runs {
		all[i] = *r
	}
	return all
}

// SetFaults replaces the faults that are switched on.
func (s *Standin) SetFaults(faults ...Fault) {
	now := s.config.Clock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = nil
	for _, f := range faults {
		f.begins = now.Add(time.Duration(f.After))
		s.faults = append(s.faults, f)
	}
}

// Kill stops at once, without taking leave.
func (s *Standin) Kill() {
	s.ending.Do(func() { close(s.stop) })
	s.server.Close()
	s.duties.Wait()
}

// Leave drains, waits for running calls, takes leave and stops.
func (s *Standin) Leave(ctx context.Context) error {
	s.Drain()
	for len(s.slots) > 0 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	s.request(http.MethodDelete, "/v1/upstreams/"+s.config.ID, nil)
	s.ending.Do(func() { close(s.stop) })
	err := s.server.Shutdown(ctx)
	s.duties.Wait()
	return err
}

// Drain asks the daemon to send no new work.
func (s *Standin) Drain() {
	s.mutex.Lock()
	s.drained = true
	s.mutex.Unlock()
	s.request(http.MethodPost, "/v1/upstreams/"+s.config.ID+"/drain", nil)
}

// serveCall runs one call.
func (s *Standin) serveCall(w http.ResponseWriter, r *http.Request) {
	select {
	case s.slots <- struct{}{}:
	default:
		s.mutex.Lock()
		s.shed++
		s.mutex.Unlock()
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	now := s.config.Clock()
	work := s.workTime(now, r)
	if left, err := time.ParseDuration(r.Header.Get(call.HeaderTimeout)); err == nil && left < work {
		http.Error(w, "the deadline can't be met", http.StatusGatewayTimeout)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The request was truncated, so it is not run.
	}
	run := s.begin(now, r)
	if !s.work(r.Context(), work) {
		return
	}
	s.end(run)
	s.answer(w, r, s.fault(now, r), body)
}

func (s *Standin) begin(now time.Time, r *http.Request) *Run {
	run := &Run{ID: r.Header.Get(CallID), Key: r.Header.Get(call.HeaderKey), Route: r.Method + " " + r.URL.Path, At: now}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs = append(s.runs, run)
	return run
}

func (s *Standin) end(run *Run) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	run.Ended = true
}

// workTime returns how long a call takes, which varies around the mean.
func (s *Standin) workTime(now time.Time, r *http.Request) time.Duration {
	work := float64(s.config.Work) * (0.5 + s.config.Random())
	if now.Sub(s.started) < s.config.ColdFor {
		work *= s.config.ColdFactor
	}
	if f := s.fault(now, r); f.Kind == FaultSlow {
		work *= f.Factor
	}
	return time.Duration(work)
}

// work waits, and returns false if the caller gave up meanwhile.
func (s *Standin) work(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		s.mutex.Lock()
		s.cancels++
		s.mutex.Unlock()
		return false
	}
}

// answer writes the answer, as the fault in force would have it.
func (s *Standin) answer(w http.ResponseWriter, r *http.Request, f Fault, body []byte) {
	text := fmt.Sprintf(`{"upstream":%q,"service":%q,"version":%q,"id":%q,"path":%q,"got":%d}`+"\n",
		s.config.ID, s.config.Service, s.config.Version, r.Header.Get(CallID), r.URL.Path, len(body))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	switch f.Kind {
	case FaultFail:
		w.Header().Del("Content-Length")
		http.Error(w, "the version is bad", http.StatusInternalServerError)
	case FaultTruncate:
		// Without a length, only the broken connection shows that the answer is
		// not whole.
		w.Header().Del("Content-Length")
		io.WriteString(w, text[:len(text)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FaultLate:
		time.Sleep(time.Duration(f.Delay))
		io.WriteString(w, text)
	default:
		io.WriteString(w, text)
	}
}

func (s *Standin) serveRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s.Runs())
}

func (s *Standin) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults []Fault
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, f := range faults {
		if err := f.Check(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	s.SetFaults(faults...)
}

func (s *Standin) serveDrain(http.ResponseWriter, *http.Request) { s.Drain() }
