package main

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/version/questionnaire"
	"github.com/toucanroute/toucanroute/wire"
)

// questionnaireArg is the questionnaire that a command reads.
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

// checkCommand checks a questionnaire.
type checkCommand struct {
	outputOptions
	questionnaireArg
}

// checkAnswer is the JSON form of the command's answer.
type checkAnswer struct {
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

// Execute runs the command.
func (c *checkCommand) Execute(_ []string) error {
	cfg, err := c.generate()
	if err != nil {
		return err
	}
	answer := checkAnswer{
		Deployment: cfg.Deployment,
		Classes:    len(cfg.Classes),
		Workspaces: len(cfg.Workspaces),
		Routes:     len(cfg.Routes),
		Servers:    len(cfg.Servers),
	}
	return c.print(answer, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: no faults; %d classes, %d workspaces, %d routes, %d backend servers\n",
			c.Args.File, answer.Classes, answer.Workspaces, answer.Routes, answer.Servers)
	})
}
