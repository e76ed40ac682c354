package main

import "github.com/jessevdk/go-flags"

// addCommands adds each subcommand, one line a file.
func addCommands(_ *flags.Parser) {
}
