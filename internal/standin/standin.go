// Package standin implements a small test upstream, for tests and for trying
// out the system. It has a limited number of slots and rejects calls beyond them,
// a slow start, draining, cancellation, deadlines, health and load endpoints
// whose reports can be old or wrong, and faults that can be switched on.
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

// Config describes a Standin. Service, Version and Address are required; other
// zero fields get defaults.
type Config struct {
	ID          string // Name of the upstream: by default the service and the version, joined by a hyphen.
	Service     string
	Version     string
	Address     string           // Listen address: an IP address and a port.
	Daemon      string           // Local address of the daemon on the same host; empty if there is none.
	Slots       int              // Maximum of concurrent calls. Default: 8.
	Connections int              // Connections that it announces to accept. Default: 110.
	Work        time.Duration    // Mean duration of a call; 0 means no work.
	ColdFor     time.Duration    // How long it is slow after its start.
	ColdFactor  float64          // Factor on the duration of a call during ColdFor. Default: 1.
	Lease       time.Duration    // Lease of its announcements. Default: 2 s.
	Lag         time.Duration    // Age of the health and load reports.
	Mislead     bool             // The reports always show an idle, healthy upstream.
	Clock       func() time.Time // Nil means time.Now.
	Random      func() float64   // Random numbers in [0, 1); nil means always 0.5.
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

// Execution records one execution of a call.
type Execution struct {
	ID    string    `json:"id"` // The caller's X-Call-Id header.
	Key   string    `json:"key,omitempty"`
	Route string    `json:"route"` // Method and path, separated by a space.
	At    time.Time `json:"at"`
	Ended bool      `json:"ended"` // False while the call runs, and if it was cancelled.
}

// HeaderCallID is the header with the ID that a caller gives its call.
const HeaderCallID = "X-Call-Id"

// Standin is a running upstream. It is safe for concurrent use. Start creates
// it; Kill or Leave stops it.
type Standin struct {
	config         Config
	started        time.Time
	server         *http.Server
	address        string
	slots          chan struct{}
	mutex          sync.Mutex
	faults         []Fault
	executions     []*Execution
	reports        []report
	shedCalls      int
	cancelledCalls int
	draining       bool
	stop           chan struct{}
	background     sync.WaitGroup
	stopOnce       sync.Once
}

// report is the load at a time, as the health and load endpoints return it.
type report struct {
	at      time.Time
	Running int  `json:"running"`
	Slots   int  `json:"slots"`
	Healthy bool `json:"healthy"`
}

// Start starts an upstream: it serves calls and announces itself to the daemon,
// if the configuration names one.
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
	mux.HandleFunc("GET /standin/runs", s.serveExecutions)
	mux.HandleFunc("POST /standin/faults", s.serveFaults)
	mux.HandleFunc("POST /standin/drain", s.serveDrain)
	mux.HandleFunc("/", s.serveCall)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go s.server.Serve(l)
	s.background.Add(1)
	go s.recordReports()
	if c.Daemon != "" {
		s.background.Add(1)
		go s.renewLease()
	}
	return s, nil
}

// Address returns the address on which the upstream listens.
func (s *Standin) Address() string { return s.address }

// Executions returns a copy of the records of all calls that were executed or are
// being executed, in the order of their start.
func (s *Standin) Executions() []Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]Execution, len(s.executions))
	for i, r := range s.executions {
		all[i] = *r
	}
	return all
}

// SetFaults replaces the faults that are switched on. Fault.After counts from
// now.
func (s *Standin) SetFaults(faults ...Fault) {
	now := s.config.Clock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = nil
	for _, f := range faults {
		f.activeFrom = now.Add(time.Duration(f.After))
		s.faults = append(s.faults, f)
	}
}

// Kill stops the upstream at once, breaks its connections and does not withdraw
// it from the daemon.
func (s *Standin) Kill() {
	s.stopOnce.Do(func() { close(s.stop) })
	s.server.Close()
	s.background.Wait()
}

// Leave stops the upstream gracefully: it drains, waits until no call runs or
// ctx is done, withdraws from the daemon and shuts down the server, whose error
// it returns.
func (s *Standin) Leave(ctx context.Context) error {
	s.Drain()
	for len(s.slots) > 0 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	s.callDaemon(http.MethodDelete, "/v1/upstreams/"+s.config.ID, nil)
	s.stopOnce.Do(func() { close(s.stop) })
	err := s.server.Shutdown(ctx)
	s.background.Wait()
	return err
}

// Drain asks the daemon to send no new calls. The upstream goes on serving those
// that arrive.
func (s *Standin) Drain() {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	s.callDaemon(http.MethodPost, "/v1/upstreams/"+s.config.ID+"/drain", nil)
}

// serveCall executes one call. It rejects the call if no slot is free or if the
// work would take longer than the remaining time of the call.
func (s *Standin) serveCall(w http.ResponseWriter, r *http.Request) {
	select {
	case s.slots <- struct{}{}:
	default:
		s.mutex.Lock()
		s.shedCalls++
		s.mutex.Unlock()
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	now := s.config.Clock()
	duration := s.workDuration(now, r)
	if remaining, err := time.ParseDuration(r.Header.Get(call.HeaderTimeout)); err == nil && remaining < duration {
		http.Error(w, "the deadline can't be met", http.StatusGatewayTimeout)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The request was truncated, so the call is not executed.
	}
	execution := s.recordStart(now, r)
	if !s.simulateWork(r.Context(), duration) {
		return
	}
	s.recordEnd(execution)
	s.respond(w, r, s.activeFault(now, r), body)
}

func (s *Standin) recordStart(now time.Time, r *http.Request) *Execution {
	execution := &Execution{ID: r.Header.Get(HeaderCallID), Key: r.Header.Get(call.HeaderKey), Route: r.Method + " " + r.URL.Path, At: now}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.executions = append(s.executions, execution)
	return execution
}

func (s *Standin) recordEnd(execution *Execution) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	execution.Ended = true
}

// workDuration returns the time of a call's work, which varies between 0.5 and
// 1.5 times the mean before the factors of the slow start and of a fault.
func (s *Standin) workDuration(now time.Time, r *http.Request) time.Duration {
	duration := float64(s.config.Work) * (0.5 + s.config.Random())
	if now.Sub(s.started) < s.config.ColdFor {
		duration *= s.config.ColdFactor
	}
	if f := s.activeFault(now, r); f.Kind == FaultSlow {
		duration *= f.Factor
	}
	return time.Duration(duration)
}

// simulateWork waits for d. It returns false if the call is cancelled meanwhile.
func (s *Standin) simulateWork(ctx context.Context, d time.Duration) bool {
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
		s.cancelledCalls++
		s.mutex.Unlock()
		return false
	}
}

// respond writes the response to a call, changed by the fault f. For a truncated
// response it panics with http.ErrAbortHandler, which closes the connection.
func (s *Standin) respond(w http.ResponseWriter, r *http.Request, f Fault, body []byte) {
	text := fmt.Sprintf(`{"upstream":%q,"service":%q,"version":%q,"id":%q,"path":%q,"got":%d}`+"\n",
		s.config.ID, s.config.Service, s.config.Version, r.Header.Get(HeaderCallID), r.URL.Path, len(body))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	switch f.Kind {
	case FaultFail:
		w.Header().Del("Content-Length")
		http.Error(w, "the version is bad", http.StatusInternalServerError)
	case FaultTruncate:
		// Without a length, only the broken connection shows that the response
		// is incomplete.
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

func (s *Standin) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s.Executions())
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
