package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/standin/instances"
	"github.com/toucanroute/toucanroute/standin/intake"
	"github.com/toucanroute/toucanroute/standin/objectapi"
	"github.com/toucanroute/toucanroute/standin/ordering"
)

// addCommands adds a subcommand for each stand-in.
func addCommands(parser *flags.Parser, a *app) {
	add := func(name, short string, command any) {
		if _, err := parser.AddCommand(name, short, "", command); err != nil {
			panic(err)
		}
	}
	add("objectapi", "the platform's object API", &objectAPICommand{app: a})
	add("engine", "one or more model engines", &engineCommand{app: a})
	add("service", "one or more plain services", &serviceCommand{app: a})
	add("ordering", "the interface that orders backend servers", &orderingCommand{app: a})
	add("intake", "the usage intake", &intakeCommand{app: a})
	add("instances", "the list of instances", &instancesCommand{app: a})
	add("relay", "a TCP relay whose connections can be cut, stalled or slowed down", &relayCommand{app: a})
}

// objectAPICommand runs the stand-in of the platform's object API.
type objectAPICommand struct {
	app *app

	Listen  string  `long:"listen" value-name:"IP:PORT" required:"yes" description:"address to listen on"`
	Writes  float64 `long:"writes-per-second" description:"maximum writes per second; 0 is unlimited"`
	Reads   float64 `long:"reads-per-second" description:"maximum reads per second; 0 is unlimited"`
	History int     `long:"history" default:"1024" description:"number of watch events kept for each kind of object"`
}

// Execute runs the stand-in until a signal.
func (c *objectAPICommand) Execute([]string) error {
	s := &objectapi.Server{
		Address:         c.Listen,
		OnListen:        c.app.ready,
		WritesPerSecond: c.Writes,
		ReadsPerSecond:  c.Reads,
		History:         c.History,
	}
	return s.Run(c.app.ctx)
}

// orderingCommand runs the stand-in of the ordering interface, through which backend servers are started and stopped.
type orderingCommand struct {
	app *app

	Listen       string        `long:"listen" value-name:"IP:PORT" required:"yes" description:"address to listen on"`
	Servers      string        `long:"servers" value-name:"FILE" description:"JSON file with the initial list of servers"`
	StartDelay   time.Duration `long:"start-delay" default:"500ms" description:"time until a server runs after its start order was accepted"`
	IgnoreFences bool          `long:"ignore-fences" description:"accept orders with an old fencing token"`
}

// Execute runs the stand-in until a signal.
func (c *orderingCommand) Execute([]string) error {
	s := &ordering.Server{
		Address:      c.Listen,
		OnListen:     c.app.ready,
		StartDelay:   c.StartDelay,
		IgnoreFences: c.IgnoreFences,
	}
	if c.Servers != "" {
		data, err := os.ReadFile(c.Servers)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(data, &s.Entries); err != nil {
			return err
		}
	}
	return s.Run(c.app.ctx)
}

// intakeCommand runs the stand-in of the usage intake, which receives usage reports.
type intakeCommand struct {
	app *app

	Listen string `long:"listen" value-name:"IP:PORT" required:"yes" description:"address to listen on"`
}

// Execute runs the stand-in until a signal.
func (c *intakeCommand) Execute([]string) error {
	s := &intake.Server{Address: c.Listen, OnListen: c.app.ready}
	return s.Run(c.app.ctx)
}

// instancesCommand runs the stand-in of the platform's list of instances.
type instancesCommand struct {
	app *app

	Listen string        `long:"listen" value-name:"IP:PORT" required:"yes" description:"address to listen on"`
	File   string        `long:"file" value-name:"FILE" description:"JSON file with the initial list of instances"`
	Lag    time.Duration `long:"lag" default:"0s" description:"delay with which changes of the list become visible"`
}

// Execute runs the stand-in until a signal.
func (c *instancesCommand) Execute([]string) error {
	s := &instances.Server{Address: c.Listen, OnListen: c.app.ready, File: c.File, Lag: c.Lag}
	return s.Run(c.app.ctx)
}
