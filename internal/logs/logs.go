// Package logs writes structured log lines without blocking the goroutine that logs.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/endivewalk/endivewalk/internal/clip"
)

// Config configures a Writer. Out is required. Zero fields get their default.
type Config struct {
	Out           io.Writer
	MaxLines      int           // Maximum of lines that are not written yet. Default: 4096.
	FlushInterval time.Duration // How long lines are collected before they are written. Default: 100 ms.
}

const (
	defaultMaxLines      = 4096
	defaultFlushInterval = 100 * time.Millisecond
)

// Writer collects lines and writes them in batches in a goroutine of its own. If too
// many lines are pending, new ones are dropped and counted. It is safe for concurrent
// use. Create one with NewWriter and close it with Close.
type Writer struct {
	config       Config
	mutex        sync.Mutex
	pending      []byte
	pendingLines int
	dropped      atomic.Int64
	wake         chan struct{}
	stop         chan struct{}
	done         chan struct{}
}

// NewWriter returns a Writer and starts its goroutine, which ends with Close.
func NewWriter(c Config) *Writer {
	if c.MaxLines == 0 {
		c.MaxLines = defaultMaxLines
	}
	if c.FlushInterval == 0 {
		c.FlushInterval = defaultFlushInterval
	}
	w := &Writer{config: c, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// maxLineBytes is the longest line. It holds the stack of a panic.
const maxLineBytes = 8 << 10

// Write adds one line, which must end with a newline, or drops it if too many are
// pending. It cuts a line of more than maxLineBytes. It does not wait for the output, keeps no reference to line and never returns
// an error. After Close, lines only fill the memory, up to Config.MaxLines.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.pendingLines >= w.config.MaxLines {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pendingLines++
	if len(line) > maxLineBytes {
		w.pending = append(append(w.pending, clip.Text(string(line), maxLineBytes-1)...), '\n')
	} else {
		w.pending = append(w.pending, line...)
	}
	if w.pendingLines == 1 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// run writes pending lines, FlushInterval after the first of a batch, until Close.
func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for {
		select {
		case <-w.wake:
		case <-w.stop:
			w.flush(spare)
			return
		}
		timer := time.NewTimer(w.config.FlushInterval)
		select {
		case <-timer.C:
		case <-w.stop:
			timer.Stop()
		}
		spare = w.flush(spare)
	}
}

// flush writes the pending lines, with spare as the buffer for the next ones. It
// returns the written buffer, to be passed as spare next time.
func (w *Writer) flush(spare []byte) []byte {
	w.mutex.Lock()
	batch := w.pending
	w.pending = spare[:0]
	w.pendingLines = 0
	w.mutex.Unlock()
	if len(batch) > 0 {
		// The log is the only place where an error could be reported.
		_, _ = w.config.Out.Write(batch)
	}
	return batch
}

// Close writes the pending lines and ends the goroutine. It must be called once; lines
// written after it are lost.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}

// New returns a logger that writes to w in logfmt. Each line begins with the time of
// day from clock and the name of the process.
func New(w io.Writer, process string, clock func() time.Time) log.Logger {
	stamp := log.TimestampFormat(clock, "15:04:05.000")
	return log.With(log.NewLogfmtLogger(w), "at", stamp, "process", process)
}
