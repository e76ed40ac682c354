package main

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/version/questionnaire"
	"github.com/toucanroute/toucanroute/wire"
)

// questionnaireArg is the positional argument of a command that reads a questionnaire.
type questionnaireArg struct {
	Args struct {
		File string `positional-arg-name:"QUESTIONNAIRE" description:"file of answers, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

// generate reads the questionnaire and generates its configuration.
func (a questionnaireArg) generate() (*wire.Config, error) {
	q, err := questionnaire.Load(a.Args.File)
	if err != nil {
		return nil, err
	}
	return questionnaire.Generate(q)
}

// checkCommand checks a questionnaire without applying it.
type checkCommand struct {
	outputOptions
	questionnaireArg
}

// checkOutput is the JSON output of the command.
type checkOutput struct {
	Deployment string `json:"deployment"`
	Classes    int    `json:"classes"`
	Workspaces int    `json:"workspaces"`
	Routes     int    `json:"routes"`
	Servers    int    `json:"servers"`
}

func addCheck(parser *flags.Parser) {
	_, err := parser.AddCommand("check", "Check a questionnaire",
		"Reads the questionnaire and reports each fault with its file, line, column and field, what was found and what is "+
			"allowed. Nothing is applied.", &checkCommand{})
	mustAdd(err)
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute(_ []string) error {
	cfg, err := c.generate()
	if err != nil {
		return err
	}
	output := checkOutput{
		Deployment: cfg.Deployment,
		Classes:    len(cfg.Classes),
		Workspaces: len(cfg.Workspaces),
		Routes:     len(cfg.Routes),
		Servers:    len(cfg.Servers),
	}
	return c.print(output, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: no faults; %d classes, %d workspaces, %d routes, %d backend servers\n",
			c.Args.File, output.Classes, output.Workspaces, output.Routes, output.Servers)
	})
}
