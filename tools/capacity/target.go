package main

import "time"

// Target is the deployment size for which the page's figures are calculated.
type Target struct {
	Daemons           int
	Servers           int
	Accelerators      int
	RequestsPerSecond float64
	TokensPerSecond   float64
	// TimeBetweenTokens is the targeted time between two tokens of a stream.
	TimeBetweenTokens time.Duration
	Classes           int
	Workspaces        int
	Models            int
	Regions           int
	DataCentres       int
	// ConfigChangesPerDay is the number of configuration changes per day.
	ConfigChangesPerDay float64
	// InstanceLossesPerDay and InstanceRestartsPerDay are numbers of instances.
	InstanceLossesPerDay   float64
	InstanceRestartsPerDay float64
	Budget                 Budget
	// KeysPerWorkspace and DaemonsPerRack are assumptions, as is NonIdempotentShare, the fraction of the requests that
	// need an idempotency claim.
	KeysPerWorkspace   int
	DaemonsPerRack     int
	NonIdempotentShare float64
}

// Budget is the resources of one daemon that control traffic may use.
type Budget struct {
	// CPU is a fraction of a core.
	CPU float64
	// Memory is in bytes.
	Memory float64
	// BytesPerSecond counts sent and received bytes.
	BytesPerSecond float64
}

const (
	secondsPerDay = 86400
	kilobyte      = 1000.0
	megabyte      = 1000 * kilobyte
)

// targetSize returns the target size.
func targetSize() Target {
	return Target{
		Daemons: 850, Servers: 5400, Accelerators: 44_000,
		RequestsPerSecond: 17_000, TokensPerSecond: 6.7e6, TimeBetweenTokens: 50 * time.Millisecond,
		Classes: 5, Workspaces: 1200, Models: 20, Regions: 2, DataCentres: 6,
		ConfigChangesPerDay: 7200, InstanceLossesPerDay: 59, InstanceRestartsPerDay: 410,
		Budget:           Budget{CPU: 0.048, Memory: 64 * megabyte, BytesPerSecond: 8 * kilobyte},
		KeysPerWorkspace: 3, DaemonsPerRack: 20, NonIdempotentShare: 0.01,
	}
}

// DaemonsPerDataCentre returns the number of daemons in each data centre.
func (t Target) DaemonsPerDataCentre() float64 { return float64(t.Daemons) / float64(t.DataCentres) }

// Homes returns the number of pool schedulers. Each pool has one in each data centre, which runs on the pool's home
// instance there.
func (t Target) Homes() float64 { return float64(t.Models * t.DataCentres) }

// ServersPerHome returns the number of backend servers of one pool scheduler.
func (t Target) ServersPerHome() float64 { return float64(t.Servers) / t.Homes() }

// RequestsPerDaemon returns the requests per second that each daemon receives from callers.
func (t Target) RequestsPerDaemon() float64 { return t.RequestsPerSecond / float64(t.Daemons) }

// RequestsPerHome returns the requests per second of one pool scheduler.
func (t Target) RequestsPerHome() float64 { return t.RequestsPerSecond / t.Homes() }

// MeanStreamDuration returns the mean time in which a response streams its tokens.
func (t Target) MeanStreamDuration() time.Duration {
	return time.Duration(t.TokensPerSecond / t.RequestsPerSecond * float64(t.TimeBetweenTokens))
}

// Streams returns the number of concurrent streams.
func (t Target) Streams() float64 { return t.TokensPerSecond * t.TimeBetweenTokens.Seconds() }

// ConfigChangesPerSecond returns the mean rate of configuration changes.
func (t Target) ConfigChangesPerSecond() float64 { return t.ConfigChangesPerDay / secondsPerDay }

// UsageLines returns the number of usage lines that one daemon collects in a duration: one for each request, but at
// most one for each workspace and class.
func (t Target) UsageLines(duration time.Duration) float64 {
	return min(t.RequestsPerDaemon()*duration.Seconds(), float64(t.Workspaces*t.Classes))
}
