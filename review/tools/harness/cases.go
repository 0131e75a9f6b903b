//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host   = "jepu9.example"
	board  = "huvo11a"
	desk   = "wuno96b"
	safe   = "safe"
	unsafe = "unsafe"
)

// droppedRoute plays rounds of dropRoutes in five deployments side by side.
func droppedRoute(s *scene) (string, error) {
	type result struct {
		broken string
		err    error
	}
	const count = 5
	results := make(chan result, count)
	for range count {
		child := &scene{rec: s.rec, root: s.root, trouble: s.trouble}
		s.children = append(s.children, child)
		go func() {
			broken, err := dropRoutes(s, child)
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
		s.over.Store(true)
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
	s.d.limitCores()
	rounds := 0
	for time.Since(s.rec.start) < 95*time.Second && !parent.over.Load() {
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
			time.Sleep(100 * time.Millisecond)
		}
		restarted := time.Now()
		// Eight orders on the same version, which all drop the route that was added.
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
		s.d.kill(m)
	}
	time.Sleep(pause)
	for _, m := range s.d.cores {
		if err := s.d.start(m, false); err != nil {
			return err
		}
	}
	s.d.limitCores()
	return nil
}

// race sends eight configurations on the same base at once. It returns the version of
// the one that was acknowledged, or 0.
func (s *scene) race(base uint32, make func(version uint32, i int) []byte) uint32 {
	var group sync.WaitGroup
	var mutex sync.Mutex
	won := uint32(0)
	for i := range 8 {
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
	services := []string{board, board, board, board}
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
	if !leaving.post("/api/instances/"+leaving.id+"/leave", nil) {
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
