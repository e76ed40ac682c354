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

// sessionKey is the key of the session in the values of a script.
type sessionKey struct{}

// command implements one of the commands of this package. It writes its output to out, which the `stdout` command of
// testscript matches.
type command func(s *session, args []string, out io.Writer) error

// commands returns the commands that a script can call directly or as the argument of a wrapper such as eventually.
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

// wrappers returns the commands that run another command. They are separate from commands since they look up commands
// themselves.
func wrappers() map[string]command {
	return map[string]command{
		"eventually": (*session).eventually,
		"always":     (*session).always,
		"match":      (*session).match,
		"background": (*session).background,
		"record":     (*session).record,
	}
}

// allCommands returns the commands and the wrappers.
func allCommands() map[string]command {
	m := commands()
	maps.Copy(m, wrappers())
	return m
}

// errUsage is the error of a command that was called with wrong arguments.
type errUsage struct {
	usage string
}

func (e errUsage) Error() string { return "usage: " + e.usage }

func isErrUsage(err error) bool {
	var usage errUsage
	return errors.As(err, &usage)
}

// scriptCommands returns the commands in the form that testscript requires.
func scriptCommands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	cmds := map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"expand":  expand,
		"capture": capture,
		"deploy":  deploy,
		"mask":    mask,
		"store":   store,
	}
	for name, cmd := range allCommands() {
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

// negate inverts the result of a command that is called with "!". An errUsage remains an error.
func negate(neg bool, err error) error {
	if !neg || isErrUsage(err) {
		return err
	}
	if err == nil {
		return errors.New("command succeeded, but must fail")
	}
	return nil
}

// session is the state of a running script.
type session struct {
	env *testscript.Env
	// dir is the script's directory, which is the working directory of the programs that it starts.
	dir string

	mu sync.Mutex
	// processes and jobs hold the processes and the background commands by the names that the script gave them.
	processes map[string]*process
	jobs      map[string]*job
}

func newSession(env *testscript.Env) *session {
	return &session{env: env, dir: env.WorkDir, processes: map[string]*process{}, jobs: map[string]*job{}}
}

// call runs a command of this package. The line holds its name and its arguments; a leading "!" inverts the result.
func (s *session) call(line []string, out io.Writer) error {
	isNegated := len(line) > 0 && line[0] == "!"
	if isNegated {
		line = line[1:]
	}
	if len(line) == 0 {
		return errUsage{"no command"}
	}
	cmd := allCommands()[line[0]]
	if cmd == nil {
		return errUsage{fmt.Sprintf("no command %q", line[0])}
	}
	return negate(isNegated, cmd(s, line[1:], out))
}

// match runs a command and fails unless its output matches the pattern: match PATTERN COMMAND...
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

// expand replaces ${NAME} in files by the value of the script's variable: expand FILE...
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

// capture sets a variable to the first group of a pattern's match in the last output: capture NAME PATTERN.
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

// mask replaces all matches of a pattern in a file by a text, so that the file can be compared with a golden file: mask
// FILE PATTERN TEXT.
func mask(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: mask FILE PATTERN TEXT")
	}
	re, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	text := re.ReplaceAllString(ts.ReadFile(args[0]), args[2])
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// path returns the absolute path of a file in the script's directory.
func (s *session) path(file string) string {
	if filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(s.dir, file)
}
