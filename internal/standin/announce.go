package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/endivewalk/endivewalk/internal/upstream"
	"github.com/endivewalk/endivewalk/internal/wait"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// renewalsPerLease is how often the upstream announces itself during one lease.
const renewalsPerLease = 4

// renewLease announces the upstream to the daemon until the upstream stops. It
// sends nothing while the upstream drains.
func (s *Standin) renewLease() {
	defer s.background.Done()
	for {
		s.mutex.Lock()
		draining := s.draining
		s.mutex.Unlock()
		if !draining {
			s.callDaemon(http.MethodPost, "/v1/upstreams", upstream.Announcement{
				ID: s.config.ID, Service: s.config.Service, Version: s.config.Version, Address: s.address,
				Slots: s.config.Slots, Connections: s.config.Connections, Lease: config.Duration(s.config.Lease),
				Start: s.started.UnixMilli(),
			})
		}
		if !s.waitUnlessStopped(s.config.Lease / renewalsPerLease) {
			return
		}
	}
}

// waitUnlessStopped waits for d. It returns false at once when the upstream
// stops.
func (s *Standin) waitUnlessStopped(d time.Duration) bool { return wait.For(d, s.stop) }

// callDaemon sends a request to the daemon's local address, if there is a
// daemon. Errors are ignored: the next renewal of the lease tries again.
func (s *Standin) callDaemon(method, path string, body any) {
	if s.config.Daemon == "" {
		return
	}
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+s.config.Daemon+path, bytes.NewReader(data))
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err == nil {
		resp.Body.Close()
	}
}

// The reports that are kept cover 20 s, which bounds Config.Lag.
const (
	reportInterval = 50 * time.Millisecond
	maxReports     = 400
)

// recordReports records the load at intervals, so that the health and load
// endpoints can return an old report.
func (s *Standin) recordReports() {
	defer s.background.Done()
	for s.waitUnlessStopped(reportInterval) {
		s.mutex.Lock()
		s.reports = append(s.reports, report{at: s.config.Clock(), Running: len(s.slots), Slots: s.config.Slots, Healthy: true})
		if len(s.reports) > maxReports {
			s.reports = s.reports[1:]
		}
		s.mutex.Unlock()
	}
}

// serveReport serves the health and load endpoints.
func (s *Standin) serveReport(w http.ResponseWriter, _ *http.Request) {
	current := report{Slots: s.config.Slots, Healthy: true}
	if !s.config.Mislead {
		current = s.reportAt(s.config.Clock().Add(-s.config.Lag))
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(current)
}

// reportAt returns the newest report that is not later than t, or that of an
// idle upstream if there is none.
func (s *Standin) reportAt(t time.Time) report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	latest := report{Slots: s.config.Slots, Healthy: true}
	for _, r := range s.reports {
		if r.at.After(t) {
			break
		}
		latest = r
	}
	return latest
}
