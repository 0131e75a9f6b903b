package logs

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Class is a class of log lines that share a rate limit. It is also the key for dropped
// lines of the class in the log.
type Class string

// The classes of lines about calls.
const (
	ClassRefusal Class = "refusal" // A call that got no response from an upstream.
	ClassRetry   Class = "retry"   // A call that was retried at another upstream.
	ClassUnsafe  Class = "unsafe"  // A response to a call that must not be retried.
	ClassAnswer  Class = "answer"  // Any other response.
)

// maxLinesPerSecond is the rate limit of each class. Calls without a response
// from an upstream get the most lines, ordinary responses the fewest.
var maxLinesPerSecond = map[Class]int{ClassRefusal: 100, ClassRetry: 50, ClassUnsafe: 50, ClassAnswer: 10}

// Limiter limits how many lines of each class are written per second. It reads no clock;
// the caller passes the time. The zero value is ready to use. It is not safe for
// concurrent use.
type Limiter struct {
	window  time.Time     // Start of the current second.
	used    map[Class]int // Lines in the current second.
	dropped map[Class]int // Lines since the last call of Dropped.
}

// Take counts a line and reports whether it may be written at now. A line that may not
// is counted as dropped.
func (b *Limiter) Take(now time.Time, c Class) bool {
	if b.used == nil || now.Sub(b.window) >= time.Second || now.Before(b.window) {
		b.window = now
		b.used = map[Class]int{}
	}
	if b.used[c] >= maxLinesPerSecond[c] {
		if b.dropped == nil {
			b.dropped = map[Class]int{}
		}
		b.dropped[c]++
		return false
	}
	b.used[c]++
	return true
}

// Dropped returns how many lines of each class were dropped since its last call.
// Classes without dropped lines are missing; the map may be nil.
func (b *Limiter) Dropped() map[Class]int {
	dropped := b.dropped
	b.dropped = nil
	return dropped
}

// Calls logs lines about calls, limited by a Limiter. It is safe for concurrent use. A
// nil *Calls logs nothing. Create one with NewCalls.
type Calls struct {
	logger     log.Logger
	clock      func() time.Time
	mutex      sync.Mutex
	limiter    Limiter
	lastReport time.Time
}

// NewCalls returns a Calls that writes to logger and takes the time from clock.
func NewCalls(logger log.Logger, clock func() time.Time) *Calls {
	return &Calls{logger: logger, clock: clock}
}

// Log writes a line of a class, or drops and counts it if the limit of the class is
// reached. At most once per second, it also writes a line with the numbers of
// dropped lines.
func (c *Calls) Log(class Class, keyvals ...any) {
	if c == nil {
		return
	}
	now := c.clock()
	c.mutex.Lock()
	ok := c.limiter.Take(now, class)
	var dropped map[Class]int
	if now.Sub(c.lastReport) >= time.Second {
		dropped = c.limiter.Dropped()
		c.lastReport = now
	}
	c.mutex.Unlock()
	if len(dropped) > 0 {
		c.logger.Log(droppedKeyvals(dropped)...)
	}
	if ok {
		c.logger.Log(keyvals...)
	}
}

// droppedKeyvals returns the keys and values of the line about dropped lines, sorted by
// class.
func droppedKeyvals(dropped map[Class]int) []any {
	line := []any{"msg", "lines dropped"}
	classes := []Class{}
	for c := range dropped {
		classes = append(classes, c)
	}
	slices.Sort(classes)
	for _, c := range classes {
		line = append(line, string(c), dropped[c])
	}
	return line
}
