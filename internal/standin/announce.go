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

// renewals is how many times in each lease the upstream renews it.
const renewals = 4

// runAnnounce keeps the lease with the daemon.
func (s *Standin) runAnnounce() {
	defer s.duties.Done()
	for {
		s.mutex.Lock()
		drained := s.drained
		s.mutex.Unlock()
		if !drained {
			s.request(http.MethodPost, "/v1/upstreams", upstream.Announcement{
				ID: s.config.ID, Service: s.config.Service, Version: s.config.Version, Address: s.address,
				Slots: s.config.Slots, Connections: s.config.Connections, Lease: config.Duration(s.config.Lease),
			})
		}
		if !s.pause(s.config.Lease / renewals) {
			return
		}
	}
}

func (s *Standin) pause(d time.Duration) bool { return wait.For(d, s.stop) }

// request asks something of the daemon. A failure is not told: the next
// renewal tries again.
func (s *Standin) request(method, path string, body any) {
	if s.config.Daemon == "" {
		return
	}
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, "http://"+s.config.Daemon+path, bytes.NewReader(data))
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err == nil {
		response.Body.Close()
	}
}

const (
	reportPause = 50 * time.Millisecond
	reportsKept = 400
)

// runReports remembers the load, so that reports can lag.
func (s *Standin) runReports() {
	defer s.duties.Done()
	for s.pause(reportPause) {
		s.mutex.Lock()
		s.history = append(s.history, report{at: s.config.Clock(), Running: len(s.slots), Slots: s.config.Slots, Healthy: true})
		if len(s.history) > reportsKept {
			s.history = s.history[1:]
		}
		s.mutex.Unlock()
	}
}

// serveReport answers the health and load endpoints.
func (s *Standin) serveReport(w http.ResponseWriter, _ *http.Request) {
	told := report{Slots: s.config.Slots, Healthy: true}
	if !s.config.Mislead {
		told = s.reportAt(s.config.Clock().Add(-s.config.Lag))
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(told)
}

// reportAt returns the newest report from before t.
func (s *Standin) reportAt(t time.Time) report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := report{Slots: s.config.Slots, Healthy: true}
	for _, r := range s.history {
		if r.at.After(t) {
			break
		}
		found = r
	}
	return found
}
