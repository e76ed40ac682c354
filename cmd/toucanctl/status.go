package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/wire"
)

// statusCommand prints the status that each instance reports.
type statusCommand struct {
	Instances []string `long:"instance" env:"TOUCAN_INSTANCES" env-delim:"," value-name:"ADDR" description:"address of an instance's operators' listener; repeat for each, or separate by commas" required:"true"`
	JSON      bool     `long:"json" description:"print as JSON"`

	objectAPIOptions
}

// statusOutput is the JSON output of the command.
type statusOutput struct {
	Instances []wire.Status `json:"instances"`
	// Missing lists the addresses of the instances that didn't answer.
	Missing []string `json:"missing,omitempty"`
	// Stops are the planned stops. They are omitted if no address of the object API was given or it doesn't respond.
	Stops []wire.StopRecord `json:"stops,omitempty"`
}

func addStatus(parser *flags.Parser) {
	_, err := parser.AddCommand("status", "Show the status that each instance reports",
		"Shows instances, leases with holders and fencing tokens, versions in force, pools with their home instances and "+
			"backend servers. Instances that do not answer are named.", &statusCommand{})
	mustAdd(err)
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(_ []string) error {
	statuses, missing := fetchAll[wire.Status](splitAddresses(c.Instances), "/status")
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(statusOutput{Instances: statuses, Missing: missing, Stops: c.stops()})
	}
	if err := writeStatus(os.Stdout, statuses, missing); err != nil {
		return err
	}
	return writeStops(os.Stdout, c.stops())
}

// stops returns the planned stops. If the object API's address was not given or it doesn't respond, stops returns none
// and no error, since the status of the instances must be shown during an outage too.
func (c *statusCommand) stops() []wire.StopRecord {
	options := c.objectAPIOptions
	options.Timeout = min(options.Timeout, fetchTimeout)
	w, ctx, cancel, err := options.writer()
	if err != nil {
		return nil
	}
	defer cancel()
	stops, err := w.Stops(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "planned stops can't be read:", err)
		return nil
	}
	return stops
}

// writeStops writes the planned stops as a text table.
func writeStops(out io.Writer, stops []wire.StopRecord) error {
	if len(stops) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeRow(w)
	writeRow(w, "PLANNED STOP", "STATE", "BY")
	for _, s := range stops {
		writeRow(w, s.Server, s.State, s.Operator)
	}
	return w.Flush()
}

// writeStatus writes the statuses as text tables, followed by the addresses of the instances that didn't answer.
func writeStatus(out io.Writer, statuses []wire.Status, missing []string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeRow(w, "INSTANCE", "DATA CENTRE", "CONFIG", "PLATFORM", "LEAVING", "SEES")
	for _, s := range statuses {
		writeRow(w, s.Instance, s.DataCentre, s.ConfigVersion, reachability(s.PlatformReachable), s.Leaving, formatMembers(s.Members))
	}
	writeRow(w)
	writeRow(w, "LEASE", "DATA CENTRE", "HOLDER", "FENCE", "SEEN BY")
	for _, s := range statuses {
		for _, l := range s.Leases {
			writeRow(w, l.Job, l.DataCentre, l.Holder, l.Fence, s.Instance)
		}
	}
	writeRow(w)
	writeRow(w, "POOL", "DATA CENTRE", "HOME", "WAITING", "RUNNING", "SLOTS")
	for _, s := range statuses {
		for _, p := range s.Pools {
			if p.Home == s.Instance {
				writeRow(w, p.Pool, s.DataCentre, p.Home, p.Waiting, p.Running, p.Slots)
			}
		}
	}
	writeRow(w)
	writeRow(w, "SERVER", "DATA CENTRE", "POOL", "KIND", "STATE", "RUNNING", "LIMIT", "SEEN BY")
	for _, s := range statuses {
		for _, b := range s.Servers {
			writeRow(w, b.Server, b.DataCentre, b.Pool, b.Kind, b.State, b.Running, formatLimit(b.Limit), s.Instance)
		}
	}
	writeEvacuated(w, statuses)
	writeShares(w, statuses)
	if err := w.Flush(); err != nil {
		return err
	}
	if len(missing) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "\nNOT ANSWERING %s\n", strings.Join(missing, " "))
	return err
}

// writeEvacuated writes the evacuated data centres, if there are any.
func writeEvacuated(w io.Writer, statuses []wire.Status) {
	hasHeading := false
	for _, s := range statuses {
		for _, dc := range s.Evacuated {
			if !hasHeading {
				hasHeading = true
				writeRow(w)
				writeRow(w, "EVACUATED", "SEEN BY")
			}
			writeRow(w, dc, s.Instance)
		}
	}
}

// writeShares writes what workspaces ask for, if any instance reports it.
func writeShares(w io.Writer, statuses []wire.Status) {
	hasHeader := false
	for _, s := range statuses {
		for _, share := range s.Shares {
			if !hasHeader {
				writeRow(w)
				writeRow(w, "WORKSPACE", "POOL", "TOKENS/S", "USUAL", "EXCESS", "REQUESTS", "REFUSED", "WAIT", "SEEN BY")
				hasHeader = true
			}
			writeRow(w, share.Workspace, share.Pool, share.Recent, share.Usual, strconv.FormatFloat(share.Excess, 'f', 2, 64), share.Requests, share.Refused,
				strconv.Itoa(share.WaitMs)+"ms", s.Instance)
		}
	}
}

// writeRow writes one line of tab-separated cells.
func writeRow(w io.Writer, cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(w, strings.Join(text, "\t"))
}

// formatLimit formats a server's limit of requests a second, or "-" if it names none.
func formatLimit(limit float64) string {
	if limit == 0 {
		return "-"
	}
	return strconv.FormatFloat(limit, 'g', -1, 64) + "/s"
}

func reachability(reachable bool) string {
	if reachable {
		return "reachable"
	}
	return "cut off"
}

// formatMembers formats the members as instance=state, separated by spaces.
func formatMembers(members []wire.MemberStatus) string {
	var list []string
	for _, m := range members {
		list = append(list, m.Instance+"="+string(m.State))
	}
	return strings.Join(list, " ")
}
