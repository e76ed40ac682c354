package main

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/version/config"
)

// diffCommand shows what apply would change.
type diffCommand struct {
	outputOptions
	objectOptions
	questionnaireArg
}

// diffAnswer is the JSON form of the command's answer.
type diffAnswer struct {
	// Version is the accepted version that the changes start from; 0 is none.
	Version int             `json:"version"`
	Changes []config.Change `json:"changes"`
}

func addDiff(parser *flags.Parser) {
	_, err := parser.AddCommand("diff", "Show what applying a questionnaire would change",
		"Compares the accepted configuration with the one that the questionnaire generates: + added, - removed, ~ changed. "+
			"Nothing is applied.", &diffCommand{})
	mustAdd(err)
}

// Execute runs the command.
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
	head, before, err := writer.Head(ctx)
	if err != nil {
		return err
	}
	answer := diffAnswer{}
	if head != nil {
		answer.Version = head.Version
	}
	if answer.Changes, err = config.Diff(before, cfg); err != nil {
		return err
	}
	return c.print(answer, func(w io.Writer) {
		writeChanges(w, answer.Changes)
		_, _ = fmt.Fprintf(w, "%d changes against version %d; to apply just these: apply --base %d\n",
			len(answer.Changes), answer.Version, answer.Version)
	})
}

func writeChanges(w io.Writer, changes []config.Change) {
	for _, change := range changes {
		_, _ = fmt.Fprintln(w, change)
	}
}
