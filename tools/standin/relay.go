package main

import (
	"fmt"
	"strings"

	"github.com/toucanroute/toucanroute/standin/relay"
)

// routeFields is the number of comma-separated fields of a --route value.
const routeFields = 3

// relayCommand runs a TCP relay that tests use to cut, stall or slow down connections.
type relayCommand struct {
	app *app

	Listen string   `long:"listen" value-name:"IP:PORT" required:"yes" description:"address of the relay's admin interface"`
	Route  []string `long:"route" value-name:"NAME,LISTEN,TARGET" required:"yes" description:"forward connections to LISTEN to TARGET"`
}

// Execute runs the relay until a signal.
func (c *relayCommand) Execute([]string) error {
	s := &relay.Server{Address: c.Listen, OnListen: c.app.ready}
	for _, text := range c.Route {
		fields := strings.Split(text, ",")
		if len(fields) != routeFields {
			return fmt.Errorf("--route %s: want NAME,LISTEN,TARGET", text)
		}
		s.Routes = append(s.Routes, relay.Route{Name: fields[0], Listen: fields[1], Target: fields[2]})
	}
	return s.Run(c.app.ctx)
}
