package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/cmd/toucanctl/operator"
	"github.com/toucanroute/toucanroute/version/config"
)

// applyCommand generates the configuration of a questionnaire and makes it the accepted one, which instances take over.
type applyCommand struct {
	outputOptions
	objectAPIOptions
	instanceOptions
	questionnaireArg
	Base int `long:"base" value-name:"VERSION" description:"apply only if this version is the accepted one; diff prints it"`
}

// applyOutput is the JSON output of the command.
type applyOutput struct {
	operator.ApplyResult
	InForce []operator.InForce `json:"in_force"`
}

// conflictOutput is the JSON output of an apply that failed because another operator's configuration was accepted
// first.
type conflictOutput struct {
	// Conflict is the version that another operator applied.
	Conflict int    `json:"conflict"`
	Operator string `json:"operator"`
	// MayHaveApplied is true if the refused configuration may have been in force until the other one replaced it.
	MayHaveApplied bool `json:"may_have_held"`
	// Changes are the differences from that version to the refused configuration.
	Changes []config.Change `json:"changes"`
}

func addApply(parser *flags.Parser) {
	_, err := parser.AddCommand("apply", "Apply a questionnaire",
		"Generates the configuration and makes it the accepted one, one version above the last. If another operator was "+
			"first, nothing is applied, the difference is printed and the exit code is 3. The given instances are then polled "+
			"until the version is in force at each; the exit code is 4 if it isn't in time.", &applyCommand{})
	mustAdd(err)
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute(_ []string) error {
	cfg, err := c.generate()
	if err != nil {
		return err
	}
	writer, ctx, cancel, err := c.writer()
	if err != nil {
		return err
	}
	defer cancel()
	accepted, err := writer.Apply(ctx, cfg, c.Base)
	if err != nil {
		return errors.Join(c.printConflict(err), err)
	}
	inForce, waitErr := c.waitFor(operator.ConfigAtLeast(accepted.Version))
	err = c.print(applyOutput{accepted, inForce}, func(w io.Writer) {
		writeChanges(w, accepted.Changes)
		_, _ = fmt.Fprintf(w, "version %d is accepted, %d changes\n", accepted.Version, len(accepted.Changes))
		writeInForce(w, inForce)
	})
	return errors.Join(err, waitErr)
}

// printConflict prints the differences if err is a conflict; it prints nothing for other errors.
func (c *applyCommand) printConflict(err error) error {
	var conflict operator.ErrConflict
	if !errors.As(err, &conflict) {
		return nil
	}
	output := conflictOutput{conflict.Version, conflict.Operator, conflict.MayHaveApplied, conflict.Changes}
	return c.print(output, func(w io.Writer) {
		writeChanges(w, output.Changes)
		_, _ = fmt.Fprintf(w, "%d changes from version %d to your answers\n", len(output.Changes), output.Conflict)
	})
}
