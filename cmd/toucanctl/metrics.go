package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/process/metrics"
)

// metricsCommand prints the reference page of the metrics.
type metricsCommand struct{}

func addMetrics(parser *flags.Parser) {
	_, err := parser.AddCommand("metrics", "Print the reference page of the metrics",
		"Writes the names, units, labels and meanings of an instance's metrics, as Markdown.", &metricsCommand{})
	mustAdd(err)
}

// Execute implements flags.Commander.
func (*metricsCommand) Execute(_ []string) error {
	fmt.Print(metrics.MarkdownPage())
	return nil
}
