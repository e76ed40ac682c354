package main

import "github.com/jessevdk/go-flags"

// addCommands adds all subcommands; each is defined in a file of its own.
func addCommands(parser *flags.Parser) {
	addApply(parser)
	addArrivals(parser)
	addBurn(parser)
	addCheck(parser)
	addClass(parser)
	addDiff(parser)
	addEvacuation(parser)
	addExplain(parser)
	addGenerate(parser)
	addKey(parser)
	addLoad(parser)
	addMetrics(parser)
	addQuarantine(parser)
	addReference(parser)
	addReview(parser)
	addRoute(parser)
	addStatus(parser)
	addStop(parser)
	addWorkspace(parser)
}
