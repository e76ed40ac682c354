package main

import (
	"math"
	"time"

	"github.com/toucanroute/toucanroute/process/usage"
	"github.com/toucanroute/toucanroute/process/versions"
)

// Limits of the object API.
const (
	maxWritesPerSecond = 300
	maxReadsPerSecond  = 2000
	// maxObjectBytes is the maximum size of an object.
	maxObjectBytes = 1 << 20
	// versionTreeDepth is the number of daemons that pass on a new version one after the other until all daemons of a
	// data centre have it. The daemons form a tree, in which each gets new versions from its parent.
	versionTreeDepth = 3
)

// Retry intervals of the daemon after failed calls.
const (
	leaseRetryInterval    = 200 * time.Millisecond
	versionsRetryInterval = 500 * time.Millisecond
)

func roundUp(v float64) float64 { return math.Ceil(v) }

// leaseCandidates is the number of daemons of a data centre that try to acquire each lease.
const leaseCandidates = 3

// CallRate is the rate of one kind of calls to the object API, summed over the deployment.
type CallRate struct {
	// Source describes the calls, and GrowsWith the quantity to which their rate is proportional.
	Source    string
	GrowsWith string
	// Reads and Writes are per second.
	Reads, Writes  float64
	IsExtrapolated bool
}

// objectAPICalls calculates the call rates at the target size.
func objectAPICalls(t Target, f measurements) []CallRate {
	dataCentres := float64(t.DataCentres)
	claimsPerSecond := t.RequestsPerSecond * t.NonIdempotentShare
	partsPerSecond := dataCentres * partWritesPerSecond(t)
	return []CallRate{
		{
			Source: "leases polled by candidates", GrowsWith: "with the data centres",
			Reads: dataCentres * leasesPerCandidate * f.platform.LeaseReads.AtTarget(), IsExtrapolated: true,
		},
		{Source: "leases renewed", GrowsWith: "with the data centres", Writes: dataCentres * leasesPerCandidate * f.platform.LeaseWrites.AtTarget(), IsExtrapolated: true},
		{Source: "watches of configuration and keys", GrowsWith: "with the data centres", Reads: dataCentres * versions.WatchersPerDataCentre * 2 / versions.WatchWait.Seconds()},
		{Source: "configurations read by watch holders", GrowsWith: "with the changes", Reads: dataCentres * versions.WatchersPerDataCentre * t.ConfigChangesPerSecond()},
		{Source: "configurations written by operators (version and head)", GrowsWith: "with the changes", Writes: 2 * t.ConfigChangesPerSecond()},
		{Source: "planned stops listed", GrowsWith: "with the data centres", Reads: dataCentres * fleetViewReadsPerSecond},
		{Source: "intents of orders listed by the settling holder", GrowsWith: "with the data centres", Reads: dataCentres / 5},
		{Source: "usage parts stored, and removed after the seal", GrowsWith: "with the requests", Writes: 2 * partsPerSecond},
		{
			Source: "usage windows: lists, seals, reports noted, old seals removed", GrowsWith: "with the data centres",
			Reads: 3 * dataCentres / usageWindow.Seconds(), Writes: 3 * dataCentres / usageWindow.Seconds(),
		},
		{Source: "claims of unrepeatable calls, assumed " + formatPercent(t.NonIdempotentShare) + " of the requests (create and result)", GrowsWith: "with the calls", Writes: 2 * claimsPerSecond},
	}
}

// outageCalls calculates the rates of the calls that daemons attempt while the object API is unreachable.
func outageCalls(daemons, dataCentres float64) []CallRate {
	return []CallRate{
		{Source: "leases: each candidate of 2 leases again after 200 ms", GrowsWith: "with the data centres", Reads: dataCentres * leaseCandidates * leasesPerCandidate / leaseRetryInterval.Seconds()},
		{Source: "versions: 2 kinds, each again after 500 ms on average", GrowsWith: "with the daemons", Reads: daemons * 2 / versionsRetryInterval.Seconds()},
		{Source: "backend servers' states: each second", GrowsWith: "with the daemons", Reads: daemons * fleetViewReadsPerSecond},
		{Source: "usage: the collector of each data centre, each 2 s", GrowsWith: "with the data centres", Writes: 1 / usage.WriteInterval.Seconds()},
	}
}

// sumCalls returns the sum of all call rates.
func sumCalls(list []CallRate) CallRate {
	sum := CallRate{Source: "**sum**"}
	for _, c := range list {
		sum.Reads += c.Reads
		sum.Writes += c.Writes
		sum.IsExtrapolated = sum.IsExtrapolated || c.IsExtrapolated
	}
	return sum
}
