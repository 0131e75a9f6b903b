//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host   = "jepu9.example"
	board  = "huvo11a"
	desk   = "wuno96b"
	safe   = "safe"
	unsafe = "unsafe"
)

// olderPlan changes the configuration right after all processes of the core were killed
// and started again: first changes that drop a route, then changes that drop a service.
func olderPlan(s *scene) (string, error) {
	route, err := sideBySide(s, dropRoutes)
	if err != nil {
		return "", err
	}
	if route != "" {
		s.rec.line("first part: BROKEN: %s", route)
	}
	for _, child := range s.children {
		child.d.stop(false)
	}
	s.children = nil
	s.over.Store(false)
	service, err := sideBySide(s, dropServices)
	if route != "" && service != "" {
		return route + "; and " + service, nil
	}
	return route + service, err
}

// sideBySide plays rounds in eight deployments side by side, until one breaks the rule.
func sideBySide(s *scene, play func(parent, s *scene) (string, error)) (string, error) {
	type result struct {
		broken string
		err    error
	}
	folder, err := os.MkdirTemp("", "endivewalk-review-disk-")
	if err != nil {
		return "", err
	}
	defer os.RemoveAll(folder)
	stop, err := slowDisk(s.rec, folder)
	defer stop()
	if err != nil {
		return "", err
	}
	const count = 8
	results := make(chan result, count)
	for range count {
		child := &scene{rec: s.rec, root: s.root, trouble: s.trouble}
		s.children = append(s.children, child)
		go func() {
			broken, err := play(s, child)
			results <- result{broken, err}
		}()
	}
	var all result
	for range count {
		r := <-results
		if r.broken != "" {
			all.broken = r.broken
		}
		if r.err != nil {
			all.err = r.err
		}
		if r.broken != "" || r.err != nil {
			s.over.Store(true)
		}
	}
	if all.broken != "" {
		return all.broken, nil
	}
	return "", all.err
}

