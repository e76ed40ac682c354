// Command toucanctl is the command-line tool for operators and testers: it applies configurations, manages keys and
// planned stops, shows the state of instances and replays loads.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/cmd/toucanctl/operator"
)

// Exit codes of toucanctl.
const (
	exitFailed = 1
	exitUsage  = 2
	// exitConflict means that another operator's configuration was applied first.
	exitConflict = 3
	// exitNotInForce means that a change was accepted but was not in force at all instances in time.
	exitNotInForce = 4
)

// errExit wraps an error with the exit code of the process.
type errExit struct {
	code  int
	cause error
}

func (e errExit) Error() string { return e.cause.Error() }

// Unwrap returns the wrapped error.
func (e errExit) Unwrap() error { return e.cause }

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses args, runs the subcommand and returns the exit code of the process.
func run(args []string) int {
	parser := flags.NewNamedParser("toucanctl", flags.HelpFlag|flags.PassDoubleDash|flags.PrintErrors)
	parser.LongDescription = "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 another operator was first, 4 not in force everywhere in time."
	addTLSOptions(parser)
	addCommands(parser)
	_, err := parser.ParseArgs(args)
	if err == nil {
		return 0
	}
	return exitCode(err)
}

// exitCode returns the exit code for an error of a subcommand or of the command line.
func exitCode(err error) int {
	var exit errExit
	var flagErr *flags.Error
	switch {
	case errors.As(err, &exit):
		return exit.code
	case operator.IsErrConflict(err):
		return exitConflict
	case operator.IsErrNotInForce(err):
		return exitNotInForce
	case !errors.As(err, &flagErr):
		return exitFailed
	case flagErr.Type == flags.ErrHelp:
		return 0
	}
	return exitUsage
}
