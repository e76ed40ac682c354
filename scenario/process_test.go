package scenario

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// terminateTimeout is the time in which a process must end after SIGTERM.
	terminateTimeout = 20 * time.Second
	// stopTimeout is the time in which a process must stand still after SIGSTOP.
	stopTimeout = 5 * time.Second
	// runTimeout bounds a command of the product that runs to its end.
	runTimeout = 60 * time.Second
)

// crash matches what no process may write to its log.
var crash = regexp.MustCompile(`(?m)^(panic: |fatal error: )`)

// raceInLog leaves the judgement of the race detector's reports to firstRace, which reads the log.
const raceInLog = "GORACE=atexit_sleep_ms=0 exitcode=0"

// signals are those that a script may send.
var signals = map[string]syscall.Signal{
	"SIGKILL": syscall.SIGKILL,
	"SIGSTOP": syscall.SIGSTOP,
	"SIGCONT": syscall.SIGCONT,
	"SIGTERM": syscall.SIGTERM,
	"SIGINT":  syscall.SIGINT,
}

// output gathers what a process writes.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// process is a started process with a name.
type process struct {
	cmd *exec.Cmd
	out *output
	// done is closed when the process has ended.
	done chan struct{}
}

// start starts a process that goes on: start NAME PROGRAM ARG...
func (s *session) start(args []string, _ io.Writer) error {
	if len(args) < 2 {
		return errUsage{"start NAME PROGRAM ARG..."}
	}
	name := args[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.processes[name]; old != nil && !old.hasEnded() {
		return fmt.Errorf("%s runs already", name)
	}
	p := &process{out: &output{}, done: make(chan struct{})}
	if old := s.processes[name]; old != nil {
		p.out = old.out
	}
	p.cmd = exec.CommandContext(context.Background(), args[1], args[2:]...)
	p.cmd.Dir = s.dir
	p.cmd.Env = append(slices.Clone(s.env.Vars), raceInLog)
	p.cmd.Stdout = p.out
	p.cmd.Stderr = p.out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	s.processes[name] = p
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return nil
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// waitFor waits for the end of the process.
func (p *process) waitFor(d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-p.done:
		return nil
	case <-t.C:
		return fmt.Errorf("process still runs after %s", d)
	}
}

func (s *session) process(name string) (*process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	if p == nil {
		return nil, errUsage{"no process " + name}
	}
	return p, nil
}

// signal sends a signal: signal NAME SIGNAL.
func (s *session) signal(args []string, _ io.Writer) error {
	if len(args) != 2 {
		return errUsage{"signal NAME SIGNAL"}
	}
	sig, ok := signals[args[1]]
	if !ok {
		return errUsage{"no signal " + args[1]}
	}
	p, err := s.process(args[0])
	if err != nil {
		return err
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return err
	}
	switch sig {
	case syscall.SIGKILL:
		return p.waitFor(terminateTimeout)
	case syscall.SIGSTOP:
		return poll(stopTimeout, func() error { return isStopped(p.cmd.Process.Pid) })
	}
	return nil
}

// isStopped returns an error unless all threads of a process stand still; the signal takes effect a little after it
// was sent.
func isStopped(pid int) error {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no threads of process %d: %w", pid, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		_, state, _ := strings.Cut(string(data), ") ")
		if !strings.HasPrefix(state, "T") {
			return fmt.Errorf("%s: still runs", file)
		}
	}
	return nil
}

// terminate sends SIGTERM to processes and waits for their ends with exit code 0: terminate NAME...
func (s *session) terminate(args []string, _ io.Writer) error {
	for _, name := range args {
		p, err := s.process(name)
		if err != nil {
			return err
		}
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		if err := p.waitFor(terminateTimeout); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			return fmt.Errorf("%s: exit code %d", name, code)
		}
	}
	return nil
}

// exited tells whether a process has ended with an exit code: exited NAME CODE.
func (s *session) exited(args []string, _ io.Writer) error {
	if len(args) != 2 {
		return errUsage{"exited NAME CODE"}
	}
	p, err := s.process(args[0])
	if err != nil {
		return err
	}
	if !p.hasEnded() {
		return errors.New("still runs")
	}
	if code := strconv.Itoa(p.cmd.ProcessState.ExitCode()); code != args[1] {
		return fmt.Errorf("exit code %s", code)
	}
	return nil
}

// log looks for a pattern in what a process wrote: log NAME PATTERN.
func (s *session) log(args []string, out io.Writer) error {
	if len(args) != 2 {
		return errUsage{"log NAME PATTERN"}
	}
	re, err := regexp.Compile("(?m)" + args[1])
	if err != nil {
		return errUsage{err.Error()}
	}
	p, err := s.process(args[0])
	if err != nil {
		return err
	}
	found := re.FindString(p.out.String())
	if found == "" {
		return fmt.Errorf("no match for %q in the log of %s", args[1], args[0])
	}
	_, _ = fmt.Fprintln(out, found)
	return nil
}

// run runs a program to its end; a code other than 0 is a failure: run PROGRAM ARG...
func (s *session) run(args []string, out io.Writer) error {
	if len(args) == 0 {
		return errUsage{"run PROGRAM ARG..."}
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	var stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, args[0], args[1:]...)
	cmd.Dir = s.dir
	cmd.Env = append(slices.Clone(s.env.Vars), s.found...)
	cmd.Stdout = out
	cmd.Stderr = &stderr
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("%w: %s", err, stderr.String())
	}
	return nil
}

// end kills what still runs, keeps the logs in the script's directory and fails on a flaw in one.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if !p.hasEnded() {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
		<-p.done
	}
	for name, p := range s.processes {
		text := p.out.String()
		s.env.T().Log(fmt.Sprintf("--- log of %s:\n%s", name, tail(text)))
		_ = os.WriteFile(filepath.Join(s.env.WorkDir, name+".log"), []byte(text), 0o600)
		if crash.MatchString(text) {
			s.env.T().Fatal("crash in the log of " + name + ":\n" + text)
		}
		if race, ok := firstRace(text); ok {
			s.env.T().Fatal("data race in the log of " + name + ":\n" + race)
		}
	}
}

// maxLogShown bounds the part of a log that a failed test shows, in bytes.
const maxLogShown = 8 << 10

func tail(text string) string {
	return text[max(0, len(text)-maxLogShown):]
}
