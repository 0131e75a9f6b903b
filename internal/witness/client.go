package witness

import (
	"sync"
	"time"

	"github.com/endivewalk/endivewalk/internal/wait"
	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	callTimeout = 500 * time.Millisecond
	// refreshInterval is how often an unchanged minimum revision is recorded
	// again, so that witnesses that have restarted get it back.
	refreshInterval = 2 * time.Second
	// retryDelay is the pause after a failed call to a witness.
	retryDelay = 500 * time.Millisecond
)

// Config describes a Client. All fields are required. Without Witnesses, Confirm
// never returns true.
type Config struct {
	Host      string   // The daemon whose minimum revision is recorded.
	Witnesses []string // Addresses of the witnesses.
	// Call calls an RPC method of the process at an address. It must be safe for
	// concurrent use. After an error it may still write to reply.
	Call func(address, method string, args, reply any, timeout time.Duration) error
}

// Client records a daemon's minimum revision with its witnesses and reads it
// back after a restart. It is safe for concurrent use. Create one with NewClient
// and call Run once for each witness.
type Client struct {
	config   Config
	mutex    sync.Mutex
	target   config.Revision   // The revision that all witnesses should record.
	recorded []config.Revision // The revision that each witness has recorded, by its index.
	wake     chan struct{}     // Closed and replaced when target or recorded changes.
}

// NewClient returns a client that has nothing to record yet.
func NewClient(c Config) *Client {
	return &Client{config: c, recorded: make([]config.Revision, len(c.Witnesses)), wake: make(chan struct{})}
}

// Witnesses returns the addresses of the witnesses. The caller must not modify
// the slice.
func (c *Client) Witnesses() []string { return c.config.Witnesses }

func (c *Client) majority() int { return len(c.config.Witnesses)/2 + 1 }

// Confirm has the witnesses record r, which is about to be in force, and
// returns true once a majority of them has. It returns false after timeout or
// when stop is closed; Run still records r with each witness as soon as it can
// be reached. Run must be active for the witnesses.
func (c *Client) Confirm(r config.Revision, timeout time.Duration, stop <-chan struct{}) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	c.setTarget(r)
	for {
		ok, wake := c.isRecorded(r)
		if ok {
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

// setTarget raises the revision to record to r. It never lowers it.
func (c *Client) setTarget(r config.Revision) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r > c.target {
		c.target = r
		c.notify()
	}
}

// notify wakes all goroutines that wait for a change. The caller must hold
// c.mutex.
func (c *Client) notify() {
	close(c.wake)
	c.wake = make(chan struct{})
}

// isRecorded reports whether a majority of the witnesses has recorded r or a
// newer revision. The channel is closed at the next change.
func (c *Client) isRecorded(r config.Revision) (bool, <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, n := range c.recorded {
		if n >= r {
			count++
		}
	}
	return count >= c.majority(), c.wake
}

// Run keeps the witness at index of Config.Witnesses up to date until stop is
// closed. Call it once for each index.
func (c *Client) Run(index int, stop <-chan struct{}) {
	instance := uint64(0)
	refresh := time.NewTimer(refreshInterval)
	defer refresh.Stop()
	due := false
	for {
		target, recorded, wake := c.progress(index)
		if target > recorded || (target > 0 && due) {
			current, taken, err := c.record(index, instance, target)
			switch {
			case err != nil:
				if !wait.For(retryDelay, stop) {
					return
				}
			case !taken:
				instance = current // The witness has restarted or was not called before.
				c.setRecorded(index, 0)
			default:
				c.setRecorded(index, target)
				due = false
				refresh.Reset(refreshInterval)
			}
			continue // The target may have changed during the call.
		}
		select {
		case <-stop:
			return
		case <-wake:
		case <-refresh.C:
			due = true
			refresh.Reset(refreshInterval)
		}
	}
}

// progress returns the revision to record and the one that the witness at index
// has recorded. The channel is closed at the next change.
func (c *Client) progress(index int) (target, recorded config.Revision, wake <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.target, c.recorded[index], c.wake
}

// record asks the witness at index to record r. If it runs as another instance
// than the given one, taken is false and current is its instance.
func (c *Client) record(index int, instance uint64, r config.Revision) (current uint64, taken bool, err error) {
	var reply NoteReply
	args := NoteArgs{Host: c.config.Host, Instance: instance, Revision: r}
	if err = c.config.Call(c.config.Witnesses[index], "Floor.Note", args, &reply, callTimeout); err != nil {
		return 0, false, err
	}
	return reply.Instance, reply.Taken, nil
}

func (c *Client) setRecorded(index int, r config.Revision) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.recorded[index] != r {
		c.recorded[index] = r
		c.notify()
	}
}

// Ask asks all witnesses for the minimum revision and returns the highest that
// any of them has recorded. It returns true only if a majority has recorded one:
// any two majorities share a witness, so that a revision that a majority has
// recorded is among the replies. It waits for the replies of all witnesses, at
// most callTimeout.
func (c *Client) Ask() (config.Revision, bool) {
	replies := make(chan AskReply, len(c.config.Witnesses))
	for _, address := range c.config.Witnesses {
		go func() {
			var reply AskReply
			if c.config.Call(address, "Floor.Ask", AskArgs{Host: c.config.Host}, &reply, callTimeout) != nil {
				replies <- AskReply{} // A late response may still be written to reply.
				return
			}
			replies <- reply
		}()
	}
	revision, known := config.Revision(0), 0
	for range c.config.Witnesses {
		if r := <-replies; r.Known {
			revision = max(revision, r.Revision)
			known++
		}
	}
	return revision, len(c.config.Witnesses) > 0 && known >= c.majority()
}
