package floor

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/wait"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	callTimeout = 500 * time.Millisecond
	// refreshEvery is how often a floor that has not changed is noted again,
	// for keepers that have restarted.
	refreshEvery = 2 * time.Second
	// retryPause is how long a keeper that did not answer is left alone.
	retryPause = 500 * time.Millisecond
)

// Config describes a Prover. All fields are required; without Keepers nothing
// can be proved.
type Config struct {
	Host    string
	Keepers []string // Their addresses.
	// Call calls a method of the process at an address.
	Call func(address, method string, args, reply any, timeout time.Duration) error
}

// Prover is a daemon's side towards its keepers. It is safe for concurrent use.
// Make one with NewProver, and run Run for each keeper.
type Prover struct {
	config Config
	mutex  sync.Mutex
	wanted config.Revision
	noted  []config.Revision // By keeper.
	wake   chan struct{}     // Closed when something changes.
}

// NewProver returns a prover that has noted nothing.
func NewProver(c Config) *Prover {
	return &Prover{config: c, noted: make([]config.Revision, len(c.Keepers)), wake: make(chan struct{})}
}

// Keepers returns the addresses of the keepers.
func (p *Prover) Keepers() []string { return p.config.Keepers }

func (p *Prover) majority() int { return len(p.config.Keepers)/2 + 1 }

// Prove has the keepers note that r is about to be in force, and returns true
// once most of them have. It returns false when wait is over or stop is
// closed; the keepers are told all the same, as soon as they can be reached.
func (p *Prover) Prove(r config.Revision, wait time.Duration, stop <-chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	p.want(r)
	for {
		proved, wake := p.proved(r)
		if proved {
			return true
		}
		select {
		case <-wake:
		case <-timer.C:
			return false
		case <-stop:
			return false
		}
	}
}

func (p *Prover) want(r config.Revision) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if r > p.wanted {
		p.wanted = r
		p.notify()
	}
}

// notify wakes everyone who waits. The caller holds the lock.
func (p *Prover) notify() {
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *Prover) proved(r config.Revision) (bool, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, n := range p.noted {
		if n >= r {
			count++
		}
	}
	return count >= p.majority(), p.wake
}

// Run keeps one keeper informed until stop is closed.
func (p *Prover) Run(keeper int, stop <-chan struct{}) {
	instance := uint64(0)
	refresh := time.NewTimer(refreshEvery)
	defer refresh.Stop()
	due := false
	for {
		wanted, noted, wake := p.state(keeper)
		if wanted > noted || (wanted > 0 && due) {
			now, taken, err := p.note(keeper, instance, wanted)
			switch {
			case err != nil:
				if !wait.For(retryPause, stop) {
					return
				}
			case !taken:
				instance = now // It has begun another life.
				p.setNoted(keeper, 0)
			default:
				p.setNoted(keeper, wanted)
				due = false
				refresh.Reset(refreshEvery)
			}
			continue // Perhaps there is something newer by now.
		}
		select {
		case <-stop:
			return
		case <-wake:
		case <-refresh.C:
			due = true
			refresh.Reset(refreshEvery)
		}
	}
}

func (p *Prover) state(keeper int) (wanted, noted config.Revision, wake <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.wanted, p.noted[keeper], p.wake
}

func (p *Prover) note(keeper int, instance uint64, r config.Revision) (now uint64, taken bool, err error) {
	var reply NoteReply
	args := NoteArgs{Host: p.config.Host, Instance: instance, Revision: r}
	err = p.config.Call(p.config.Keepers[keeper], "Floor.Note", args, &reply, callTimeout)
	return reply.Instance, reply.Taken, err
}

func (p *Prover) setNoted(keeper int, r config.Revision) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.noted[keeper] != r {
		p.noted[keeper] = r
		p.notify()
	}
}

// Ask returns the floor that the keepers remember, and whether most of them
// know one. Each floor that was proved is known to one of any majority.
func (p *Prover) Ask() (config.Revision, bool) {
	replies := make(chan AskReply, len(p.config.Keepers))
	for _, address := range p.config.Keepers {
		go func() {
			var reply AskReply
			err := p.config.Call(address, "Floor.Ask", AskArgs{Host: p.config.Host}, &reply, callTimeout)
			reply.Known = reply.Known && err == nil
			replies <- reply
		}()
	}
	floor, known := config.Revision(0), 0
	for range p.config.Keepers {
		if r := <-replies; r.Known {
			floor = max(floor, r.Revision)
			known++
		}
	}
	return floor, len(p.config.Keepers) > 0 && known >= p.majority()
}
