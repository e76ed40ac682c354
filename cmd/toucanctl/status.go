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
}

// statusAnswer is the JSON form of the command's answer.
type statusAnswer struct {
	Instances []wire.Status `json:"instances"`
	Missing   []string      `json:"missing,omitempty"`
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
		return json.NewEncoder(os.Stdout).Encode(statusAnswer{Instances: answers, Missing: missing})
	}
	return writeStatus(os.Stdout, answers, missing)
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
