package feed

import (
	"errors"
	"sync"
	"time"
)

const (
	// staleAge is the age of the source's word at which a daemon looks for a
	// parent that hears the source better. It is more than an election takes, and
	// leaves time to have a change in force within two seconds that was accepted
	// when the parent was cut off.
	staleAge = 1500 * time.Millisecond
	// stalePenalty is how long a parent with old word is passed over.
	stalePenalty = 3 * time.Second
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// parentChoice decides which parent to pull from. It reads no clock and is safe
// for concurrent use. The zero value is ready.
type parentChoice struct {
	mutex    sync.Mutex
	failures map[string]failure
}

type failure struct {
	count int
	until time.Time
	stale bool // It answers, but hears little of the source.
}

// choose returns the best candidate that may be asked at now, or how long to
// wait until one may. If only stale ones are left, the first of them has to
// do.
//
// A candidate that could not be reached is not asked again while there is
// another one, since a host without power would hold the daemon up each time;
// it is returned as the one to probe meanwhile.
func (p *parentChoice) choose(now time.Time, candidates []string) (address string, wait time.Duration, probe string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	wait = maxBackoff
	stale := ""
	for _, a := range candidates {
		f, failed := p.failures[a]
		left := f.until.Sub(now)
		switch {
		case !failed, f.stale && left <= 0:
			return a, 0, probe
		case left <= 0:
			if probe == "" {
				probe = a
			}
		case f.stale && stale == "":
			stale = a
		case !f.stale:
			wait = min(wait, left)
		}
	}
	switch {
	case stale != "":
		return stale, 0, probe
	case probe != "":
		return probe, 0, ""
	}
	return "", wait, ""
}

// second returns the best candidate besides the parent: one without a failure,
// else one that hears little of the source, else any.
func (p *parentChoice) second(parent string, candidates []string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	stale, other := "", ""
	for _, a := range candidates {
		if a == parent {
			continue
		}
		switch f, failed := p.failures[a]; {
		case !failed:
			return a
		case f.stale && stale == "":
			stale = a
		case !f.stale && other == "":
			other = a
		}
	}
	if stale != "" {
		return stale
	}
	return other
}

// probing puts a candidate off while it is probed.
func (p *parentChoice) probing(now time.Time, address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f := p.failures[address]
	f.until = now.Add(maxBackoff)
	p.failures[address] = f
}

// result notes how a pull went. draw is a random number in [0, 1).
func (p *parentChoice) result(now time.Time, address string, err error, draw float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.failures == nil {
		p.failures = map[string]failure{}
	}
	if err == nil {
		delete(p.failures, address)
		return
	}
	f := p.failures[address]
	f.stale = errors.Is(err, errStale)
	if f.stale {
		f.until = now.Add(stalePenalty)
	} else {
		f.until = now.Add(backoff(f.count, draw))
		f.count++
	}
	p.failures[address] = f
}

// backoff returns a delay that grows with the attempts made, with full jitter:
// anything up to the bound is as likely, so that a herd does not come back at
// once.
func backoff(attempt int, draw float64) time.Duration {
	bound := min(minBackoff<<min(attempt, 10), maxBackoff)
	return time.Duration(draw * float64(bound))
}
