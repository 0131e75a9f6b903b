package logs

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Class groups lines that share a bound.
type Class string

// The classes of lines about calls.
const (
	ClassRefusal Class = "refusal" // A call that got no answer of an upstream.
	ClassRetry   Class = "retry"   // A call that was sent to another upstream.
	ClassUnsafe  Class = "unsafe"  // An answer to a call that must not be repeated.
	ClassAnswer  Class = "answer"  // Any other answer.
)

// maxPerSecond bounds the lines of each class in a second.
var maxPerSecond = map[Class]int{ClassRefusal: 100, ClassRetry: 50, ClassUnsafe: 50, ClassAnswer: 10}

// Budget bounds how many lines of each class are written in a second. It reads
// no clock. The zero value is ready; a Budget is not safe for concurrent use.
type Budget struct {
	window  time.Time
	used    map[Class]int
	dropped map[Class]int
}

// Take reports whether a line of a class may be written at now.
func (b *Budget) Take(now time.Time, c Class) bool {
	if b.used == nil || now.Sub(b.window) >= time.Second || now.Before(b.window) {
		b.window = now
		b.used = map[Class]int{}
	}
	if b.used[c] >= maxPerSecond[c] {
		if b.dropped == nil {
			b.dropped = map[Class]int{}
		}
		b.dropped[c]++
		return false
	}
	b.used[c]++
	return true
}

// Dropped returns how many lines of each class were dropped since it was last
// called.
func (b *Budget) Dropped() map[Class]int {
	dropped := b.dropped
	b.dropped = nil
	return dropped
}

// Calls logs lines about calls within a budget. It is safe for concurrent use.
// A nil Calls logs nothing. Make one with NewCalls.
type Calls struct {
	logger log.Logger
	clock  func() time.Time
	mutex  sync.Mutex
	budget Budget
	told   time.Time
}

// NewCalls returns a log of calls.
func NewCalls(logger log.Logger, clock func() time.Time) *Calls {
	return &Calls{logger: logger, clock: clock}
}

// Log writes a line of a class, or counts it if its budget is used up. Once a
// second a line tells what was dropped.
func (c *Calls) Log(class Class, keyvals ...any) {
	if c == nil {
		return
	}
	now := c.clock()
	c.mutex.Lock()
	ok := c.budget.Take(now, class)
	var dropped map[Class]int
	if now.Sub(c.told) >= time.Second {
		dropped = c.budget.Dropped()
		c.told = now
	}
	c.mutex.Unlock()
	if len(dropped) > 0 {
		c.logger.Log(droppedLine(dropped)...)
	}
	if ok {
		c.logger.Log(keyvals...)
	}
}

func droppedLine(dropped map[Class]int) []any {
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
