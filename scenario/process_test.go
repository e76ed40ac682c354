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
	// terminateTimeout is the time within which a process must end after SIGTERM or SIGKILL.
	terminateTimeout = 20 * time.Second
	// freezeTimeout is the time within which all threads of a process must be stopped after SIGSTOP.
	freezeTimeout = 5 * time.Second
	// runTimeout limits a program that the script's run command executes.
	runTimeout = 60 * time.Second
)

// crashPattern matches the first line of a Go crash in the log of a process.
var crashPattern = regexp.MustCompile(`(?m)^(panic: |fatal error: )`)

// raceOptions returns the environment variable with the options of the race detector in a started process. A data race
// doesn't change the exit code: instead, firstRace finds the reports of races and ignores false positives. The detector
// writes the reports to files whose names begin with raceLog, apart from the process's own output, since a log line
// could otherwise appear within a report.
func raceOptions(raceLog string) string {
	return "GORACE=atexit_sleep_ms=0 exitcode=0 log_path=" + raceLog
}

// signals maps the names of the signals that a script can send to their values.
var signals = map[string]syscall.Signal{
	"SIGKILL": syscall.SIGKILL,
	"SIGSTOP": syscall.SIGSTOP,
	"SIGCONT": syscall.SIGCONT,
	"SIGTERM": syscall.SIGTERM,
	"SIGINT":  syscall.SIGINT,
}

// output collects the output of a process and can be read while the process runs.
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

// process is a process that a script started.
type process struct {
	cmd *exec.Cmd
	out *output
	// raceLog is the path to whose end the race detector adds a dot and the process id; see raceOptions.
	raceLog string
	// done is closed when the process has ended.
	done chan struct{}
}

// start starts a process without waiting for its end: start NAME PROGRAM ARG...
func (s *session) start(args []string, _ io.Writer) error {
	if len(args) < 2 {
		return errUsage{"start NAME PROGRAM ARG..."}
	}
	name := args[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.processes[name]; old != nil && !old.hasEnded() {
		return fmt.Errorf("process %s is already running", name)
	}
	p := &process{out: &output{}, done: make(chan struct{}), raceLog: filepath.Join(s.env.WorkDir, name+".race")}
	if old := s.processes[name]; old != nil {
		p.out = old.out
	}
	p.cmd = exec.CommandContext(context.Background(), args[1], args[2:]...)
	p.cmd.Dir = s.dir
	p.cmd.Env = append(slices.Clone(s.env.Vars), raceOptions(p.raceLog))
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

// raceReports returns the reports of the race detector in the process and in earlier processes of the same name.
func (p *process) raceReports() (string, error) {
	files, err := filepath.Glob(p.raceLog + ".*")
	if err != nil {
		return "", err
	}
	var reports strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return "", err
		}
		reports.Write(data)
	}
	return reports.String(), nil
}

// waitFor waits for the end of the process, at most for d.
func (p *process) waitFor(d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-p.done:
		return nil
	case <-t.C:
		return fmt.Errorf("process is still running after %s", d)
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

// signal sends a signal to a process: signal NAME SIGNAL. After SIGKILL it waits for the end of the process, and after
// SIGSTOP until all its threads are stopped.
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
		return poll(freezeTimeout, func() error { return checkStopped(p.cmd.Process.Pid) })
	}
	return nil
}

// checkStopped returns an error unless all threads of a process are stopped. SIGSTOP takes effect shortly after it was
// sent.
func checkStopped(pid int) error {
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
			return fmt.Errorf("%s: thread is not stopped", file)
		}
	}
	return nil
}

// terminate sends SIGTERM to processes and waits until they end; the exit code must be 0: terminate NAME...
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
			return fmt.Errorf("process %s ended with exit code %d", name, code)
		}
	}
	return nil
}

// exited fails unless a process has ended with the given exit code: exited NAME CODE.
func (s *session) exited(args []string, _ io.Writer) error {
	if len(args) != 2 {
		return errUsage{"exited NAME CODE"}
	}
	p, err := s.process(args[0])
	if err != nil {
		return err
	}
	if !p.hasEnded() {
		return errors.New("the process is still running")
	}
	if code := strconv.Itoa(p.cmd.ProcessState.ExitCode()); code != args[1] {
		return fmt.Errorf("the process ended with exit code %s", code)
	}
	return nil
}

// log fails unless the output of a process matches a pattern: log NAME PATTERN. It writes the first match.
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

// run runs a program and waits for its end; the exit code must be 0: run PROGRAM ARG...
func (s *session) run(args []string, out io.Writer) error {
	if len(args) == 0 {
		return errUsage{"run PROGRAM ARG..."}
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	var stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, args[0], args[1:]...)
	cmd.Dir = s.dir
	cmd.Env = s.env.Vars
	cmd.Stdout = out
	cmd.Stderr = &stderr
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("%w: %s", err, stderr.String())
	}
	return nil
}

// cleanup kills the processes that still run, writes their logs to the script's directory, and fails the test if a log
// shows a crash or a data race.
func (s *session) cleanup() {
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
		s.env.T().Log(fmt.Sprintf("--- log of %s:\n%s", name, logEnd(text)))
		_ = os.WriteFile(filepath.Join(s.env.WorkDir, name+".log"), []byte(text), 0o600)
		if crashPattern.MatchString(text) {
			s.env.T().Fatal("crash in the log of " + name + ":\n" + text)
		}
		reports, err := p.raceReports()
		if err != nil {
			s.env.T().Fatal(err)
		}
		if race, ok := firstRace(reports); ok {
			s.env.T().Fatal("data race in " + name + ":\n" + race)
		}
	}
}

// maxLogShownBytes is the number of bytes that are printed of a process's log; longer logs are cut at the beginning.
const maxLogShownBytes = 8 << 10

func logEnd(text string) string {
	return text[max(0, len(text)-maxLogShownBytes):]
}
