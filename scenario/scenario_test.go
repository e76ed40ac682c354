// Package scenario runs scripted end-to-end tests with separate processes: the daemon, its command-line tool, the demo
// and the stand-ins.
//
// A scenario is a testscript file in testdata. $P0 to $P39 are free addresses, $N0 to $N39 their port numbers, $BIN is
// the directory of the binaries and $ROOT the directory of the source tree. In addition to the commands of testscript,
// a scenario can use these:
//
//	deploy [NAME]...                  start the fixture's deployment, without the named processes
//	start NAME PROGRAM ARG...         start a process without waiting for its end
//	signal NAME SIGNAL                send SIGKILL, SIGSTOP, SIGCONT, SIGTERM or SIGINT
//	terminate NAME...                 send SIGTERM and wait until the processes end with exit code 0
//	exited NAME CODE                  fail unless the process has ended with this exit code
//	log NAME PATTERN                  fail unless the output of the process matches the pattern
//	waitready ADDRESS|URL...          wait until each accepts connections or responds with success
//	run PROGRAM ARG...                run a program and wait for its end with exit code 0
//	http [OPTION]... METHOD URL [BODY|@FILE]
//	fault ADDRESS JSON                set the faults of a stand-in
//	stat ADDRESS|URL FIELD OPERATOR VALUE
//	eventually DURATION COMMAND...    run one of these commands repeatedly until it succeeds
//	always DURATION COMMAND...        run a command repeatedly; it must succeed each time
//	match PATTERN COMMAND...          run a command and fail unless its output matches the pattern
//	background NAME COMMAND...        run a command concurrently with the script
//	join NAME                         wait for a background command; return its output and error
//	sleep DURATION                    wait
//	expand FILE...                    replace ${NAME} in files by the variables of the script
//	capture NAME PATTERN              set a variable to the first group of a match in the last output
//	record FILE COMMAND...            run a command and append its output to a file
//	mask FILE PATTERN TEXT            replace all matches of a pattern in a file by a text
//	certify AUTHORITY NAME...         create a certificate authority and certificates that it signs
//	store FILE ADDRESS                start a stand-in of the platform's store with the objects of a file, for the instance
//	                                  with that operators' listener
//	client stream|whole|models ADDRESS KEY [MODEL PROMPT]
//
// At the end of a script its processes are killed, and the script fails if a log shows a data race or a crash. The
// command deploy also sets the environment variables by which toucanctl finds the deployment.
package scenario

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/toucanroute/toucanroute/standin/port"
)

// portsPerScript is the number of ports that are reserved for each script, and so of the addresses $P0, $P1 and so on.
const portsPerScript = 40

// binaries are the packages that are built for the scenarios with the race detector enabled.
var binaries = []string{"./cmd/toucanrouted", "./cmd/toucanctl", "./tools/standin", "./tools/demo"}

// binDir is the directory of the binaries.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runWithBinaries(m))
}

// runWithBinaries builds the binaries and runs the tests with their directory in PATH.
func runWithBinaries(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scenario-bin")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := build(dir); err != nil {
		fmt.Fprintln(os.Stderr, "build for scenarios:", err)
		return 1
	}
	binDir = dir
	path := dir + string(filepath.ListSeparator) + os.Getenv("PATH")
	if err := os.Setenv("PATH", path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// build builds the binaries and writes them to dir.
func build(dir string) error {
	args := append([]string{"build", "-race", "-buildvcs=false", "-o", dir + "/"}, binaries...)
	cmd := exec.CommandContext(context.Background(), "go", args...)
	cmd.Dir = ".."
	cmd.Stdout = os.Stderr
	cmd.Stderr = os.Stderr
	return cmd.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds:                scriptCommands(),
	})
}

// setup reserves the addresses of a script, sets its variables and creates its session.
func setup(env *testscript.Env) error {
	block, err := port.Reserve()
	if err != nil {
		return err
	}
	env.Defer(block.Release)
	root, err := filepath.Abs("..")
	if err != nil {
		return err
	}
	for i := range portsPerScript {
		env.Setenv(fmt.Sprintf("P%d", i), block.Address(i))
		env.Setenv(fmt.Sprintf("N%d", i), strconv.Itoa(block.Port(i)))
	}
	env.Setenv("BIN", binDir)
	env.Setenv("ROOT", root)
	if err := addFixture(env); err != nil {
		return err
	}
	env.Setenv("GORACE", "atexit_sleep_ms=0")
	s := newSession(env)
	env.Values[sessionKey{}] = s
	env.Defer(s.cleanup)
	return nil
}
