package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// sessionKey finds a script's session among its values.
type sessionKey struct{}

// command is one of the scenarios' own commands. It writes what `stdout` matches to out.
type command func(s *session, args []string, out io.Writer) error

// commands are those that a script may call, alone or behind eventually, always, match and background.
func commands() map[string]command {
	return map[string]command{
		"start":     (*session).start,
		"signal":    (*session).signal,
		"terminate": (*session).terminate,
		"exited":    (*session).exited,
		"log":       (*session).log,
		"waitready": (*session).waitReady,
		"http":      (*session).http,
		"fault":     (*session).fault,
		"stat":      (*session).stat,
		"run":       (*session).run,
		"join":      (*session).join,
		"sleep":     (*session).sleep,
		"client":    (*session).client,
		"certify":   (*session).certify,
	}
}

// wrappers run another command; they are apart since they look up commands themselves.
func wrappers() map[string]command {
	return map[string]command{
		"eventually": (*session).eventually,
		"always":     (*session).always,
		"match":      (*session).match,
		"background": (*session).background,
		"record":     (*session).record,
	}
}

// all returns commands and wrappers.
func all() map[string]command {
	m := commands()
	maps.Copy(m, wrappers())
	return m
}

// errUsage tells how a command is to be called.
type errUsage struct {
	usage string
}

func (e errUsage) Error() string { return "usage: " + e.usage }

func isErrUsage(err error) bool {
	var usage errUsage
	return errors.As(err, &usage)
}

// scriptCommands returns the commands as testscript takes them.
func scriptCommands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	cmds := map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"expand":  expand,
		"capture": capture,
		"deploy":  deploy,
		"mask":    mask,
	}
	for name, cmd := range all() {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			s := ts.Value(sessionKey{}).(*session)
			err := negate(neg, cmd(s, args, ts.Stdout()))
			if err != nil {
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	return cmds
}

// negate turns success into failure and failure into success, but for a wrong call.
func negate(neg bool, err error) error {
	if !neg || isErrUsage(err) {
		return err
	}
	if err == nil {
		return errors.New("succeeded, but should not")
	}
	return nil
}

// session is the state of one script's run.
type session struct {
	env *testscript.Env
	// dir is the script's directory, in which programs run.
	dir string

	mu        sync.Mutex
	processes map[string]*process
	jobs      map[string]*job
}

func newSession(env *testscript.Env) *session {
	return &session{env: env, dir: env.WorkDir, processes: map[string]*process{}, jobs: map[string]*job{}}
}

// call runs a command line of the scenarios' own commands, where "!" in front negates.
func (s *session) call(line []string, out io.Writer) error {
	neg := len(line) > 0 && line[0] == "!"
	if neg {
		line = line[1:]
	}
	if len(line) == 0 {
		return errUsage{"no command"}
	}
	cmd := all()[line[0]]
	if cmd == nil {
		return errUsage{fmt.Sprintf("no command %q", line[0])}
	}
	return negate(neg, cmd(s, line[1:], out))
}

// match runs a command and looks for a pattern in its output: match PATTERN COMMAND...
func (s *session) match(args []string, out io.Writer) error {
	if len(args) < 2 {
		return errUsage{"match PATTERN COMMAND..."}
	}
	re, err := regexp.Compile("(?m)" + args[0])
	if err != nil {
		return errUsage{err.Error()}
	}
	var buf bytes.Buffer
	if err := s.call(args[1:], &buf); err != nil {
		return err
	}
	_, _ = out.Write(buf.Bytes())
	if !re.Match(buf.Bytes()) {
		return fmt.Errorf("no match for %q in %q", args[0], buf.String())
	}
	return nil
}

// record appends a command and its output to a file: record FILE COMMAND...
func (s *session) record(args []string, out io.Writer) error {
	if len(args) < 2 {
		return errUsage{"record FILE COMMAND..."}
	}
	var buf bytes.Buffer
	err := s.call(args[1:], &buf)
	_, _ = out.Write(buf.Bytes())
	if err != nil {
		return err
	}
	f, err := os.OpenFile(s.path(args[0]), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f, "$ %s\n%s\n", strings.Join(args[1:], " "), buf.Bytes())
	return errors.Join(err, f.Close())
}

// expand replaces ${NAME} in files by the script's variables: expand FILE...
func expand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: expand FILE...")
	}
	variable := regexp.MustCompile(`\$\{(\w+)\}`)
	for _, file := range args {
		text := variable.ReplaceAllStringFunc(ts.ReadFile(file), func(ref string) string {
			value := ts.Getenv(strings.Trim(ref, "${}"))
			if value == "" {
				ts.Fatalf("%s: %s is not set", file, ref)
			}
			return value
		})
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// capture sets a variable to the first group of a pattern in the last output: capture NAME PATTERN.
func capture(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: capture NAME PATTERN")
	}
	re, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	groups := re.FindStringSubmatch(ts.ReadFile("stdout"))
	if len(groups) < 2 {
		ts.Fatalf("capture: no group of %q in the output", args[1])
	}
	ts.Setenv(args[0], groups[1])
}

// mask replaces what a pattern matches in a file, so that the file can be compared: mask FILE PATTERN TEXT.
func mask(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: mask FILE PATTERN TEXT")
	}
	re, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	text := re.ReplaceAllString(ts.ReadFile(args[0]), args[2])
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// path returns a file of the script as an absolute path.
func (s *session) path(file string) string {
	if filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(s.dir, file)
}
