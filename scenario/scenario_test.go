// Package scenario runs scripted scenarios of separate processes: the daemon, its command, the demo and the stand-ins.
//
// A scenario is a testscript file in testdata. $P0 to $P39 are free addresses, $N0 to $N39 their port numbers, $BIN
// the directory of the binaries and $ROOT that of the source tree. Beside testscript's own commands it has these:
//
//	deploy [NAME]...                  start the fixture's deployment without the named processes
//	start NAME PROGRAM ARG...         start a process that goes on
//	signal NAME SIGNAL                send SIGKILL, SIGSTOP, SIGCONT, SIGTERM or SIGINT
//	terminate NAME...                 send SIGTERM and wait for the ends with exit code 0
//	exited NAME CODE                  has ended with the code
//	log NAME PATTERN                  has written a match to its log
//	waitready ADDRESS|URL...          wait until it takes connections or answers with success
//	run PROGRAM ARG...                run a program to its end
//	http [OPTION]... METHOD URL [BODY|@FILE]
//	fault ADDRESS JSON                set faults of a stand-in
//	stat ADDRESS|URL FIELD OPERATOR VALUE
//	eventually DURATION COMMAND...    run one of these commands until it succeeds
//	always DURATION COMMAND...        run it again and again; it must succeed each time
//	match PATTERN COMMAND...          run it and look for a match in its output
//	background NAME COMMAND...        run it beside the script
//	join NAME                         wait for it, with its output and failure
//	sleep DURATION                    wait
//	expand FILE...                    replace ${NAME} in files
//	capture NAME PATTERN              set a variable to the first group of a match in the last output
//
// At its end a script kills what it started, and fails if a log shows a data race or a crash. After deploy, toucanctl
// finds the deployment by its environment.
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

// portsPerScript is the number of addresses that a script gets.
const portsPerScript = 40

// binaries are the packages built for the scenarios, with the race detector.
var binaries = []string{"./cmd/toucanrouted", "./cmd/toucanctl", "./tools/standin", "./tools/demo"}

// binDir is where the binaries are.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runWithBinaries(m))
}

// runWithBinaries runs the tests with the binaries on PATH.
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

// build writes the binaries to dir.
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

// setup gives a script its addresses and its session.
func setup(env *testscript.Env) error {
	block, err := port.Reserve()
	if err != nil {
		return err
	}
	env.Defer(block.Free)
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
	env.Defer(s.end)
	return nil
}
