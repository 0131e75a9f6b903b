package processtest

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Process is a process of the program. A Group may start it again after its end. Its
// methods may be called concurrently with one another, but not with a start.
type Process struct {
	Name    string // Unique within the group.
	args    []string
	command *exec.Cmd
	exited  chan error // Receives one value when the process has ended; receivers put it back.
}

// start starts a process that is not running, with extraArgs after its usual
// arguments. Its output is appended to a log file named after it.
func (g *Group) start(p *Process, extraArgs ...string) {
	log, err := os.OpenFile(filepath.Join(g.folder, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(g.t, err)
	defer log.Close()
	command := exec.Command(g.program, append(append([]string{}, p.args...), extraArgs...)...)
	command.Stdout, command.Stderr = log, log
	require.NoError(g.t, command.Start())
	p.command = command
	p.exited = make(chan error, 1)
	go func() { p.exited <- command.Wait() }()
}

// PID returns the process ID of the latest start.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal to the process, if it is running.
func (p *Process) Signal(s syscall.Signal) { p.command.Process.Signal(s) }

// Freeze stops the process by SIGSTOP, until SIGCONT, and waits until none of its threads
// runs any more. It does nothing if the process has exited.
func (p *Process) Freeze() {
	p.Signal(syscall.SIGSTOP)
	for {
		err := unix.Waitid(unix.P_PID, p.PID(), nil, unix.WSTOPPED|unix.WEXITED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// Kill ends the process by SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
	p.exited <- nil
}

// Wait waits for the process to exit and returns its exit code, or -1 if it has not
// exited after timeout or was ended by a signal.
func (p *Process) Wait(timeout time.Duration) int {
	select {
	case <-p.exited:
		p.exited <- nil
		return p.command.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}