// dropRoutes adds a route, kills all processes of the core, starts them again and
// changes the configuration at once: the change drops the route. Two operators and their
// tools have eight orders under way. After contact_s without a disturbance the route is
// asked.
func dropRoutes(parent, s *scene) (string, error) {
	services := []string{board, board}
	base := route{host, "/lepu270/", safe, board, 1.5, 2}
	version := uint32(1)
	if err := s.open(services, 5*time.Millisecond, document(version, 15, []route{base}, []string{board})); err != nil {
		return "", err
	}
	if err := s.awaitServed(host, "/lepu270/2f", 10*time.Second); err != nil {
		return "", err
	}
	rounds := 0
	for time.Since(s.rec.start) < 32*time.Second && !parent.over.Load() {
		rounds++
		begin := time.Now()
		extra := route{host, fmt.Sprintf("/added%d/", rounds), safe, board, 1.5, 2}
		next := version + 1
		if status := s.d.put(document(next, 15, []route{base, extra}, []string{board}), version, 0, 5*time.Second); status != 200 {
			return "", fmt.Errorf("adding a route got status %d", status)
		}
		version = next
		if err := s.awaitServed(host, extra.prefix+"2f", 5*time.Second); err != nil {
			return "", err
		}
		if s.trouble {
			if err := s.restartCore(500 * time.Millisecond); err != nil {
				return "", err
			}
			time.Sleep(150 * time.Millisecond)
		}
		restarted := time.Now()
		// Two orders on the same version, which both drop the route that was added.
		won := s.race(version, func(v uint32, i int) []byte {
			return document(v, 15+float64(i), []route{base}, []string{board})
		})
		if won == 0 {
			return "", fmt.Errorf("no order was acknowledged in round %d", rounds)
		}
		version = won
		s.rec.line("%s: version %08x, without %s, is acknowledged", s.d.network, won, extra.prefix)
		// All machines are in touch contact_s after the core is back.
		time.Sleep(max(configApply, time.Until(restarted.Add(contact))) + 300*time.Millisecond)
		for _, m := range s.d.sides {
			id := newID()
			request(s.rec, m, http.MethodGet, host, extra.prefix+"2f", id, 1500*time.Millisecond, nil)
			for _, w := range s.workers {
				if w.runsOf(id) > 0 {
					read, ok := s.d.readVersion(2 * time.Second)
					s.rec.line("%s: a read of the configuration shows version %08x, %v", s.d.network, read, ok)
					return fmt.Sprintf("CONFIG: round %d: version %08x without the route %s was acknowledged; worker %s ran a request on it that was sent to %s over %v later",
						rounds, won, extra.prefix, w.id, m.name, configApply), nil
				}
			}
		}
		// Once all of the core was lost, the next loss comes recover_s later at the earliest.
		for time.Since(begin) < recoverTime && !parent.over.Load() {
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.rec.line("%s: %d rounds", s.d.network, rounds)
	return "", nil
}

// restartCore kills all processes of the core and starts them again after pause.
func (s *scene) restartCore(pause time.Duration) error {
	for _, m := range s.d.cores {
		s.d.signal(m, syscall.SIGKILL)
	}
	for _, m := range s.d.cores {
		<-m.exited
	}
	time.Sleep(pause)
	for _, m := range s.d.cores {
		if err := s.d.start(m, false); err != nil {
			return err
		}
	}
	return nil
}

// race sends two configurations on the same base at once, as two operators do. It returns the version of
// the one that was acknowledged, or 0.
func (s *scene) race(base uint32, make func(version uint32, i int) []byte) uint32 {
	var group sync.WaitGroup
	var mutex sync.Mutex
	won := uint32(0)
	for i := range 2 {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			v := base + 1 + uint32(i)
			if s.d.put(make(v, i), base, i, 4*time.Second) == http.StatusOK {
				mutex.Lock()
				won = v
				mutex.Unlock()
			}
		}()
	}
	group.Wait()
	return won
}

// replayedPost sends unsafe requests without a body that carry X-Idempotency-Key to a
// service whose workers break off part of their answers.
func replayedPost(s *scene) (string, error) {
	services := []string{board, desk}
	config := document(1, 15, []route{{host, "/lepu270/", safe, board, 1.5, 2}, {host, "/xapu221/ny95/", unsafe, desk, 2, 2}}, []string{board, desk})
	if err := s.open(services, 20*time.Millisecond, config); err != nil {
		return "", err
	}
	if err := s.awaitServed(host, "/lepu270/2f", 10*time.Second); err != nil {
		return "", err
	}
	if s.trouble {
		n := 0
		s.workers[1].truncate = func(r *http.Request) bool {
			if !strings.HasPrefix(r.URL.Path, "/xapu221/") {
				return false
			}
			n++
			return n%50 == 0 // x = .02
		}
	}
	// The trouble lasts 5 s.
	var group sync.WaitGroup
	var mutex sync.Mutex
	sent, twice, first := 0, 0, ""
	start := time.Now()
	for range 4 {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Since(start) < 5*time.Second {
				id := newID()
				request(s.rec, s.d.sides[0], http.MethodPost, host, "/xapu221/ny95/2f", id, 2*time.Second, map[string]string{"X-Idempotency-Key": "booking-" + id})
				n := s.workers[1].runsOf(id)
				mutex.Lock()
				sent++
				if n > 1 {
					twice++
					if first == "" {
						first = fmt.Sprintf("attempt %s ran %d times", id, n)
					}
				}
				mutex.Unlock()
			}
		}()
	}
	group.Wait()
	s.rec.line("%d unsafe attempts, %d ran more than once", sent, twice)
	if twice > 0 {
		return fmt.Sprintf("TWICE: %d of %d unsafe attempts ran more than once; first: %s", twice, sent, first), nil
	}
	return "", nil
}

