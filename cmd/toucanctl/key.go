package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/cmd/toucanctl/operator"
	"github.com/toucanroute/toucanroute/wire"
)

// keyCommand holds the subcommands on keys.
type keyCommand struct {
	Grant    keyGrantCommand    `command:"grant" description:"Grant a key to a workspace and print it once"`
	Withdraw keyWithdrawCommand `command:"withdraw" description:"Withdraw keys of a workspace"`
	List     keyListCommand     `command:"list" description:"List keys by their ids"`
}

func addKey(parser *flags.Parser) {
	_, err := parser.AddCommand("key", "Grant, withdraw and list keys",
		"Keys are stored as hashes only. A key is printed when it is granted and can't be shown again.", &keyCommand{})
	mustAdd(err)
}

// workspaceArg is the workspace that a command is about.
type workspaceArg struct {
	Workspace string `positional-arg-name:"WORKSPACE"`
}

// keyGrantCommand grants a key.
type keyGrantCommand struct {
	outputOptions
	objectOptions
	instanceOptions
	Classes []string     `long:"class" value-name:"NAME" description:"class that the key may use; repeat for each; all of the workspace's where none is given"`
	Args    workspaceArg `positional-args:"yes" required:"yes"`
}

// keyGrantAnswer is the JSON form of the command's answer.
type keyGrantAnswer struct {
	operator.Granted
	InForce []operator.InForce `json:"in_force"`
}

// Execute runs the command.
func (c *keyGrantCommand) Execute(_ []string) error {
	writer, ctx, cancel, err := c.writer()
	if err != nil {
		return err
	}
	defer cancel()
	granted, err := writer.Grant(ctx, c.Args.Workspace, c.Classes)
	if err != nil {
		return err
	}
	inForce, lacking := c.until(operator.KeyringAt(granted.Workspace, granted.Version))
	err = c.print(keyGrantAnswer{granted, inForce}, func(w io.Writer) {
		row(w, "KEY", granted.Key)
		row(w, "ID", granted.ID)
		row(w, "WORKSPACE", granted.Workspace)
		row(w, "CLASSES", joinOr(granted.Classes, "all of the workspace's"))
		row(w)
		writeInForce(w, inForce)
	})
	return errors.Join(err, lacking)
}

// keyWithdrawCommand withdraws keys.
type keyWithdrawCommand struct {
	outputOptions
	objectOptions
	instanceOptions
	All  bool `long:"all" description:"withdraw all keys of the workspace"`
	Args struct {
		Workspace string   `positional-arg-name:"WORKSPACE" required:"yes"`
		IDs       []string `positional-arg-name:"ID"`
	} `positional-args:"yes"`
}

// keyWithdrawAnswer is the JSON form of the command's answer.
type keyWithdrawAnswer struct {
	operator.Withdrawn
	InForce []operator.InForce `json:"in_force"`
}

// errWhichKeys is the error of a withdrawal that names no keys, or names some and all.
type errWhichKeys struct{}

func (errWhichKeys) Error() string { return "either ids of keys or --all is needed" }

// Execute runs the command.
func (c *keyWithdrawCommand) Execute(_ []string) error {
	if c.All == (len(c.Args.IDs) > 0) {
		return errExit{exitUsage, errWhichKeys{}}
	}
	writer, ctx, cancel, err := c.writer()
	if err != nil {
		return err
	}
	defer cancel()
	withdrawn, err := writer.Withdraw(ctx, c.Args.Workspace, c.Args.IDs)
	if err != nil {
		return err
	}
	inForce, lacking := c.until(operator.KeyringAt(withdrawn.Workspace, withdrawn.Version))
	err = c.print(keyWithdrawAnswer{withdrawn, inForce}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "withdrawn of %s: %s\n", withdrawn.Workspace, joinOr(withdrawn.IDs, "none"))
		writeInForce(w, inForce)
	})
	return errors.Join(err, lacking)
}

// keyListCommand lists keys.
type keyListCommand struct {
	outputOptions
	objectOptions
	Args workspaceArg `positional-args:"yes"`
}

// Execute runs the command.
func (c *keyListCommand) Execute(_ []string) error {
	writer, ctx, cancel, err := c.writer()
	if err != nil {
		return err
	}
	defer cancel()
	keyrings, err := writer.Keyrings(ctx, c.Args.Workspace)
	if err != nil {
		return err
	}
	return c.print(keyrings, func(w io.Writer) {
		row(w, "WORKSPACE", "ID", "CLASSES", "GRANTED", "BY", "WITHDRAWN", "BY")
		for _, k := range keyrings {
			for _, e := range k.Keys {
				writeKey(w, k.Workspace, e)
			}
		}
	})
}

func writeKey(w io.Writer, workspace string, e wire.KeyEntry) {
	row(w, workspace, e.Id, joinOr(e.Classes, "all"), timeOf(e.GrantedAtMs), cmp.Or(e.GrantedBy, "-"),
		timeOf(e.WithdrawnAtMs), cmp.Or(e.WithdrawnBy, "-"))
}
