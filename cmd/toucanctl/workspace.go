package main

import (
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/version/questionnaire"
	"github.com/toucanroute/toucanroute/wire"
)

// workspaceCommand holds the subcommands that list and edit workspaces.
type workspaceCommand struct {
	List   workspaceListCommand   `command:"list" description:"List workspaces"`
	Add    workspaceAddCommand    `command:"add" description:"Add a workspace to a questionnaire"`
	Remove workspaceRemoveCommand `command:"remove" description:"Remove a workspace from a questionnaire"`
}

func addWorkspace(parser *flags.Parser) {
	_, err := parser.AddCommand("workspace", "List, add and remove workspaces",
		"Workspaces are entries of the questionnaire: add and remove edit the file and keep its comments; apply puts the "+
			"change in force.", &workspaceCommand{})
	mustAdd(err)
}

// workspaceListCommand lists the workspaces of a questionnaire or of the accepted configuration.
type workspaceListCommand struct {
	listOptions
}

// Execute implements flags.Commander.
func (c *workspaceListCommand) Execute(_ []string) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	return c.print(cfg.Workspaces, func(w io.Writer) {
		writeRow(w, "WORKSPACE", "CLASSES", "SHARE", "REQUESTS/S", "TOKENS/S")
		for _, workspace := range cfg.Workspaces {
			writeRow(w, workspace.Name, joinOr(workspace.Classes, "none"), defaultToOne(workspace.Weight), limitText(workspace.RequestsPerSecond), limitText(workspace.TokensPerSecond))
		}
	})
}

// workspaceAddCommand adds a workspace to a questionnaire.
type workspaceAddCommand struct {
	editOptions
	Classes           []string `long:"class" value-name:"NAME" required:"yes" description:"class that the workspace may use; repeat for each"`
	Share             float64  `long:"share" description:"weight against the other workspaces when capacity is short; 1 if not given"`
	RequestsPerSecond float64  `long:"requests-per-second" description:"largest number of requests per second; no limit if not given"`
	TokensPerSecond   float64  `long:"tokens-per-second" description:"largest number of generated tokens per second; no limit if not given"`
	Args              editArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *workspaceAddCommand) Execute(_ []string) error {
	return c.add(c.Args, questionnaire.Workspaces, wire.WorkspaceAnswer{
		Name:              c.Args.Name,
		Classes:           c.Classes,
		Share:             c.Share,
		RequestsPerSecond: c.RequestsPerSecond,
		TokensPerSecond:   c.TokensPerSecond,
	})
}

// workspaceRemoveCommand removes a workspace from a questionnaire.
type workspaceRemoveCommand struct {
	editOptions
	Args editArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *workspaceRemoveCommand) Execute(_ []string) error {
	return c.remove(c.Args, questionnaire.Workspaces)
}

func defaultToOne(v float64) float64 {
	if v == 0 {
		return 1
	}
	return v
}

func limitText(v float64) any {
	if v == 0 {
		return "no limit"
	}
	return v
}
