// Command toucanctl is the operators' and testers' command.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of toucanctl.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses args, runs the subcommand and returns the exit code.
func run(args []string) int {
	parser := flags.NewNamedParser("toucanctl", flags.HelpFlag|flags.PassDoubleDash|flags.PrintErrors)
	addCommands(parser)
	_, err := parser.ParseArgs(args)
	if err == nil {
		return 0
	}
	var flagErr *flags.Error
	if !errors.As(err, &flagErr) {
		return exitFailed
	}
	if flagErr.Type == flags.ErrHelp {
		return 0
	}
	return exitUsage
}
