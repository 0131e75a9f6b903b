package source

import (
	"sync"
)

// confirmations lets concurrent callers share a quorum-confirmed read.
//
// It is for the herd of daemons that ask for the newest revision when they start, after
// a power loss of all hosts: without it, the leader confirms one read for each daemon,
// on a small part of a core. A read may only serve callers that asked before it began,
// since it must confirm what was accepted until then; those that come while one is in
// progress share the next one. The zero value is ready for use. It is safe for
// concurrent use.
type confirmations struct {
	mutex   sync.Mutex
	reading bool
	waiting []chan<- readResult
}

// do returns the result of a call of read that began after the call of do.
func (c *confirmations) do(read func() (confirmedRead, error)) (confirmedRead, error) {
	result := make(chan readResult, 1)
	c.mutex.Lock()
	c.waiting = append(c.waiting, result)
	lead := !c.reading
	c.reading = true
	c.mutex.Unlock()
	if lead {
		go c.run(read)
	}
	r := <-result
	return r.confirmedRead, r.err
}

// run reads until nobody waits.
func (c *confirmations) run(read func() (confirmedRead, error)) {
	for {
		c.mutex.Lock()
		waiting := c.waiting
		c.waiting = nil
		if len(waiting) == 0 {
			c.reading = false
			c.mutex.Unlock()
			return
		}
		c.mutex.Unlock()
		confirmed, err := read()
		for _, w := range waiting {
			w <- readResult{confirmedRead: confirmed, err: err}
		}
	}
}
