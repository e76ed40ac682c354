package main

import "github.com/jessevdk/go-flags"

// addCommands adds each subcommand, one line a file.
func addCommands(parser *flags.Parser) {
	addArrivals(parser)
	addBurn(parser)
	addLoad(parser)
	addStatus(parser)
}
