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

// keyCommand holds the subcommands that grant, withdraw and list API keys.
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

// workspaceArg is the positional argument of a command on the keys of a workspace.
type workspaceArg struct {
	Workspace string `positional-arg-name:"WORKSPACE"`
}

// keyGrantCommand grants a new key to a workspace.
type keyGrantCommand struct {
	outputOptions
	objectAPIOptions
	instanceOptions
	Classes []string     `long:"class" value-name:"NAME" description:"class that the key may use; repeat for each; all classes of the workspace if none is given"`
	Args    workspaceArg `positional-args:"yes" required:"yes"`
}

// keyGrantOutput is the JSON output of the command.
type keyGrantOutput struct {
	operator.GrantedKey
	InForce []operator.InForce `json:"in_force"`
}

// Execute implements flags.Commander.
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
	inForce, waitErr := c.waitFor(operator.KeyringAtLeast(granted.Workspace, granted.Version))
	err = c.print(keyGrantOutput{granted, inForce}, func(w io.Writer) {
		writeRow(w, "KEY", granted.Key)
		writeRow(w, "ID", granted.ID)
		writeRow(w, "WORKSPACE", granted.Workspace)
		writeRow(w, "CLASSES", joinOr(granted.Classes, "all of the workspace's"))
		writeRow(w)
		writeInForce(w, inForce)
	})
	return errors.Join(err, waitErr)
}

// keyWithdrawCommand withdraws some or all keys of a workspace.
type keyWithdrawCommand struct {
	outputOptions
	objectAPIOptions
	instanceOptions
	All  bool `long:"all" description:"withdraw all keys of the workspace"`
	Args struct {
		Workspace string   `positional-arg-name:"WORKSPACE" required:"yes"`
		IDs       []string `positional-arg-name:"ID"`
	} `positional-args:"yes"`
}

// keyWithdrawOutput is the JSON output of the command.
type keyWithdrawOutput struct {
	operator.WithdrawnKeys
	InForce []operator.InForce `json:"in_force"`
}

// errKeySelection reports that neither or both of key ids and --all were given.
type errKeySelection struct{}

func (errKeySelection) Error() string { return "either ids of keys or --all is needed" }

// Execute implements flags.Commander.
func (c *keyWithdrawCommand) Execute(_ []string) error {
	if c.All == (len(c.Args.IDs) > 0) {
		return errExit{exitUsage, errKeySelection{}}
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
	inForce, waitErr := c.waitFor(operator.KeyringAtLeast(withdrawn.Workspace, withdrawn.Version))
	err = c.print(keyWithdrawOutput{withdrawn, inForce}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "withdrawn of %s: %s\n", withdrawn.Workspace, joinOr(withdrawn.IDs, "none"))
		writeInForce(w, inForce)
	})
	return errors.Join(err, waitErr)
}

// keyListCommand lists the keys of one or all workspaces.
type keyListCommand struct {
	outputOptions
	objectAPIOptions
	Args workspaceArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
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
		writeRow(w, "WORKSPACE", "ID", "CLASSES", "GRANTED", "BY", "WITHDRAWN", "BY")
		for _, k := range keyrings {
			for _, e := range k.Keys {
				writeKey(w, k.Workspace, e)
			}
		}
	})
}

func writeKey(w io.Writer, workspace string, e wire.KeyEntry) {
	writeRow(w, workspace, e.Id, joinOr(e.Classes, "all"), formatTime(e.GrantedAtMs), cmp.Or(e.GrantedBy, "-"),
		formatTime(e.WithdrawnAtMs), cmp.Or(e.WithdrawnBy, "-"))
}
