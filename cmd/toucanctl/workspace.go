package main

import (
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/version/questionnaire"
	"github.com/toucanroute/toucanroute/wire"
)

// workspaceCommand holds the subcommands on workspaces.
type workspaceCommand struct {
	List   workspaceListCommand   `command:"list" description:"List workspaces"`
	Add    workspaceAddCommand    `command:"add" description:"Add a workspace to a questionnaire"`
	Remove workspaceRemoveCommand `command:"remove" description:"Remove a workspace from a questionnaire"`
}

func addWorkspace(parser *flags.Parser) {
	_, err := parser.AddCommand("workspace", "List, add and remove workspaces",
		"Workspaces are answers of the questionnaire: add and remove change the file and keep its comments; apply puts the "+
			"change in force.", &workspaceCommand{})
	mustAdd(err)
}

// workspaceListCommand lists workspaces.
type workspaceListCommand struct {
	listOptions
}

// Execute runs the command.
func (c *workspaceListCommand) Execute(_ []string) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	return c.print(cfg.Workspaces, func(w io.Writer) {
		row(w, "WORKSPACE", "CLASSES", "SHARE", "REQUESTS/S", "TOKENS/S")
		for _, s := range cfg.Workspaces {
			row(w, s.Name, joinOr(s.Classes, "none"), orOne(s.Weight), orNoLimit(s.RequestsPerSecond), orNoLimit(s.TokensPerSecond))
		}
	})
}

// workspaceAddCommand adds a workspace.
type workspaceAddCommand struct {
	editOptions
	Classes           []string `long:"class" value-name:"NAME" required:"yes" description:"class that the workspace may use; repeat for each"`
	Share             float64  `long:"share" description:"share against the other workspaces; 1 where it isn't given"`
	RequestsPerSecond float64  `long:"requests-per-second" description:"most requests a second; no limit where it isn't given"`
	TokensPerSecond   float64  `long:"tokens-per-second" description:"most generated tokens a second; no limit where it isn't given"`
	Args              editArgs `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *workspaceAddCommand) Execute(_ []string) error {
	return c.add(c.Args, questionnaire.Workspaces, wire.WorkspaceAnswer{
		Name:              c.Args.Name,
		Classes:           c.Classes,
		Share:             c.Share,
		RequestsPerSecond: c.RequestsPerSecond,
		TokensPerSecond:   c.TokensPerSecond,
	})
}

// workspaceRemoveCommand removes a workspace.
type workspaceRemoveCommand struct {
	editOptions
	Args editArgs `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *workspaceRemoveCommand) Execute(_ []string) error {
	return c.remove(c.Args, questionnaire.Workspaces)
}

func orOne(v float64) float64 {
	if v == 0 {
		return 1
	}
	return v
}

func orNoLimit(v float64) any {
	if v == 0 {
		return "no limit"
	}
	return v
}
