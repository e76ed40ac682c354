package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/cmd/toucanctl/operator"
	"github.com/toucanroute/toucanroute/version/config"
)

// applyCommand makes a questionnaire's configuration the accepted one.
type applyCommand struct {
	outputOptions
	objectOptions
	instanceOptions
	questionnaireArg
	Base int `long:"base" value-name:"VERSION" description:"version that must be the accepted one, as diff printed it"`
}

// applyAnswer is the JSON form of the command's answer.
type applyAnswer struct {
	operator.Accepted
	InForce []operator.InForce `json:"in_force"`
}

// conflictAnswer is the JSON form of the answer to an operator who came second.
type conflictAnswer struct {
	// Conflict is the version that another operator applied.
	Conflict int    `json:"conflict"`
	Operator string `json:"operator"`
	// MayHaveHeld tells that the refused configuration may have been in force for a while.
	MayHaveHeld bool `json:"may_have_held"`
	// Changes lead from that version to the refused configuration.
	Changes []config.Change `json:"changes"`
}

func addApply(parser *flags.Parser) {
	_, err := parser.AddCommand("apply", "Apply a questionnaire",
		"Generates the configuration and makes it the accepted one, one version above the last. Where another operator was "+
			"first, nothing is applied, the difference is printed and the exit code is 3. The instances given are then asked "+
			"until the version is in force at each; the exit code is 4 where it isn't in time.", &applyCommand{})
	mustAdd(err)
}

// Execute runs the command.
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
	inForce, lacking := c.until(operator.ConfigAt(accepted.Version))
	err = c.print(applyAnswer{accepted, inForce}, func(w io.Writer) {
		writeChanges(w, accepted.Changes)
		_, _ = fmt.Fprintf(w, "version %d is accepted, %d changes\n", accepted.Version, len(accepted.Changes))
		writeInForce(w, inForce)
	})
	return errors.Join(err, lacking)
}

// printConflict prints the difference of a conflict; other errors print nothing.
func (c *applyCommand) printConflict(err error) error {
	var conflict operator.ErrConflict
	if !errors.As(err, &conflict) {
		return nil
	}
	answer := conflictAnswer{conflict.Version, conflict.Operator, conflict.MayHaveHeld, conflict.Changes}
	return c.print(answer, func(w io.Writer) {
		writeChanges(w, answer.Changes)
		_, _ = fmt.Fprintf(w, "%d changes from version %d to your answers\n", len(answer.Changes), answer.Conflict)
	})
}
