// Package scenario runs scripted scenarios of separate processes: the daemon, its command, the demo and the stand-ins.
//
// A scenario is a testscript file in testdata. Beside testscript's own commands it has those of commands in
// session_test.go. $P0 to $P39 are free addresses, $N0 to $N39 their port numbers,
// $BIN the directory of the binaries and $ROOT that of the source tree.
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
