package main

import (
	"fmt"
	"io"
	"os"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/version/questionnaire"
	"github.com/toucanroute/toucanroute/wire"
)

// editOptions are those of a command that changes a questionnaire.
type editOptions struct {
	outputOptions
	As string `long:"as" value-name:"NAME" description:"operator who makes the change; $USER where it isn't given"`
}

// editArgs are the questionnaire and the entry that a command changes.
type editArgs struct {
	File string `positional-arg-name:"QUESTIONNAIRE"`
	Name string `positional-arg-name:"NAME"`
}

// editAnswer is the JSON form of the answer to a change of a questionnaire.
type editAnswer struct {
	File   string `json:"file"`
	List   string `json:"list"`
	Name   string `json:"name"`
	Action string `json:"action"`
	// InForce is false: the change is in force once the questionnaire is applied.
	InForce bool `json:"in_force"`
}

// add adds an answer to a list.
func (o editOptions) add(args editArgs, list string, answer any) error {
	if err := questionnaire.Add(args.File, list, answer); err != nil {
		return err
	}
	return o.done(args, list, "added")
}

// remove removes an answer from a list.
func (o editOptions) remove(args editArgs, list string) error {
	if err := questionnaire.Remove(args.File, list, args.Name); err != nil {
		return err
	}
	return o.done(args, list, "removed")
}

func (o editOptions) done(args editArgs, list, action string) error {
	newLog(os.Stderr).Info("operator_action", zap.String("operator", operatorName(o.As)), zap.String("action", action),
		zap.String("file", args.File), zap.String("list", list), zap.String("name", args.Name))
	answer := editAnswer{File: args.File, List: list, Name: args.Name, Action: action}
	return o.print(answer, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s in %s of %s: %s\nnot in force yet; to apply it: toucanctl apply %s\n",
			action, list, args.File, args.Name, args.File)
	})
}

// listOptions are those of a command that lists answers of a questionnaire or of the accepted configuration.
type listOptions struct {
	outputOptions
	objectOptions
	Args struct {
		File string `positional-arg-name:"QUESTIONNAIRE" description:"questionnaire to list; the accepted configuration where it isn't given"`
	} `positional-args:"yes"`
}

// config returns the configuration to list.
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
