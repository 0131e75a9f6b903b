package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mutex  sync.Mutex
	file   *os.File
	writer *bufio.Writer
	start  time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, writer: bufio.NewWriter(f), start: time.Now()}, nil
}

// log writes a line with the time since the start.
func (r *record) log(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.writer, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.writer.Flush()
	r.file.Close()
}
