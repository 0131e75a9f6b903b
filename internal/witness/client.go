package witness

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

// Config describes a Client. All fields are required; without Witnesses nothing
// can be proved.
type Config struct {
	Host      string
	Witnesses []string // Their addresses.
	// Call calls a method of the process at an address.
	Call func(address, method string, args, reply any, timeout time.Duration) error
}

// Client is a daemon's side towards its keepers. It is safe for concurrent use.
// Make one with NewClient, and run Run for each keeper.
type Client struct {
	config Config
	mutex  sync.Mutex
	wanted config.Revision
	noted  []config.Revision // By keeper.
	wake   chan struct{}     // Closed when something changes.
}

// NewClient returns a client that has noted nothing.
func NewClient(c Config) *Client {
	return &Client{config: c, noted: make([]config.Revision, len(c.Witnesses)), wake: make(chan struct{})}
}

// Witnesses returns the addresses of the keepers.
func (p *Client) Witnesses() []string { return p.config.Witnesses }

func (p *Client) majority() int { return len(p.config.Witnesses)/2 + 1 }

// Confirm has the keepers note that r is about to be in force, and returns true
// once most of them have. It returns false when wait is over or stop is
// closed; the keepers are told all the same, as soon as they can be reached.
func (p *Client) Confirm(r config.Revision, wait time.Duration, stop <-chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	p.want(r)
	for {
		proved, wake := p.confirmed(r)
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

func (p *Client) want(r config.Revision) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if r > p.wanted {
		p.wanted = r
		p.notify()
	}
}

// notify wakes everyone who waits. The caller holds the lock.
func (p *Client) notify() {
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *Client) confirmed(r config.Revision) (bool, <-chan struct{}) {
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
func (p *Client) Run(keeper int, stop <-chan struct{}) {
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

func (p *Client) state(keeper int) (wanted, noted config.Revision, wake <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.wanted, p.noted[keeper], p.wake
}

func (p *Client) note(keeper int, instance uint64, r config.Revision) (now uint64, taken bool, err error) {
	var reply NoteReply
	args := NoteArgs{Host: p.config.Host, Instance: instance, Revision: r}
	err = p.config.Call(p.config.Witnesses[keeper], "Floor.Note", args, &reply, callTimeout)
	return reply.Instance, reply.Taken, err
}

func (p *Client) setNoted(keeper int, r config.Revision) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.noted[keeper] != r {
		p.noted[keeper] = r
		p.notify()
	}
}

// Ask returns the floor that the keepers remember, and whether most of them
// know one. Each floor that was proved is known to one of any majority.
func (p *Client) Ask() (config.Revision, bool) {
	replies := make(chan AskReply, len(p.config.Witnesses))
	for _, address := range p.config.Witnesses {
		go func() {
			var reply AskReply
			err := p.config.Call(address, "Floor.Ask", AskArgs{Host: p.config.Host}, &reply, callTimeout)
			reply.Known = reply.Known && err == nil
			replies <- reply
		}()
	}
	floor, known := config.Revision(0), 0
	for range p.config.Witnesses {
		if r := <-replies; r.Known {
			floor = max(floor, r.Revision)
			known++
		}
	}
	return floor, len(p.config.Witnesses) > 0 && known >= p.majority()
}
