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

// sums are what the stand-ins saw.
type sums struct {
	streams   int
	tokens    int
	wasted    int
	calls     int
	repeated  int
	keysSeen  int
	reports   int
	differing int
	oldFences int
}

// errBroken tells of a promise that the stand-ins saw broken.
type errBroken struct {
	sums sums
}

func (e errBroken) Error() string {
	return fmt.Sprintf("%d calls ran more than once, %d requests carried a caller's key, %d differing reports, %d old orders carried out",
		e.sums.repeated, e.sums.keysSeen, e.sums.differing, e.sums.oldFences)
}

// collect asks all stand-ins.
func collect(ctx context.Context, d *launch.Deployment) (sums, error) {
	var all sums
	for _, s := range d.Servers() {
		if err := all.addServer(ctx, s); err != nil {
			return all, err
		}
	}
	var reports intake.Stats
	if err := launch.Stats(ctx, d.Platform().Usage, &reports); err != nil {
		return all, err
	}
	all.reports = reports.Reports
	all.differing = reports.Differing
	var orders ordering.Stats
	if err := launch.Stats(ctx, d.Platform().Ordering, &orders); err != nil {
		return all, err
	}
	all.oldFences = orders.OldFencesAccepted
	return all, nil
}

func (s *sums) addServer(ctx context.Context, server launch.Server) error {
	if server.IsModel {
		var stats engine.Stats
		if err := launch.Stats(ctx, server.Address, &stats); err != nil {
			return err
		}
		s.streams += stats.Started
		s.tokens += stats.TokensGenerated
		s.wasted += stats.TokensWasted
		s.keysSeen += stats.KeysSeen
		return nil
	}
	var stats service.Stats
	if err := launch.Stats(ctx, server.Address, &stats); err != nil {
		return err
	}
	s.calls += stats.Total
	s.repeated += stats.Repeated
	s.keysSeen += stats.KeysSeen
	return nil
}

func (s sums) print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "as the backend servers and the platform saw it\t\n")
	for _, row := range []struct {
		name string
		n    int
	}{
		{"streams started", s.streams},
		{"tokens generated", s.tokens},
		{"tokens of streams that did not finish", s.wasted},
		{"service calls that ran", s.calls},
		{"calls that ran more than once", s.repeated},
		{"requests that carried a caller's key", s.keysSeen},
		{"usage reports", s.reports},
		{"reports with other figures than before", s.differing},
		{"orders of a former holder carried out", s.oldFences},
	} {
		_, _ = fmt.Fprintf(t, "  %s\t%d\n", row.name, row.n)
	}
	_ = t.Flush()
}

// broken returns an error if a promise did not hold.
func (s sums) broken() error {
	if s.repeated+s.keysSeen+s.differing+s.oldFences > 0 {
		return errBroken{s}
	}
	return nil
}
