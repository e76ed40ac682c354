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

// stopTimeout is the time that a process gets to end after SIGTERM.
const stopTimeout = 15 * time.Second

// ErrEnded tells that a process ended that was to go on.
type ErrEnded struct {
	// Name of the process.
	Name string
	// Log is the file that holds its output.
	Log string
	// Cause is how it ended.
	Cause error
}

func (e ErrEnded) Error() string {
	return fmt.Sprintf("process %s ended: %v, see %s", e.Name, e.Cause, e.Log)
}

func (e ErrEnded) Unwrap() error { return e.Cause }

// Process is a started process.
type Process struct {
	name string
	log  string
	cmd  *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
	// err is how it ended; it is set before done is closed.
	err error
}

// Name returns the process's name.
func (p *Process) Name() string { return p.name }

// Pid returns the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(sig os.Signal) error { return p.cmd.Process.Signal(sig) }

// Done returns a channel that closes when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Supervisor starts processes and ends all of them at Stop. Where the system can, they also end with the supervisor's
// own process. The zero value is ready to use but for Dir.
type Supervisor struct {
	// Dir is where each process writes its log, NAME.log.
	Dir string

	mu        sync.Mutex
	processes []*Process
	// starts is served by one thread, which lives as long as the supervisor's process.
	starts   chan func()
	stopping bool
	ended    chan ErrEnded
}

// Start starts a process that goes on.
func (s *Supervisor) Start(name, program string, args ...string) (*Process, error) {
	log := filepath.Join(s.Dir, name+".log")
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.CommandContext(context.Background(), program, args...)
	cmd.Stdout = out
	cmd.Stderr = out
	cmd.SysProcAttr = endWithParent()
	p := &Process{name: name, log: log, cmd: cmd, done: make(chan struct{})}
	if err := s.onThread(cmd.Start); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	go s.wait(p)
	return p, nil
}

// onThread runs f on the thread that starts all processes, since a child may be told of the end of its parent's
// thread only.
func (s *Supervisor) onThread(f func() error) error {
	s.mu.Lock()
	if s.starts == nil {
		s.starts = make(chan func())
		s.ended = make(chan ErrEnded, 1)
		go func(starts <-chan func()) {
			runtime.LockOSThread()
			for f := range starts {
				f()
			}
		}(s.starts)
	}
	starts := s.starts
	s.mu.Unlock()
	result := make(chan error)
	starts <- func() { result <- f() }
	return <-result
}

// wait notes how a process ends and tells of an end that nobody asked for.
func (s *Supervisor) wait(p *Process) {
	p.err = p.cmd.Wait()
	close(p.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := slices.Contains(s.processes, p)
	if s.stopping || !known {
		return
	}
	select {
	case s.ended <- ErrEnded{Name: p.name, Log: p.log, Cause: p.err}:
	default:
	}
}

// Ended returns a channel that gets the first process that ended without being asked to.
func (s *Supervisor) Ended() <-chan ErrEnded {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// Forget leaves the end of a process to the caller, who is about to end it.
func (s *Supervisor) Forget(p *Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = slices.DeleteFunc(s.processes, func(q *Process) bool { return q == p })
}

// Stop ends all processes, and returns when they have ended.
func (s *Supervisor) Stop() {
	s.mu.Lock()
	s.stopping = true
	processes := slices.Clone(s.processes)
	s.mu.Unlock()
	s.End(processes...)
}

// End ends processes: it asks all of them and kills what is left after a time.
func (s *Supervisor) End(processes ...*Process) {
	for _, p := range processes {
		s.Forget(p)
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
