//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// clientDelay is the one-way delay between clients and machines at the site.
const clientDelay = 8 * time.Millisecond

// delayProxy forwards connections to an address with clientDelay in each direction. It
// returns its own address.
func delayProxy(d *deployment, target string) (string, error) {
	l, err := net.Listen("tcp", d.network+"200:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				out, err := net.Dial("tcp", target)
				if err != nil {
					in.Close()
					return
				}
				go delayCopy(out, in)
				delayCopy(in, out)
			}()
		}
	}()
	return l.Addr().String(), nil
}

// delayCopy copies from one connection to the other, each piece clientDelay later.
func delayCopy(to, from net.Conn) {
	type piece struct {
		due  time.Time
		data []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{time.Now().Add(clientDelay), b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	time.Sleep(clientDelay)
	to.Close()
	from.Close()
	for range pieces {
	}
}

// pipelined stops a sidecar daemon by SIGTERM while clients send a second safe request
// before the first has been answered. The answers are long.
func pipelined(s *scene) (string, error) {
	config := document(1, 15, []route{{host, "/lepu270/", safe, board, 3, 2}}, []string{board})
	if err := s.open([]string{board, board, board, board}, 30*time.Millisecond, config); err != nil {
		return "", err
	}
	for _, w := range s.workers {
		w.bodyBytes, w.pieces, w.pause = 256<<10, 16, 20*time.Millisecond
	}
	if err := s.awaitServed(host, "/lepu270/2f", 10*time.Second); err != nil {
		return "", err
	}
	target := s.d.sides[0]
	address, err := delayProxy(s.d, target.address(outboundPort))
	if err != nil {
		return "", err
	}
	time.Sleep(contact)
	start := time.Now()
	term := start.Add(time.Second)
	go func() {
		time.Sleep(time.Until(term))
		if s.trouble {
			s.d.signal(target, syscall.SIGTERM)
		}
	}()
	var group sync.WaitGroup
	var mutex sync.Mutex
	pairs, lost, first := 0, 0, ""
	for i := range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			// New work goes to the machine until two readiness checks have failed.
			for time.Since(start) < 2500*time.Millisecond {
				text := s.pair(address, 36*time.Millisecond)
				mutex.Lock()
				pairs++
				// The rule is about the time from the SIGTERM until 1 s after grace_s.
				if end := time.Since(term); text != "" && end > 0 && end < grace+time.Second {
					lost++
					if first == "" {
						first = text
					}
				}
				mutex.Unlock()
			}
		}()
	}
	group.Wait()
	s.rec.line("%d pairs, %d second requests lost", pairs, lost)
	if lost > 0 {
		return fmt.Sprintf("LOST: %d of %d second requests; first: %s", lost, pairs, first), nil
	}
	return "", nil
}

// pair sends a request and, gap later, a second one behind it if nothing of the first
// answer has come. It returns a text if a worker ran the second one and its connection
// ended without a complete answer to it.
func (s *scene) pair(address string, gap time.Duration) string {
	const deadline = 3 * time.Second
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	sent := time.Now()
	conn.SetDeadline(sent.Add(deadline))
	ids := []string{newID(), newID()}
	write := func(id string) {
		fmt.Fprintf(conn, "GET /lepu270/2f HTTP/1.1\r\nHost: %s\r\nX-Endivewalk-Attempt-Id: %s\r\nX-Endivewalk-Deadline-Ms: %s\r\n\r\n", host, id, strconv.FormatInt(deadline.Milliseconds(), 10))
		s.rec.line("client sends GET /lepu270/2f, attempt %s", id)
	}
	reader := bufio.NewReader(conn)
	arrived := make(chan error, 1)
	write(ids[0])
	go func() {
		_, err := reader.Peek(1)
		arrived <- err
	}()
	select {
	case <-arrived:
		return ""
	case <-time.After(gap):
	}
	write(ids[1])
	if err := <-arrived; err != nil {
		return ""
	}
	answered := [2]bool{}
	for i := range ids {
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			var n int64
			n, err = io.Copy(io.Discard, response.Body)
			s.rec.line("attempt %s: status %d, %d bytes, closes: %v, error %v", ids[i], response.StatusCode, n, response.Close, err)
			answered[i] = err == nil
		} else {
			s.rec.line("attempt %s: no answer: %v", ids[i], err)
		}
		if err != nil {
			break
		}
	}
	if answered[1] || time.Since(sent) > deadline-100*time.Millisecond {
		return ""
	}
	for _, w := range s.workers {
		if w.runsOf(ids[1]) > 0 {
			return fmt.Sprintf("attempt %s was passed on to worker %s; its connection ended without an answer %v after it was sent", ids[1], w.id, time.Since(sent).Round(time.Millisecond))
		}
	}
	return ""
}

// longAnswers asks for answers that take 24 s to send. Two of five workers are slow for
// 9 s meanwhile. The clients and the route allow 60 s.
func longAnswers(s *scene) (string, error) {
	const deadline = 60 * time.Second
	config := document(1, 15, []route{{host, "/lepu270/", safe, board, deadline.Seconds(), 2}}, []string{board})
	if err := s.open([]string{board, board, board, board, board}, 20*time.Millisecond, config); err != nil {
		return "", err
	}
	if err := s.awaitServed(host, "/lepu270/2f", 10*time.Second); err != nil {
		return "", err
	}
	time.Sleep(contact)
	for _, w := range s.workers {
		w.bodyBytes, w.pieces, w.pause = 240<<10, 120, 200*time.Millisecond
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	cut, first, failed := 0, "", error(nil)
	const perMachine = 5
	for i := range perMachine * len(s.d.sides) {
		group.Add(1)
		go func() {
			defer group.Done()
			text, err := s.longAnswer(s.d.sides[i%len(s.d.sides)].address(outboundPort), deadline)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				failed = err
			}
			if text != "" {
				cut++
				if first == "" {
					first = text
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		for _, w := range s.workers[:2] {
			w.mutex.Lock()
			w.slowFactor, w.slowUntil = 12, time.Now().Add(9*time.Second)
			w.mutex.Unlock()
			s.rec.line("worker %s is 12 times slower for 9 s", w.id)
		}
	}
	group.Wait()
	if cut > 3 {
		return fmt.Sprintf("LOST: %d of %d requests that were passed on to sound workers; first: %s", cut, perMachine*len(s.d.sides), first), nil
	}
	return "", failed
}

// longAnswer sends two requests on one connection, the second after the answer to a
// first one that no worker runs. It returns a text if the connection ends without the
// whole second answer before the deadline.
func (s *scene) longAnswer(address string, deadline time.Duration) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var sent time.Time
	for _, path := range []string{"/none/", "/lepu270/2f"} {
		id := newID()
		sent = time.Now()
		conn.SetDeadline(sent.Add(deadline))
		s.rec.line("client sends GET %s, attempt %s", path, id)
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Endivewalk-Attempt-Id: %s\r\nX-Endivewalk-Deadline-Ms: %d\r\n\r\n", path, host, id, deadline.Milliseconds())
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return "", err
		}
		n, err := io.Copy(io.Discard, response.Body)
		s.rec.line("attempt %s: status %d, %d bytes of %d, error %v", id, response.StatusCode, n, response.ContentLength, err)
		if path != "/none/" && err != nil {
			return fmt.Sprintf("the answer to attempt %s ended after %d of %d bytes, %v after the request; the deadline was %v", id, n, response.ContentLength, time.Since(sent).Round(time.Millisecond), deadline), nil
		}
	}
	return "", nil
}
