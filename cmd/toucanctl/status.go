package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/toucanroute/toucanroute/wire"
)

// statusCommand prints what each instance sees.
type statusCommand struct {
	Instances []string `long:"instance" env:"TOUCAN_INSTANCES" env-delim:"," value-name:"ADDR" description:"operators' address of an instance; repeat for each, or separate by commas" required:"true"`
	JSON      bool     `long:"json" description:"print as JSON"`

	objectOptions
}

// statusAnswer is the JSON form of the command's answer.
type statusAnswer struct {
	Instances []wire.Status `json:"instances"`
	Missing   []string      `json:"missing,omitempty"`
	// Stops are the planned stops, where the object API's address was given and it answers.
	Stops []wire.StopRecord `json:"stops,omitempty"`
}

func addStatus(parser *flags.Parser) {
	_, err := parser.AddCommand("status", "Show what each instance sees",
		"Shows instances, leases with holders and fencing numbers, versions in force, pools with their homes and backend "+
			"servers. Instances that do not answer are named.", &statusCommand{})
	mustAdd(err)
}

// Execute runs the command.
func (c *statusCommand) Execute(_ []string) error {
	answers, missing := fetchAll[wire.Status](split(c.Instances), "/status")
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(statusAnswer{Instances: answers, Missing: missing, Stops: c.stops()})
	}
	if err := writeStatus(os.Stdout, answers, missing); err != nil {
		return err
	}
	return writeStops(os.Stdout, c.stops())
}

// stops returns the planned stops; none where the object API's address was not given or it does not answer, since the
// instances' view must show during an outage too.
func (c *statusCommand) stops() []wire.StopRecord {
	options := c.objectOptions
	options.Timeout = min(options.Timeout, fetchTimeout)
	w, ctx, cancel, err := options.writer()
	if err != nil {
		return nil
	}
	defer cancel()
	stops, err := w.Stops(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "planned stops are not known:", err)
		return nil
	}
	return stops
}

// writeStops writes the planned stops as text.
func writeStops(out io.Writer, stops []wire.StopRecord) error {
	if len(stops) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row(w)
	row(w, "PLANNED STOP", "STATE", "BY")
	for _, s := range stops {
		row(w, s.Server, s.State, s.Operator)
	}
	return w.Flush()
}

// writeStatus writes the answers as text.
func writeStatus(out io.Writer, answers []wire.Status, missing []string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row(w, "INSTANCE", "DATA CENTRE", "CONFIG", "PLATFORM", "LEAVING", "SEES")
	for _, s := range answers {
		row(w, s.Instance, s.DataCentre, s.ConfigVersion, reachable(s.PlatformReachable), s.Leaving, sees(s.Members))
	}
	row(w)
	row(w, "LEASE", "DATA CENTRE", "HOLDER", "FENCE", "SEEN BY")
	for _, s := range answers {
		for _, l := range s.Leases {
			row(w, l.Job, l.DataCentre, l.Holder, l.Fence, s.Instance)
		}
	}
	row(w)
	row(w, "POOL", "DATA CENTRE", "HOME", "WAITING", "RUNNING", "SLOTS")
	for _, s := range answers {
		for _, p := range s.Pools {
			if p.Home == s.Instance {
				row(w, p.Pool, s.DataCentre, p.Home, p.Waiting, p.Running, p.Slots)
			}
		}
	}
	row(w)
	row(w, "SERVER", "DATA CENTRE", "POOL", "KIND", "STATE", "RUNNING", "SEEN BY")
	for _, s := range answers {
		for _, b := range s.Servers {
			row(w, b.Server, b.DataCentre, b.Pool, b.Kind, b.State, b.Running, s.Instance)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(missing) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "\nNOT ANSWERING %s\n", strings.Join(missing, " "))
	return err
}

// row writes one line of cells.
func row(w io.Writer, cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(w, strings.Join(text, "\t"))
}

func reachable(ok bool) string {
	if ok {
		return "reachable"
	}
	return "cut off"
}

// sees lists the members with their states.
func sees(members []wire.MemberStatus) string {
	var list []string
	for _, m := range members {
		list = append(list, m.Instance+"="+string(m.State))
	}
	return strings.Join(list, " ")
}
