package main

import (
	"fmt"
	"io"
	"os"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/version/questionnaire"
	"github.com/toucanroute/toucanroute/wire"
)

// editOptions holds the options of a command that edits a questionnaire.
type editOptions struct {
	outputOptions
	As string `long:"as" value-name:"NAME" description:"operator who makes the change; $USER if not given"`
}

// editArgs holds the positional arguments: the questionnaire and the name of the entry to add or remove.
type editArgs struct {
	File string `positional-arg-name:"QUESTIONNAIRE"`
	Name string `positional-arg-name:"NAME"`
}

// editOutput is the JSON output of a command that edits a questionnaire.
type editOutput struct {
	File   string `json:"file"`
	List   string `json:"list"`
	Name   string `json:"name"`
	Action string `json:"action"`
	// InForce is always false, since the change comes into force only when the questionnaire is applied.
	InForce bool `json:"in_force"`
}

// add adds an entry to a list of the questionnaire.
func (o editOptions) add(args editArgs, list string, entry any) error {
	if err := questionnaire.Add(args.File, list, entry); err != nil {
		return err
	}
	return o.report(args, list, "added")
}

// remove removes an entry from a list of the questionnaire.
func (o editOptions) remove(args editArgs, list string) error {
	if err := questionnaire.Remove(args.File, list, args.Name); err != nil {
		return err
	}
	return o.report(args, list, "removed")
}

// report logs and prints a change of the questionnaire.
func (o editOptions) report(args editArgs, list, action string) error {
	newLog(os.Stderr).Info("operator_action", zap.String("operator", operatorName(o.As)), zap.String("action", action),
		zap.String("file", args.File), zap.String("list", list), zap.String("name", args.Name))
	output := editOutput{File: args.File, List: list, Name: args.Name, Action: action}
	return o.print(output, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s in %s of %s: %s\nnot in force yet; to apply it: toucanctl apply %s\n",
			action, list, args.File, args.Name, args.File)
	})
}

// listOptions holds the options of a command that lists entries of a questionnaire or of the accepted configuration.
type listOptions struct {
	outputOptions
	objectAPIOptions
	Args struct {
		File string `positional-arg-name:"QUESTIONNAIRE" description:"questionnaire to list; the accepted configuration if not given"`
	} `positional-args:"yes"`
}

// config returns the configuration to list: the questionnaire's if a file is given, else the accepted one.
func (o listOptions) config() (*wire.Config, error) {
	if o.Args.File != "" {
		q, err := questionnaire.Load(o.Args.File)
		if err != nil {
			return nil, err
		}
		return questionnaire.Generate(q)
	}
	writer, ctx, cancel, err := o.writer()
	if err != nil {
		return nil, err
	}
	defer cancel()
	_, cfg, err := writer.Head(ctx)
	if err != nil {
		return nil, err
	}
	if cfg == nil {
		return &wire.Config{Classes: []wire.Class{}, Workspaces: []wire.Workspace{}, Routes: []wire.Route{}}, nil
	}
	return cfg, nil
}
