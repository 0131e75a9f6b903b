//go:build review

package main

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// quotaPeriod is the time in which a process may use its share of a core: "The core runs
// at full speed until the quota is used up, and then runs not at all for the rest of that
// tenth of a second."
const quotaPeriod = 100 * time.Millisecond

// cpuTime returns the processor time that a process has used.
func cpuTime(pid int) time.Duration {
	files, _ := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/task/*/schedstat")
	sum := int64(0)
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			continue
		}
		text, _, _ := strings.Cut(string(data), " ")
		n, _ := strconv.ParseInt(text, 10, 64)
		sum += n
	}
	return time.Duration(sum)
}

// limit holds the process that a machine runs now to share of a core, until it exits.
func (m *machine) limit(share float64, phase time.Duration) {
	process, exited := m.command.Process, m.exited
	go func() {
		quota := time.Duration(share * float64(quotaPeriod))
		for {
			now := time.Now()
			end := now.Add(-phase).Truncate(quotaPeriod).Add(quotaPeriod + phase)
			used := cpuTime(process.Pid)
			for time.Now().Before(end) {
				if cpuTime(process.Pid)-used >= quota {
					process.Signal(syscall.SIGSTOP)
					time.Sleep(time.Until(end))
					process.Signal(syscall.SIGCONT)
					break
				}
				time.Sleep(2 * time.Millisecond)
			}
			select {
			case <-exited:
				return
			default:
			}
		}
	}()
}

// limitCores holds the processes of the core to the share of the site file. The tenths of
// a second of different machines begin at different times.
func (d *deployment) limitCores() {
	for i, m := range d.cores {
		m.limit(0.12, time.Duration(i)*quotaPeriod/time.Duration(len(d.cores)))
	}
}
