package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/cmd/toucanctl/operator"
	"github.com/toucanroute/toucanroute/wire"
)

// quarantineCommand holds the subcommands that list and lift quarantines.
type quarantineCommand struct {
	List quarantineListCommand `command:"list" description:"List the quarantines of requests"`
	Lift quarantineLiftCommand `command:"lift" description:"Lift the quarantine of a request"`
}

func addQuarantine(parser *flags.Parser) {
	_, err := parser.AddCommand("quarantine", "List and lift quarantines of requests",
		"Requests are refused that are in quarantine, or whose prompt has all parts of one, since backend servers crashed under such requests.", &quarantineCommand{})
	mustAdd(err)
}

// errNoInstances reports that the command needs instances' addresses and none were given.
type errNoInstances struct{}

func (errNoInstances) Error() string {
	return "the address of an instance is needed: --instance ADDR or TOUCAN_INSTANCES"
}

// quarantineListCommand lists the quarantines that the instances know.
type quarantineListCommand struct {
	outputOptions
	Instances []string `long:"instance" env:"TOUCAN_INSTANCES" env-delim:"," value-name:"ADDR" description:"address of an instance's operators' listener; repeat for each, or separate by commas" required:"true"`
}

// quarantineRow is a quarantine as all queried instances know it.
type quarantineRow struct {
	wire.QuarantineStatus
	// KnownBy lists the instances that have the newest revision.
	KnownBy []string `json:"known_by"`
}

// quarantineOutput is the JSON output of the list command.
type quarantineOutput struct {
	Quarantines []quarantineRow `json:"quarantines"`
	// Missing lists the addresses of the instances that didn't answer.
	Missing []string `json:"missing,omitempty"`
}

// Execute implements flags.Commander.
func (c *quarantineListCommand) Execute(_ []string) error {
	statuses, missing := fetchAll[wire.Status](splitAddresses(c.Instances), "/status")
	output := quarantineOutput{Quarantines: mergeQuarantines(statuses), Missing: missing}
	return c.print(output, func(w io.Writer) {
		writeRow(w, "QUARANTINE", "STATE", "POOL", "CRASHES", "TRIAL IN", "REFUSED", "KNOWN BY", "PARTS")
		for _, q := range output.Quarantines {
			trialIn := (time.Duration(q.EndsInMs) * time.Millisecond).Round(time.Second)
			writeRow(w, q.Id, q.State, q.Pool, q.Crashes, trialIn, q.Refused, fmt.Sprintf("%d of %d", len(q.KnownBy), len(statuses)), strings.Join(q.Parts, ","))
		}
		if len(missing) > 0 {
			_, _ = fmt.Fprintf(w, "\nNOT ANSWERING %s\n", strings.Join(missing, " "))
		}
	})
}

// mergeQuarantines returns the newest revision of each quarantine with the number of requests that all instances refused.
func mergeQuarantines(statuses []wire.Status) []quarantineRow {
	rows := []quarantineRow{}
	for _, s := range statuses {
		for _, q := range s.Quarantines {
			i := slices.IndexFunc(rows, func(row quarantineRow) bool { return row.Id == q.Id })
			if i < 0 {
				rows = append(rows, quarantineRow{QuarantineStatus: q, KnownBy: []string{s.Instance}})
				continue
			}
			refused := rows[i].Refused + q.Refused
			switch {
			case q.Revision > rows[i].Revision:
				rows[i] = quarantineRow{QuarantineStatus: q, KnownBy: []string{s.Instance}}
			case q.Revision == rows[i].Revision:
				rows[i].KnownBy = append(rows[i].KnownBy, s.Instance)
			}
			rows[i].Refused = refused
		}
	}
	slices.SortFunc(rows, func(a, b quarantineRow) int { return cmp.Compare(a.Id, b.Id) })
	return rows
}

// quarantineLiftCommand lifts a quarantine at all instances.
type quarantineLiftCommand struct {
	outputOptions
	instanceOptions
	Args struct {
		Quarantine string `positional-arg-name:"QUARANTINE"`
	} `positional-args:"yes" required:"yes"`
}

// liftOutput is the JSON output of the lift command.
type liftOutput struct {
	Quarantine string             `json:"quarantine"`
	InForce    []operator.InForce `json:"in_force"`
}

// Execute implements flags.Commander.
func (c *quarantineLiftCommand) Execute(_ []string) error {
	addresses := splitAddresses(c.Instances)
	if len(addresses) == 0 {
		return errExit{exitUsage, errNoInstances{}}
	}
	if err := liftAt(addresses, c.Args.Quarantine); err != nil {
		return err
	}
	inForce, waitErr := c.waitFor(operator.QuarantineLifted(c.Args.Quarantine))
	output := liftOutput{c.Args.Quarantine, inForce}
	return errors.Join(c.print(output, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "the quarantine %s is lifted\n", output.Quarantine)
		writeInForce(w, inForce)
	}), waitErr)
}

// errUnknownQuarantine reports that no instance that answered has the quarantine in force.
type errUnknownQuarantine struct {
	id    string
	cause error
}

func (e errUnknownQuarantine) Error() string {
	text := "no instance has a quarantine " + e.id
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the errors of the instances that gave no usable answer.
func (e errUnknownQuarantine) Unwrap() error { return e.cause }

// liftAt lifts a quarantine at the first instance that has it; that instance tells the others.
func liftAt(addresses []string, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var errs []error
	for _, address := range addresses {
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, operatorAccess.scheme+"://"+address+"/quarantines/"+url.PathEscape(id), http.NoBody)
		if err != nil {
			return err
		}
		resp, err := operatorAccess.client.Do(req)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		_ = resp.Body.Close()
		switch resp.StatusCode {
		case http.StatusNoContent:
			return nil
		case http.StatusNotFound:
		default:
			errs = append(errs, fmt.Errorf("%s answered %s", address, resp.Status))
		}
	}
	return errUnknownQuarantine{id, errors.Join(errs...)}
}
