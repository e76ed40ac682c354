package main

import (
	"context"
	"time"

	"github.com/toucanroute/toucanroute/standin/ordering"
	"github.com/toucanroute/toucanroute/tools/launch"
)

// Deployments of the cases.
const (
	doceLuz   = "examples/doce-luz.jsonc"
	waterways = "examples/waterways.jsonc"
)

// Faults of the cases.
const (
	slowFactor = 8
	crashMs    = 5000
	lagMs      = 2000
	noticeMs   = 3000
)

// fault is something that goes wrong during a load.
type fault struct {
	// at is the share of the load's length at which it begins.
	at float64
	// set makes it happen.
	set func(ctx context.Context, d *launch.Deployment) error
}

// benchCase is a load with its faults.
type benchCase struct {
	name          string
	questionnaire string
	// rate is the number of requests a second without surges.
	rate   float64
	surges []string
	faults []fault
}

// cases are all cases, by the failures that they bring.
func cases() []benchCase {
	return []benchCase{
		{
			name: "diwali-burst", questionnaire: doceLuz, rate: 45,
			surges: []string{"class=question,factor=14,from=0.2,to=0.7"},
		},
		{
			name: "flood", questionnaire: waterways, rate: 30,
			surges: []string{"class=hazard-report,factor=4,from=0.2,to=0.7", "class=swimmer-question,factor=12,from=0.2,to=0.7"},
		},
		{
			name: "straggler-and-crash", questionnaire: doceLuz, rate: 60,
			faults: []fault{
				{0, onEngine(0, engineFaults{LoadLagMs: lagMs})},
				{0.2, onEngine(0, engineFaults{SlowFactor: slowFactor, LoadLagMs: lagMs})},
				{0.5, onEngine(1, engineFaults{CrashMs: crashMs, LoadLagMs: lagMs})},
				{0.8, onEngine(0, engineFaults{LoadLagMs: lagMs})},
			},
		},
		{
			name: "greedy-workspace", questionnaire: doceLuz, rate: 45,
			surges: []string{"workspace=casa-alba,factor=8,from=0.2,to=0.8"},
		},
		{
			name: "cheap-evicted", questionnaire: doceLuz, rate: 60,
			faults: []fault{{0.3, evictCheap}},
		},
	}
}

// engineFaults are those of an engine's faults that the cases set.
type engineFaults struct {
	SlowFactor float64 `json:"slow_factor"`
	CrashMs    int     `json:"crash_ms,omitempty"`
	LoadLagMs  int     `json:"load_lag_ms"`
}

// onEngine sets faults of the n-th engine of each data centre.
func onEngine(n int, faults engineFaults) func(context.Context, *launch.Deployment) error {
	return func(ctx context.Context, d *launch.Deployment) error {
		seen := map[string]int{}
		for _, s := range d.Servers() {
			if !s.IsModel {
				continue
			}
			if seen[s.DataCentre] == n {
				if err := launch.Fault(ctx, s.Address, faults); err != nil {
					return err
				}
			}
			seen[s.DataCentre]++
		}
		return nil
	}
}

// evictCheap takes away the cheap servers of the first data centre.
func evictCheap(ctx context.Context, d *launch.Deployment) error {
	eviction := ordering.Eviction{DataCentre: d.Servers()[0].DataCentre, NoticeMs: noticeMs}
	return launch.Post(ctx, "http://"+d.Platform().Ordering+"/admin/evict", eviction)
}

// inject sets the faults at their times until ctx ends.
func inject(ctx context.Context, d *launch.Deployment, faults []fault, length time.Duration) error {
	start := time.Now()
	for _, f := range faults {
		at := start.Add(time.Duration(f.at * float64(length)))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(at)):
		}
		if err := f.set(ctx, d); err != nil {
			return err
		}
	}
	return nil
}
