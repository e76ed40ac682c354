package main

import (
	"encoding/json"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/process/burn"
	"github.com/toucanroute/toucanroute/wire"
)

// burnCommand prints the service-level burn of a deployment.
type burnCommand struct {
	Instances []string `long:"instance" env:"TOUCAN_INSTANCES" env-delim:"," value-name:"ADDR" description:"operators' address of an instance; repeat for each, or separate by commas" required:"true"`
	JSON      bool     `long:"json" description:"print as JSON"`
	HTML      string   `long:"html" description:"write plots to this file"`
}

func addBurn(parser *flags.Parser) {
	_, err := parser.AddCommand("burn", "Show the service-level burn",
		"Adds up the counts of the instances: error budget left, burn over 5 minutes and 1 hour and what burned it, by "+
			"class, data centre and workspace. Instances that do not answer are named.", &burnCommand{})
	mustAdd(err)
}

// Execute runs the command.
func (c *burnCommand) Execute(_ []string) error {
	answers, missing := fetchAll[wire.Burn](split(c.Instances), "/burn")
	s := burn.Summarize(answers, missing)
	if c.HTML != "" {
		if err := writeFile(c.HTML, s.HTML); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	return s.Table(os.Stdout)
}