// lateBeat lets a worker leave; its daemon acknowledges that and is killed right after,
// and a heartbeat that the worker sent before arrives late.
func lateBeat(s *scene) (string, error) {
	// With the core these are ten machines, of which one is killed.
	services := []string{board, board, board, board, board, board, board}
	config := document(1, 15, []route{{host, "/lepu270/", safe, board, 1.5, 2}}, []string{board})
	if err := s.open(services, 50*time.Millisecond, config); err != nil {
		return "", err
	}
	if err := s.awaitServed(host, "/lepu270/2f", 10*time.Second); err != nil {
		return "", err
	}
	time.Sleep(contact)
	leaving := s.workers[3]
	close(leaving.stop) // It sends no heartbeats beside its leave.
	late := leaving.beatBody()
	if !leaving.post("/api/instances/"+leaving.id+"/leave", fmt.Appendf(nil, `{"born":%d}`, leaving.born)) {
		return "", fmt.Errorf("the leave got no acknowledgement")
	}
	acknowledged := time.Now()
	s.rec.line("the leave of %s is acknowledged by %s", leaving.id, leaving.machine.name)
	if s.trouble {
		time.Sleep(100 * time.Millisecond)
		s.d.kill(leaving.machine)
		time.Sleep(300 * time.Millisecond)
		if err := s.d.start(leaving.machine, false); err != nil {
			return "", err
		}
	}
	restarted := time.Now()
	time.Sleep(time.Until(acknowledged.Add(1500 * time.Millisecond)))
	ok := leaving.post(leaving.heartbeatPath(), late)
	s.rec.line("the heartbeat that %s sent before its leave arrives %v late; acknowledged: %v", leaving.id, time.Since(acknowledged).Round(time.Millisecond), ok)
	// From contact_s after the restart the daemon is in touch.
	time.Sleep(time.Until(restarted.Add(contact + 200*time.Millisecond)))
	var group sync.WaitGroup
	for range 12 {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Since(acknowledged) < 7*time.Second {
				request(s.rec, s.d.sides[0], http.MethodGet, host, "/lepu270/2f", newID(), 1500*time.Millisecond, nil)
			}
		}()
	}
	group.Wait()
	leaving.mutex.Lock()
	defer leaving.mutex.Unlock()
	count := 0
	for _, r := range leaving.runs {
		if r.at.After(restarted.Add(contact)) {
			count++
		}
	}
	if count > 0 {
		return fmt.Sprintf("DRAIN: worker %s, whose leave was acknowledged, got %d requests later than %v after that", leaving.id, count, drain), nil
	}
	return "", nil
}

// dropServices moves a route to a second service, kills all processes of the core, starts
// them again and changes the configuration at once: the change moves the route back and
// drops the second service. Then the configuration is read.
func dropServices(parent, s *scene) (string, error) {
	both := []string{board, desk}
	make := func(version uint32, idle float64, service string, services []string) []byte {
		return document(version, idle, []route{{host, "/lepu270/", safe, board, 1.5, 2}, {host, "/stock/", safe, service, 1.5, 2}}, services)
	}
	version := uint32(1)
	if err := s.open(both, 5*time.Millisecond, make(version, 15, board, both)); err != nil {
		return "", err
	}
	// A busy day: hundreds of changes, so that the replicas have written a snapshot.
	for version < 530 {
		if status := s.d.put(make(version+1, 15+float64(version%2), board, both), version, 0, 5*time.Second); status != http.StatusOK {
			return "", fmt.Errorf("version %d got status %d", version+1, status)
		}
		version++
	}
	for time.Since(s.rec.start) < 80*time.Second && !parent.over.Load() {
		begin := time.Now()
		if status := s.d.put(make(version+1, 15, desk, both), version, 0, 5*time.Second); status != http.StatusOK {
			return "", fmt.Errorf("moving a route got status %d", status)
		}
		version++
		time.Sleep(500 * time.Millisecond)
		if s.trouble {
			if err := s.restartCore(500 * time.Millisecond); err != nil {
				return "", err
			}
			time.Sleep(150 * time.Millisecond)
		}
		won := s.race(version, func(v uint32, i int) []byte { return make(v, 15+float64(i), board, []string{board}) })
		if won > 0 {
			version = won
			s.rec.line("%s: version %08x is acknowledged", s.d.network, won)
		}
		time.Sleep(2 * time.Second)
		if read, ok := s.d.readVersion(time.Second); ok && read >= version {
			version = read
		} else if text := s.awaitRecovery(version); text != "" {
			return text, nil
		}
		for time.Since(begin) < recoverTime && !parent.over.Load() {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return "", nil
}

// awaitRecovery starts processes of the core that have ended by themselves again, as the
// platform does, and reads the configuration, for recoverTime and contact after it. It
// returns a text if no read shows version or a newer one.
func (s *scene) awaitRecovery(version uint32) string {
	ends := 0
	for start := time.Now(); time.Since(start) < recoverTime+contact; {
		for _, m := range s.d.cores {
			select {
			case <-m.exited:
				ends++
				s.rec.line("process %s has ended by itself: %v", m.name, m.command.ProcessState)
				time.Sleep(200 * time.Millisecond)
				if s.d.start(m, false) != nil {
					return ""
				}
			default:
			}
		}
		if read, ok := s.d.readVersion(300 * time.Millisecond); ok && read >= version {
			return ""
		}
	}
	return fmt.Sprintf("CONFIG: version %08x was acknowledged; no configuration can be read %v after the core is back; processes of the core ended by themselves %d times", version, recoverTime, ends)
}
