package main

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/version/config"
)

// diffCommand shows the changes that apply would make.
type diffCommand struct {
	outputOptions
	objectAPIOptions
	questionnaireArg
}

// diffOutput is the JSON output of the command.
type diffOutput struct {
	// Version is the accepted version with which the questionnaire was compared; 0 if there is none.
	Version int             `json:"version"`
	Changes []config.Change `json:"changes"`
}

func addDiff(parser *flags.Parser) {
	_, err := parser.AddCommand("diff", "Show what applying a questionnaire would change",
		"Compares the accepted configuration with the one that the questionnaire generates: + added, - removed, ~ changed. "+
			"Nothing is applied.", &diffCommand{})
	mustAdd(err)
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute(_ []string) error {
	cfg, err := c.generate()
	if err != nil {
		return err
	}
	writer, ctx, cancel, err := c.writer()
	if err != nil {
		return err
	}
	defer cancel()
	head, accepted, err := writer.Head(ctx)
	if err != nil {
		return err
	}
	output := diffOutput{}
	if head != nil {
		output.Version = head.Version
	}
	if output.Changes, err = config.Diff(accepted, cfg); err != nil {
		return err
	}
	return c.print(output, func(w io.Writer) {
		writeChanges(w, output.Changes)
		_, _ = fmt.Fprintf(w, "%d changes against version %d; to apply just these: apply --base %d\n",
			len(output.Changes), output.Version, output.Version)
	})
}

func writeChanges(w io.Writer, changes []config.Change) {
	for _, change := range changes {
		_, _ = fmt.Fprintln(w, change)
	}
}
