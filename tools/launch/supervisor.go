package launch

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is the time that a process has to exit after SIGTERM before it is killed.
const stopTimeout = 15 * time.Second

// ErrProcessEnded reports that a process exited although nobody stopped it.
type ErrProcessEnded struct {
	// Name is the name of the process.
	Name string
	// LogFile is the file with the output of the process.
	LogFile string
	// Cause is the error of exec.Cmd.Wait; nil after exit status 0.
	Cause error
}

func (e ErrProcessEnded) Error() string {
	return fmt.Sprintf("process %s exited unexpectedly: %v, see %s", e.Name, e.Cause, e.LogFile)
}

func (e ErrProcessEnded) Unwrap() error { return e.Cause }

// Process is a process that a Supervisor started.
type Process struct {
	name    string
	logFile string
	cmd     *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
	// exitErr is the error of exec.Cmd.Wait. It is set before done is closed.
	exitErr error
}

// Name returns the name of the process.
func (p *Process) Name() string { return p.name }

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(sig os.Signal) error { return p.cmd.Process.Signal(sig) }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Supervisor starts processes and ends all of them in Stop. On Linux they are also killed when the supervisor's own
// process ends. Only Dir must be set before use.
type Supervisor struct {
	// Dir is the directory of the log files; each process writes to NAME.log.
	Dir string

	mu        sync.Mutex
	processes []*Process
	// startThreadCalls passes functions to the goroutine that starts all processes; see runOnStartThread. This
	// goroutine is locked to one thread, which lives as long as the supervisor's process.
	startThreadCalls chan func()
	isStopping       bool
	// ended receives the first unexpected exit.
	ended chan ErrProcessEnded
}

// Start starts a process that is expected to run until Stop or Terminate.
func (s *Supervisor) Start(name, program string, args ...string) (*Process, error) {
	logFile := filepath.Join(s.Dir, name+".log")
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.CommandContext(context.Background(), program, args...)
	cmd.Stdout = out
	cmd.Stderr = out
	cmd.SysProcAttr = killWithParent()
	p := &Process{name: name, logFile: logFile, cmd: cmd, done: make(chan struct{})}
	if err := s.runOnStartThread(cmd.Start); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	go s.watch(p)
	return p, nil
}

// runOnStartThread runs f on the one thread that starts all processes. The kernel kills a child when the thread that
// started it ends, so that thread must not end before the supervisor's process.
func (s *Supervisor) runOnStartThread(f func() error) error {
	s.mu.Lock()
	if s.startThreadCalls == nil {
		s.startThreadCalls = make(chan func())
		s.ended = make(chan ErrProcessEnded, 1)
		go func(startThreadCalls <-chan func()) {
			runtime.LockOSThread()
			for f := range startThreadCalls {
				f()
			}
		}(s.startThreadCalls)
	}
	startThreadCalls := s.startThreadCalls
	s.mu.Unlock()
	result := make(chan error)
	startThreadCalls <- func() { result <- f() }
	return <-result
}

// watch waits for a process to exit and reports the exit to the channel of Ended, unless Unwatch or Stop was called
// before.
func (s *Supervisor) watch(p *Process) {
	p.exitErr = p.cmd.Wait()
	close(p.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	watched := slices.Contains(s.processes, p)
	if s.isStopping || !watched {
		return
	}
	select {
	case s.ended <- ErrProcessEnded{Name: p.name, LogFile: p.logFile, Cause: p.exitErr}:
	default:
	}
}

// Ended returns a channel that receives the first process that exits unexpectedly.
func (s *Supervisor) Ended() <-chan ErrProcessEnded {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// Unwatch stops reporting the exit of a process, for a caller that is about to end it.
func (s *Supervisor) Unwatch(p *Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = slices.DeleteFunc(s.processes, func(q *Process) bool { return q == p })
}

// Stop ends all processes and returns when they have exited.
func (s *Supervisor) Stop() {
	s.mu.Lock()
	s.isStopping = true
	processes := slices.Clone(s.processes)
	s.mu.Unlock()
	s.Terminate(processes...)
}

// Terminate sends SIGTERM to the processes, kills those that still run after stopTimeout, and waits for all to exit.
func (s *Supervisor) Terminate(processes ...*Process) {
	for _, p := range processes {
		s.Unwatch(p)
		_ = p.Signal(syscall.SIGTERM)
	}
	deadline := time.NewTimer(stopTimeout)
	defer deadline.Stop()
	for _, p := range processes {
		select {
		case <-p.done:
		case <-deadline.C:
			killAll(processes)
		}
	}
	for _, p := range processes {
		<-p.done
	}
}

func killAll(processes []*Process) {
	for _, p := range processes {
		_ = p.Signal(syscall.SIGKILL)
	}
}
