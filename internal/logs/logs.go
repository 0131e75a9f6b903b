// Package logs writes structured log lines without ever holding up who logs.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

// Config describes a Writer. Out is required.
type Config struct {
	Out           io.Writer
	MaxLines      int           // MaxLines that may wait: 4096.
	FlushInterval time.Duration // How long lines are gathered before they are written: 100 ms.
}

const (
	defaultLines         = 4096
	defaultFlushInterval = 100 * time.Millisecond
)

// Writer gathers lines and writes them in batches from a goroutine of its own.
// Lines for which there is no room are dropped and counted. It is safe for
// concurrent use. Make one with NewWriter.
type Writer struct {
	config  Config
	mutex   sync.Mutex
	waiting []byte
	lines   int
	dropped atomic.Int64
	wake    chan struct{}
	stop    chan struct{}
	ended   chan struct{}
}

// NewWriter returns a writer that writes until Close.
func NewWriter(c Config) *Writer {
	if c.MaxLines == 0 {
		c.MaxLines = defaultLines
	}
	if c.FlushInterval == 0 {
		c.FlushInterval = defaultFlushInterval
	}
	w := &Writer{config: c, wake: make(chan struct{}, 1), stop: make(chan struct{}), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never blocks on the output and returns no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.lines >= w.config.MaxLines {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.lines++
	w.waiting = append(w.waiting, line...)
	if w.lines == 1 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Dropped returns how many lines found no room.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.ended)
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

// flush writes what waits and returns a buffer that may be used again.
func (w *Writer) flush(spare []byte) []byte {
	w.mutex.Lock()
	batch := w.waiting
	w.waiting = spare[:0]
	w.lines = 0
	w.mutex.Unlock()
	if len(batch) > 0 {
		// Nobody can be told that the log can't be written.
		_, _ = w.config.Out.Write(batch)
	}
	return batch
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	close(w.stop)
	<-w.ended
}

// New returns a logger whose lines carry the time and the process's name.
func New(w io.Writer, process string, clock func() time.Time) log.Logger {
	stamp := log.TimestampFormat(clock, "15:04:05.000")
	return log.With(log.NewLogfmtLogger(w), "at", stamp, "process", process)
}
