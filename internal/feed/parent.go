package feed

import (
	"errors"
	"sync"
	"time"
)

const (
	// staleAge is the age of a parent's last contact with the source's leader from
	// which on a daemon looks for another parent. It is longer than an election
	// takes. It is short enough that a change accepted when the parent was cut off
	// is still in force within two seconds, the default of the setting
	// terms.bounds.config_apply_s.
	staleAge = 1500 * time.Millisecond
	// staleRetryDelay is how long a stale parent is used only if there is no better
	// one.
	staleRetryDelay = 3 * time.Second
	// The backoff of an unreachable parent grows from minBackoff to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// parentChoice decides which parent to pull from, by the results of earlier calls.
// It reads no clock. It is safe for concurrent use. The zero value is ready to
// use.
type parentChoice struct {
	mutex    sync.Mutex
	failures map[string]failure // By address; none for a parent whose last call succeeded.
}

// failure describes a candidate whose last call failed or that is stale.
type failure struct {
	count   int       // Failed attempts since the last success.
	retryAt time.Time // Until then, it is not used if unreachable, and if stale only without a better one.
	stale   bool      // It replies, but its last contact with the source's leader is older than staleAge.
}

// choose returns the address of the best candidate to pull from now, or how long
// to wait until there is one. Either address is set and wait is 0, or address is
// empty and wait is positive; probe may be set only together with address.
// candidates are in order of preference. choose takes the first one that has no
// failure, or is stale but not within staleRetryDelay. If there is none, it takes a
// stale one, and only then an unreachable one whose backoff has passed.
//
// An unreachable candidate is not pulled from while there is another one, since
// each attempt to reach a host without power would delay the daemon. Once its
// backoff has passed, it is returned as probe: the caller should probe it in the
// background.
func (p *parentChoice) choose(now time.Time, candidates []string) (address string, wait time.Duration, probe string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	wait = maxBackoff
	stale := ""
	for _, a := range candidates {
		f, failed := p.failures[a]
		remaining := f.retryAt.Sub(now)
		switch {
		case !failed, f.stale && remaining <= 0:
			return a, 0, probe
		case remaining <= 0:
			if probe == "" {
				probe = a
			}
		case f.stale && stale == "":
			stale = a
		case !f.stale:
			wait = min(wait, remaining)
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

// second returns the best candidate other than the parent: one without a failure,
// else a stale one, else an unreachable one. It returns "" if there is no other.
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

// deferForProbe keeps a candidate from being chosen or probed again for
// maxBackoff, while it is probed. The candidate must have a failure.
func (p *parentChoice) deferForProbe(now time.Time, address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f := p.failures[address]
	f.retryAt = now.Add(maxBackoff)
	p.failures[address] = f
}

// recordResult records the result of a call to a candidate. An err that matches
// errStale means that it is stale, any other that it is unreachable. random is a
// random number in [0, 1), for jitter.
func (p *parentChoice) recordResult(now time.Time, address string, err error, random float64) {
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
		f.retryAt = now.Add(staleRetryDelay)
	} else {
		f.retryAt = now.Add(backoff(f.count, random))
		f.count++
	}
	p.failures[address] = f
}

// backoff returns an exponential delay with full jitter: a random fraction of a
// bound that doubles with each attempt up to maxBackoff. Jitter avoids a
// thundering herd. random is a random number in [0, 1).
func backoff(attempt int, random float64) time.Duration {
	bound := min(minBackoff<<min(attempt, 10), maxBackoff)
	return time.Duration(random * float64(bound))
}
