package main

import (
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/request/timeline"
)

// explainCommand prints the timeline of one request from the logs of instances.
type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"true"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

func addExplain(parser *flags.Parser) {
	_, err := parser.AddCommand("explain", "Explain what happened to a request",
		"Merges the log lines of one request from several instances in the order of time, together with the changes that "+
			"its instance logged about backend servers meanwhile, and explains the result. Lines of the request are marked *.", &explainCommand{})
	mustAdd(err)
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute(_ []string) error {
	logs := make([]timeline.Log, 0, len(c.Args.Files))
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return errExit{exitUsage, err}
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, timeline.Log{Source: filepath.Base(name), Reader: f})
	}
	result, err := timeline.Find(c.Args.ID, logs)
	if err != nil {
		return err
	}
	return result.Write(os.Stdout)
}
