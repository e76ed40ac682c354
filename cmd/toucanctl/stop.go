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

// stopCommand holds the subcommands that plan, cancel and list stops of backend servers.
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

// serverArg is the positional argument of a command on one backend server.
type serverArg struct {
	Server string `positional-arg-name:"SERVER"`
}

// stopOutput is the JSON output of the plan and cancel commands.
type stopOutput struct {
	Stop    wire.StopRecord    `json:"stop"`
	InForce []operator.InForce `json:"in_force"`
}

// stopPlanCommand plans the graceful stop of a backend server.
type stopPlanCommand struct {
	outputOptions
	objectAPIOptions
	instanceOptions
	After time.Duration `long:"after" description:"time from now after which draining may begin, such as 10m"`
	Args  serverArg     `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
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
		return c.printStop(stopOutput{Stop: record, InForce: []operator.InForce{}})
	}
	inForce, waitErr := c.waitFor(operator.Draining(c.Args.Server))
	return errors.Join(c.printStop(stopOutput{record, inForce}), waitErr)
}

// stopCancelCommand cancels the planned stop of a backend server.
type stopCancelCommand struct {
	outputOptions
	objectAPIOptions
	instanceOptions
	Args serverArg `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
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
	inForce, waitErr := c.waitFor(operator.NotStopping(c.Args.Server))
	return errors.Join(c.printStop(stopOutput{record, inForce}), waitErr)
}

// printStop prints a stop and, if instances were polled, whether it is in force at each.
func (o outputOptions) printStop(output stopOutput) error {
	return o.print(output, func(w io.Writer) {
		stop := output.Stop
		_, _ = fmt.Fprintf(w, "the stop of %s is %s\n", stop.Server, stop.State)
		if stop.NotBeforeMs > 0 {
			_, _ = fmt.Fprintf(w, "draining begins not before %s\n", formatTime(stop.NotBeforeMs))
		}
		if stop.NotBeforeMs > 0 && len(output.InForce) == 0 {
			return
		}
		writeInForce(w, output.InForce)
	})
}

// stopListCommand lists all planned and cancelled stops.
type stopListCommand struct {
	outputOptions
	objectAPIOptions
}

// Execute implements flags.Commander.
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
		writeRow(w, "SERVER", "STATE", "SINCE", "NOT BEFORE", "OPERATOR")
		for _, r := range records {
			writeRow(w, r.Server, r.State, formatTime(r.AtMs), formatTime(r.NotBeforeMs), cmp.Or(r.Operator, "-"))
		}
	})
}
