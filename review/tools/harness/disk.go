//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// syncTime is the time of a sync on the disks of the site: "256 MB of disk at 5 ms a
	// sync".
	syncTime = 5 * time.Millisecond
	// maxWriters bounds the writers that slow the disk of this machine down to that.
	maxWriters = 64
	writeBytes = 128 << 10
)

// slowDisk makes a sync of the file system of folder take syncTime, about, by writers of
// files in folder. They end when stop is called.
func slowDisk(rec *record, folder string) (stop func(), err error) {
	var stopped atomic.Bool
	var group sync.WaitGroup
	writers := 0
	stop = func() {
		stopped.Store(true)
		group.Wait()
	}
	for {
		took, err := measureSync(folder)
		if err != nil {
			return stop, err
		}
		if took >= syncTime || writers == maxWriters {
			rec.line("a sync takes %v beside %d writers", took, writers)
			return stop, nil
		}
		for range 4 {
			writers++
			f, err := os.Create(filepath.Join(folder, fmt.Sprintf("writer-%d", writers)))
			if err != nil {
				return stop, err
			}
			group.Add(1)
			go func() {
				defer group.Done()
				defer f.Close()
				b := make([]byte, writeBytes)
				for !stopped.Load() {
					f.WriteAt(b, 0)
					f.Sync()
				}
			}()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// measureSync returns the time of a small write with a sync.
func measureSync(folder string) (time.Duration, error) {
	f, err := os.Create(filepath.Join(folder, "measure"))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	const count = 20
	start := time.Now()
	for range count {
		f.Write(make([]byte, 300))
		if err := f.Sync(); err != nil {
			return 0, err
		}
	}
	return time.Since(start) / count, nil
}
