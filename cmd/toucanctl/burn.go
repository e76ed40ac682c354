package main

import (
	"encoding/json"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/process/burn"
	"github.com/toucanroute/toucanroute/wire"
)

// burnCommand prints how fast a deployment uses up the error budgets of its service levels.
type burnCommand struct {
	Instances []string `long:"instance" env:"TOUCAN_INSTANCES" env-delim:"," value-name:"ADDR" description:"address of an instance's operators' listener; repeat for each, or separate by commas" required:"true"`
	JSON      bool     `long:"json" description:"print as JSON"`
	HTML      string   `long:"html" description:"write plots to this file"`
}

func addBurn(parser *flags.Parser) {
	_, err := parser.AddCommand("burn", "Show the service-level burn",
		"Adds up the counts of the instances and shows, by class, data centre and workspace, the error budget left, the "+
			"burn over 5 minutes and 1 hour and its causes. Instances that do not answer are named.", &burnCommand{})
	mustAdd(err)
}

// Execute implements flags.Commander.
func (c *burnCommand) Execute(_ []string) error {
	counts, missing := fetchAll[wire.Burn](splitAddresses(c.Instances), "/burn")
	summary := burn.Summarize(counts, missing)
	if c.HTML != "" {
		if err := writeFile(c.HTML, summary.HTML); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(summary)
	}
	return summary.Table(os.Stdout)
}
