package report

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// Table writes the report as a text table.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	writef(t, "tier\tclass\tsent\tattained\ttarget\tlate\trefused\tfailed\tttft p50 ms\tttft p95 ms\tgood tokens\twasted tokens\t\n")
	for _, c := range r.Classes {
		writef(t, "%d\t%s\t%d\t%.4f\t%.3f\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t\n", c.Tier, c.Class, c.Sent, c.Attainment(),
			c.Target, c.Late, c.Refused, c.Failed, c.FirstTokenP50, c.FirstTokenP95, c.GoodTokens, c.WastedTokens)
	}
	writef(t, "\t\t\t\t\t\t\t\t\t\t\t\t\n")
	writef(t, "tier\tworkspace\tsent\tattained\tof tier\tlate\trefused\tfailed\tttft p50 ms\tttft p95 ms\tgood tokens\twasted tokens\t\n")
	for _, row := range r.Workspaces {
		writef(t, "%d\t%s\t%d\t%.4f\t%.3f\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t\n", row.Tier, row.Workspace, row.Sent, row.Attainment(),
			ratio(row.Attainment(), r.TierAttainment(row.Tier)), row.Late, row.Refused, row.Failed, row.FirstTokenP50, row.FirstTokenP95,
			row.GoodTokens, row.WastedTokens)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	worst, name := r.WorstWorkspace()
	_, err := fmt.Fprintf(w, "\ngoodput %.1f requests/s, %.0f tokens/s; wasted %d tokens; cached %.2f of prompt tokens; "+
		"worst workspace %.3f of its tier (%s)\n%s", r.GoodRequestsPerSecond, r.GoodTokensPerSecond, r.WastedTokens, r.CachedShare, worst, orNone(name), r.errorSummary())
	return err
}

func writef(w io.Writer, format string, v ...any) { _, _ = fmt.Fprintf(w, format, v...) }

// ratio returns a divided by b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}

// errorSummary returns a line with the number of requests for each error code, or nothing if there were no errors.
func (r *Report) errorSummary() string {
	total := map[string]int{}
	for _, c := range r.Classes {
		for reason, n := range c.Reasons {
			total[reason] += n
		}
	}
	if len(total) == 0 {
		return ""
	}
	var list []string
	for reason, n := range total {
		list = append(list, fmt.Sprintf("%s %d", reason, n))
	}
	sort.Strings(list)
	return "not answered: " + strings.Join(list, ", ") + "\n"
}
