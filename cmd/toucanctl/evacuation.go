package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/cmd/toucanctl/operator"
	"github.com/toucanroute/toucanroute/platform"
	client "github.com/toucanroute/toucanroute/process/platform"
)

// evacuationCommand holds the subcommands that list, begin and end evacuations of data centres.
type evacuationCommand struct {
	List  evacuationListCommand  `command:"list" description:"List the data centres and their evacuations"`
	Begin evacuationBeginCommand `command:"begin" description:"Evacuate a data centre: its backend servers get no requests"`
	End   evacuationEndCommand   `command:"end" description:"End the evacuation of a data centre"`
}

func addEvacuation(parser *flags.Parser) {
	_, err := parser.AddCommand("evacuation", "List, begin and end evacuations of data centres",
		"The backend servers of an evacuated data centre get no requests until the evacuation ends; running requests end whole.", &evacuationCommand{})
	mustAdd(err)
}

// storeOptions holds the options of a command that calls the platform's store, from which forwarding instances read.
type storeOptions struct {
	Store   string        `long:"store" env:"TOUCAN_STORE" value-name:"ADDR" description:"IP address and port of the platform's store"`
	Timeout time.Duration `long:"timeout" default:"20s" description:"longest time for all calls to the store together"`
	As      string        `long:"as" value-name:"NAME" description:"operator who makes the change; $USER if not given"`
}

// errNoStore reports that the command needs the store's address and none was given.
type errNoStore struct{}

func (errNoStore) Error() string {
	return "the address of the platform's store is needed: --store ADDR or TOUCAN_STORE"
}

// evacuations returns the evacuations in the store and a context with the timeout for all calls.
func (o storeOptions) evacuations() (*operator.Evacuations, context.Context, context.CancelFunc, error) {
	if o.Store == "" {
		return nil, nil, nil, errExit{exitUsage, errNoStore{}}
	}
	store := &platform.Store{Client: &client.Client{BaseURL: "http://" + o.Store}}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	return &operator.Evacuations{
		Writer: &operator.Writer{Objects: store.Objects(), Log: newLog(os.Stderr), Operator: operatorName(o.As)},
		Kind:   platform.EvacuationKind, ServerKind: platform.ServerKind, ParseServerEntry: platform.ParseServerEntry,
	}, ctx, cancel, nil
}

// evacuationListCommand lists the data centres that have backend servers or an evacuation.
type evacuationListCommand struct {
	outputOptions
	storeOptions
}

// Execute implements flags.Commander.
func (c *evacuationListCommand) Execute(_ []string) error {
	evacuations, ctx, cancel, err := c.evacuations()
	if err != nil {
		return err
	}
	defer cancel()
	list, err := evacuations.List(ctx)
	if err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) {
		writeRow(w, "DATA CENTRE", "SERVERS", "EVACUATED", "SINCE", "OPERATOR")
		for _, dc := range list {
			writeRow(w, dc.Name, dc.Servers, yesNo(dc.Evacuated), formatTime(dc.Record.AtMs), cmp.Or(dc.Record.Operator, "-"))
		}
	})
}

// dataCentreArg is the positional argument of a command on one data centre.
type dataCentreArg struct {
	DataCentre string `positional-arg-name:"DATA-CENTRE"`
}

// evacuationOutput is the JSON output of the begin and end commands.
type evacuationOutput struct {
	DataCentre string             `json:"data_centre"`
	Evacuated  bool               `json:"evacuated"`
	InForce    []operator.InForce `json:"in_force"`
}

// evacuationBeginCommand evacuates a data centre.
type evacuationBeginCommand struct {
	outputOptions
	storeOptions
	instanceOptions
	Args dataCentreArg `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *evacuationBeginCommand) Execute(_ []string) error {
	evacuations, ctx, cancel, err := c.evacuations()
	if err != nil {
		return err
	}
	defer cancel()
	if err := evacuations.Begin(ctx, c.Args.DataCentre); err != nil {
		return err
	}
	return c.printEvacuation(c.instanceOptions, c.Args.DataCentre, true)
}

// evacuationEndCommand ends the evacuation of a data centre.
type evacuationEndCommand struct {
	outputOptions
	storeOptions
	instanceOptions
	Args dataCentreArg `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *evacuationEndCommand) Execute(_ []string) error {
	evacuations, ctx, cancel, err := c.evacuations()
	if err != nil {
		return err
	}
	defer cancel()
	if err := evacuations.End(ctx, c.Args.DataCentre); err != nil {
		return err
	}
	return c.printEvacuation(c.instanceOptions, c.Args.DataCentre, false)
}

// printEvacuation waits until a change is in force at the instances that were given, and prints it.
func (o outputOptions) printEvacuation(instances instanceOptions, dataCentre string, evacuated bool) error {
	inForce, waitErr := instances.waitFor(operator.Evacuated(dataCentre, evacuated))
	output := evacuationOutput{DataCentre: dataCentre, Evacuated: evacuated, InForce: inForce}
	return errors.Join(o.print(output, func(w io.Writer) {
		state := "has ended"
		if evacuated {
			state = "has begun"
		}
		_, _ = fmt.Fprintf(w, "the evacuation of %s %s\n", dataCentre, state)
		writeInForce(w, inForce)
	}), waitErr)
}
