package main

import "time"

// Target is the size for which the page is worked out.
type Target struct {
	Daemons           int
	Servers           int
	Accelerators      int
	RequestsPerSecond float64
	TokensPerSecond   float64
	// BetweenTokens is the target for the time between two tokens.
	BetweenTokens time.Duration
	Classes       int
	Workspaces    int
	Models        int
	Regions       int
	DataCentres   int
	// ChangesPerDay are changes of the configuration.
	ChangesPerDay float64
	// LossesPerDay and RestartsPerDay count instances.
	LossesPerDay   float64
	RestartsPerDay float64
	Budget         Budget
	// KeysPerWorkspace and RackDaemons are assumed, as is UnrepeatableShare, the share of the requests that need a claim.
	KeysPerWorkspace  int
	RackDaemons       int
	UnrepeatableShare float64
}

// Budget is what one daemon may spend for control.
type Budget struct {
	// CPU is a share of a core.
	CPU float64
	// Memory is in bytes.
	Memory float64
	// Bytes are those sent and received per second.
	Bytes float64
}

const (
	secondsPerDay = 86400
	kilobyte      = 1000.0
	megabyte      = 1000 * kilobyte
)

// target returns the size ahead.
func target() Target {
	return Target{
		Daemons: 850, Servers: 5400, Accelerators: 44_000,
		RequestsPerSecond: 17_000, TokensPerSecond: 6.7e6, BetweenTokens: 50 * time.Millisecond,
		Classes: 5, Workspaces: 1200, Models: 20, Regions: 2, DataCentres: 6,
		ChangesPerDay: 7200, LossesPerDay: 59, RestartsPerDay: 410,
		Budget:           Budget{CPU: 0.048, Memory: 64 * megabyte, Bytes: 8 * kilobyte},
		KeysPerWorkspace: 3, RackDaemons: 20, UnrepeatableShare: 0.01,
	}
}

// PerDataCentre returns the daemons of a data centre.
func (t Target) PerDataCentre() float64 { return float64(t.Daemons) / float64(t.DataCentres) }

// Homes returns the number of homes: one for each pool and data centre.
func (t Target) Homes() float64 { return float64(t.Models * t.DataCentres) }

// HomeServers returns the backend servers of one home.
func (t Target) HomeServers() float64 { return float64(t.Servers) / t.Homes() }

// DaemonRequests returns the requests per second of one daemon as entry.
func (t Target) DaemonRequests() float64 { return t.RequestsPerSecond / float64(t.Daemons) }

// HomeRequests returns the requests per second of one home.
func (t Target) HomeRequests() float64 { return t.RequestsPerSecond / t.Homes() }

// Answer returns the mean time of an answer's tokens.
func (t Target) Answer() time.Duration {
	return time.Duration(t.TokensPerSecond / t.RequestsPerSecond * float64(t.BetweenTokens))
}

// Streams returns the streams that run at a time.
func (t Target) Streams() float64 { return t.TokensPerSecond * t.BetweenTokens.Seconds() }

// ChangesPerSecond returns the mean rate of changes of the configuration.
func (t Target) ChangesPerSecond() float64 { return t.ChangesPerDay / secondsPerDay }

// Lines returns the lines of usage that one daemon has after the time: each request its own, but no more than there are
// workspaces and classes.
func (t Target) Lines(after time.Duration) float64 {
	return min(t.DaemonRequests()*after.Seconds(), float64(t.Workspaces*t.Classes))
}
