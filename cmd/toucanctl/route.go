package main

import (
	"cmp"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/version/questionnaire"
	"github.com/toucanroute/toucanroute/wire"
)

// routeCommand holds the subcommands that list and edit routes.
type routeCommand struct {
	List   routeListCommand   `command:"list" description:"List routes"`
	Add    routeAddCommand    `command:"add" description:"Add a route to a questionnaire"`
	Remove routeRemoveCommand `command:"remove" description:"Remove a route from a questionnaire"`
}

func addRoute(parser *flags.Parser) {
	_, err := parser.AddCommand("route", "List, add and remove routes",
		"Routes are entries of the questionnaire: add and remove edit the file and keep its comments; apply puts the "+
			"change in force.", &routeCommand{})
	mustAdd(err)
}

// routeListCommand lists the routes of a questionnaire or of the accepted configuration.
type routeListCommand struct {
	listOptions
}

// Execute implements flags.Commander.
func (c *routeListCommand) Execute(_ []string) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	return c.print(cfg.Routes, func(w io.Writer) {
		writeRow(w, "ROUTE", "KIND", "TO", "CLASS", "OPEN TO ALL", "COUNTED TO", "CALLS")
		for _, r := range cfg.Routes {
			writeRow(w, r.Name, r.Kind, r.Pool, r.Class, yesNo(r.Open), cmp.Or(r.OpenWorkspace, "-"), len(r.Methods))
		}
	})
}

// routeAddCommand adds a route to a questionnaire.
type routeAddCommand struct {
	editOptions
	Model     string   `long:"model" value-name:"NAME" description:"model behind the route; give this or --service"`
	Service   string   `long:"service" value-name:"NAME" description:"service behind the route; give this or --model"`
	Class     string   `long:"class" value-name:"NAME" required:"yes" description:"class of a request that doesn't name one"`
	OpenToAll bool     `long:"open-to-all" description:"requests need no key"`
	CountedTo string   `long:"counted-to" value-name:"WORKSPACE" description:"workspace on whose account requests without a key are counted"`
	Args      editArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *routeAddCommand) Execute(_ []string) error {
	return c.add(c.Args, questionnaire.Routes, wire.RouteAnswer{
		Name:      c.Args.Name,
		Model:     c.Model,
		Service:   c.Service,
		Class:     c.Class,
		OpenToAll: c.OpenToAll,
		CountedTo: c.CountedTo,
	})
}

// routeRemoveCommand removes a route from a questionnaire.
type routeRemoveCommand struct {
	editOptions
	Args editArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *routeRemoveCommand) Execute(_ []string) error {
	return c.remove(c.Args, questionnaire.Routes)
}
