package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/toucanroute/toucanroute/standin/engine"
	"github.com/toucanroute/toucanroute/standin/intake"
	"github.com/toucanroute/toucanroute/standin/ordering"
	"github.com/toucanroute/toucanroute/standin/service"
	"github.com/toucanroute/toucanroute/tools/launch"
)

// standinTotals are statistics summed over all stand-ins.
type standinTotals struct {
	startedStreams    int
	generatedTokens   int
	wastedTokens      int
	serviceCalls      int
	repeatedCalls     int
	callerKeysSeen    int
	usageReports      int
	differingReports  int
	oldFencesAccepted int
}

// errViolation reports that the statistics of the stand-ins show a broken guarantee, for example a call that was
// executed twice.
type errViolation struct {
	standinTotals standinTotals
}

func (e errViolation) Error() string {
	return fmt.Sprintf("guarantees broken: %d calls ran more than once, %d requests carried a caller's key, %d differing usage reports, %d orders with an old fencing token accepted",
		e.standinTotals.repeatedCalls, e.standinTotals.callerKeysSeen, e.standinTotals.differingReports, e.standinTotals.oldFencesAccepted)
}

// collectTotals reads and sums the statistics of all stand-ins.
func collectTotals(ctx context.Context, d *launch.Deployment) (standinTotals, error) {
	var totals standinTotals
	for _, s := range d.Servers() {
		if err := totals.addServer(ctx, s); err != nil {
			return totals, err
		}
	}
	var usageReports intake.Stats
	if err := launch.Stats(ctx, d.Platform().Usage, &usageReports); err != nil {
		return totals, err
	}
	totals.usageReports = usageReports.Reports
	totals.differingReports = usageReports.Differing
	var orders ordering.Stats
	if err := launch.Stats(ctx, d.Platform().Ordering, &orders); err != nil {
		return totals, err
	}
	totals.oldFencesAccepted = orders.OldFencesAccepted
	return totals, nil
}

func (s *standinTotals) addServer(ctx context.Context, server launch.Server) error {
	if server.IsModel {
		var stats engine.Stats
		if err := launch.Stats(ctx, server.Address, &stats); err != nil {
			return err
		}
		s.startedStreams += stats.Started
		s.generatedTokens += stats.TokensGenerated
		s.wastedTokens += stats.TokensWasted
		s.callerKeysSeen += stats.KeysSeen
		return nil
	}
	var stats service.Stats
	if err := launch.Stats(ctx, server.Address, &stats); err != nil {
		return err
	}
	s.serviceCalls += stats.Total
	s.repeatedCalls += stats.Repeated
	s.callerKeysSeen += stats.KeysSeen
	return nil
}

func (s standinTotals) print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "as counted by the backend servers and the platform\t\n")
	for _, row := range []struct {
		name  string
		count int
	}{
		{"streams started", s.startedStreams},
		{"tokens generated", s.generatedTokens},
		{"tokens of streams that did not finish", s.wastedTokens},
		{"service calls that ran", s.serviceCalls},
		{"calls that ran more than once", s.repeatedCalls},
		{"requests that carried a caller's key", s.callerKeysSeen},
		{"usage reports", s.usageReports},
		{"usage reports that differ from an earlier report", s.differingReports},
		{"orders with an old fencing token accepted", s.oldFencesAccepted},
	} {
		_, _ = fmt.Fprintf(t, "  %s\t%d\n", row.name, row.count)
	}
	_ = t.Flush()
}

// violation returns an error if the totals show a broken guarantee.
func (s standinTotals) violation() error {
	if s.repeatedCalls+s.callerKeysSeen+s.differingReports+s.oldFencesAccepted > 0 {
		return errViolation{s}
	}
	return nil
}
