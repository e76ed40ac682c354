package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/cmd/toucanctl/operator"
	"github.com/toucanroute/toucanroute/wire"
)

// stopCommand holds the subcommands on planned stops.
type stopCommand struct {
	Plan   stopPlanCommand   `command:"plan" description:"Plan the graceful stop of a backend server"`
	Cancel stopCancelCommand `command:"cancel" description:"Cancel the planned stop of a backend server"`
	List   stopListCommand   `command:"list" description:"List planned stops"`
}

func addStop(parser *flags.Parser) {
	_, err := parser.AddCommand("stop", "Plan, cancel and list stops of backend servers",
		"A planned stop is graceful: the backend server gets no new work, its requests finish, then it is stopped.", &stopCommand{})
	mustAdd(err)
}

// serverArg is the backend server that a command is about.
type serverArg struct {
	Server string `positional-arg-name:"SERVER"`
}

// stopAnswer is the JSON form of the answer of plan and cancel.
type stopAnswer struct {
	Stop    wire.StopRecord    `json:"stop"`
	InForce []operator.InForce `json:"in_force"`
}

// stopPlanCommand plans a stop.
type stopPlanCommand struct {
	outputOptions
	objectOptions
	instanceOptions
	After time.Duration `long:"after" description:"time from now after which draining may begin, such as 10m"`
	Args  serverArg     `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *stopPlanCommand) Execute(_ []string) error {
	writer, ctx, cancel, err := c.writer()
	if err != nil {
		return err
	}
	defer cancel()
	var notBefore time.Time
	if c.After > 0 {
		notBefore = time.Now().Add(c.After)
	}
	record, err := writer.PlanStop(ctx, c.Args.Server, notBefore)
	if err != nil {
		return err
	}
	if record.NotBeforeMs > 0 && time.Now().UnixMilli() < int64(record.NotBeforeMs) {
		return c.printStop(stopAnswer{Stop: record, InForce: []operator.InForce{}})
	}
	inForce, lacking := c.until(operator.Draining(c.Args.Server))
	return errors.Join(c.printStop(stopAnswer{record, inForce}), lacking)
}

// stopCancelCommand cancels a stop.
type stopCancelCommand struct {
	outputOptions
	objectOptions
	instanceOptions
	Args serverArg `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *stopCancelCommand) Execute(_ []string) error {
	writer, ctx, cancel, err := c.writer()
	if err != nil {
		return err
	}
	defer cancel()
	record, err := writer.CancelStop(ctx, c.Args.Server)
	if err != nil {
		return err
	}
	inForce, lacking := c.until(operator.NotStopping(c.Args.Server))
	return errors.Join(c.printStop(stopAnswer{record, inForce}), lacking)
}

// printStop prints a stop and what is in force where.
func (o outputOptions) printStop(answer stopAnswer) error {
	return o.print(answer, func(w io.Writer) {
		stop := answer.Stop
		_, _ = fmt.Fprintf(w, "the stop of %s is %s\n", stop.Server, stop.State)
		if stop.NotBeforeMs > 0 {
			_, _ = fmt.Fprintf(w, "draining begins not before %s\n", timeOf(stop.NotBeforeMs))
		}
		if stop.NotBeforeMs > 0 && len(answer.InForce) == 0 {
			return
		}
		writeInForce(w, answer.InForce)
	})
}

// stopListCommand lists stops.
type stopListCommand struct {
	outputOptions
	objectOptions
}

// Execute runs the command.
func (c *stopListCommand) Execute(_ []string) error {
	writer, ctx, cancel, err := c.writer()
	if err != nil {
		return err
	}
	defer cancel()
	records, err := writer.Stops(ctx)
	if err != nil {
		return err
	}
	return c.print(records, func(w io.Writer) {
		row(w, "SERVER", "STATE", "SINCE", "NOT BEFORE", "OPERATOR")
		for _, r := range records {
			row(w, r.Server, r.State, timeOf(r.AtMs), timeOf(r.NotBeforeMs), cmp.Or(r.Operator, "-"))
		}
	})
}
