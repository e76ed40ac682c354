package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/toucanroute/toucanroute/wire"
)

// Table writes the summary as text tables.
func (s *Summary) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	s.section(t, "class", s.Classes, func(l *SummaryRow) string { return l.Class })
	s.section(t, "class in data centre", s.DataCentres, func(l *SummaryRow) string { return l.Class + " " + l.DataCentre })
	s.section(t, "class in workspace", s.Workspaces, func(l *SummaryRow) string { return l.Class + " " + l.Workspace })
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "cost %.4f, per good request %.6f; usage reports sent %d, late %d, off %d\ninstances %s%s\n",
		s.Cost, s.CostPerGoodRequest, s.Reports.Sent, s.Reports.Late, s.Reports.Off, strings.Join(s.Instances, " "), s.missingNote())
	return err
}

// section writes one table with its header.
func (s *Summary) section(w io.Writer, title string, rows []*SummaryRow, name func(*SummaryRow) string) {
	_, _ = fmt.Fprintf(w, "tier\t%s\ttarget\tgood 1h\tmissed 1h\tbudget left\tburn 5m\tburn 1h\tburned by\tcheap share\tcheap harm\t\n", title)
	for _, row := range rows {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%.3f\t%d\t%d\t%.2f\t%.2f\t%.2f\t%s\t%.2f\t%.2f\t\n", row.Tier, name(row), row.Target, row.Long.Good,
			missedRequests(row.Long), row.BudgetLeft, row.ShortBurn, row.LongBurn, causesOf(row.Long), row.CheapShare, row.CheapMissShare)
	}
	_, _ = fmt.Fprintf(w, "\t\t\t\t\t\t\t\t\t\t\t\n")
}

// causesOf lists the causes of missed requests with the number of requests of each.
func causesOf(c wire.BurnCounts) string {
	var list []string
	for _, p := range []struct {
		name string
		n    int
	}{{"queueing", c.Queueing}, {"server", c.Server}, {"refusal", c.Refusal}, {"eviction", c.Eviction}} {
		if p.n > 0 {
			list = append(list, fmt.Sprintf("%s %d", p.name, p.n))
		}
	}
	if len(list) == 0 {
		return "nothing"
	}
	return strings.Join(list, " ")
}

// missingNote returns the note that names the instances that did not respond, or an empty string.
func (s *Summary) missingNote() string {
	if len(s.Missing) == 0 {
		return ""
	}
	return "; NOT ANSWERING " + strings.Join(s.Missing, " ")
}
