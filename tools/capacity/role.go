package main

import (
	"time"

	"github.com/toucanroute/toucanroute/connection/peer"
	"github.com/toucanroute/toucanroute/process/usage"
	"github.com/toucanroute/toucanroute/process/versions"
)

// Constants of the daemon that its packages don't export.
const (
	// instanceListReadsPerSecond is the rate at which a daemon reads the list of instances.
	instanceListReadsPerSecond = 0.2
	// leasesPerCandidate is the number of leases for which a daemon is a candidate; each is read once a second.
	leasesPerCandidate = 2
	// fleetViewReadsPerSecond is the rate at which a daemon fetches the view of the backend servers.
	fleetViewReadsPerSecond = 1.0
	// healthChecksPerSecond is the rate of health checks of one backend server.
	healthChecksPerSecond = 2.0
	// homeLookupsPerSecond is the rate at which a daemon looks up the home instances of all pools.
	homeLookupsPerSecond = 1.0
)

// Cost is the load that one part of a role puts on one daemon.
type Cost struct {
	// Part names the part of the role, and Mechanism describes the package and protocol that implement it.
	Part      string
	Mechanism string
	// State describes the data that the daemon keeps.
	State string
	// MessagesPerSecond and BytesPerSecond count sent and received data; CPU is a fraction of a core; Memory is in
	// bytes. A CPU or Memory of 0 means that it wasn't measured.
	MessagesPerSecond, BytesPerSecond, CPU, Memory float64
	// IsExtrapolated is set if a figure was extrapolated beyond the measured sizes.
	IsExtrapolated bool
	// Remedy describes a change that would bring the part below the budget; empty if none is needed.
	Remedy string
}

// Role is a set of tasks that some or all daemons have, with the cost of each part.
type Role struct {
	Name string
	// Holders describes which daemons have the role.
	Holders string
	Costs   []Cost
}

// TotalCost returns the sum of the costs of all parts.
func (r Role) TotalCost() Cost {
	var sum Cost
	for _, c := range r.Costs {
		sum.MessagesPerSecond += c.MessagesPerSecond
		sum.BytesPerSecond += c.BytesPerSecond
		sum.CPU += c.CPU
		sum.Memory += c.Memory
		sum.IsExtrapolated = sum.IsExtrapolated || c.IsExtrapolated
	}
	return sum
}

const microsecond = 1e-6

// roles calculates the costs of all roles at the target size.
func roles(t Target, f measurements) []Role {
	return []Role{
		entryRole(t, f), schedulerRole(t, f), watchRole(t, f), innerTreeNodeRole(t, f), leaseRole(t, f), collectorRole(t, f), sealerRole(t, f), burnRole(t, f),
	}
}

// configSize returns the size of the configuration document in bytes and the processor seconds to apply it.
func (f measurements) configSize() (documentBytes, applySeconds float64) {
	s := f.state
	documentBytes = combinedValue(s.DocumentSizeByServers, s.DocumentSizeByWorkspaces) * kilobyte
	return documentBytes, combinedValue(s.ApplyByServers, s.ApplyByWorkspaces) / 1000
}

// combinedValue returns a figure that depends on two sizes, each varied in one of the series, with both sizes at their
// targets: the value of the first series plus the growth of the second series from its smallest measured size.
func combinedValue(first, second Series) float64 {
	if len(second.Points) == 0 {
		return first.AtTarget()
	}
	return first.AtTarget() + max(0, second.AtTarget()-second.Points[0].Value)
}

// entryRole is the role of every daemon: it receives requests from callers and keeps in touch with the other daemons.
func entryRole(t Target, f measurements) Role {
	heartbeatsPerSecond := 2 * float64(t.Daemons-1) / peer.HeartbeatInterval.Seconds()
	exchangesPerSecond := 1 / versions.ExchangeInterval.Seconds()
	flushesPerSecond := 1 / usage.FlushInterval.Seconds()
	configSize, applySeconds := f.configSize()
	lookupSeconds := f.state.Homes.AtTarget() * microsecond
	lookupsPerSecond := homeLookupsPerSecond*t.Homes() + t.RequestsPerDaemon()
	leaseReadsPerSecond := leasesPerCandidate * f.platform.LeaseReads.valuePerCandidate()
	return Role{Name: "entry", Holders: "all daemons", Costs: []Cost{
		{
			Part: "heartbeats", Mechanism: "`connection/peer`: each daemon dials every other; a hello and its answer every 500 ms on each link",
			State: "2 connections to each other daemon", MessagesPerSecond: 2 * heartbeatsPerSecond, BytesPerSecond: heartbeatsPerSecond * f.links.HeartbeatBytes.AtTarget(),
			CPU: heartbeatsPerSecond / 2 * f.links.HeartbeatCPU.AtTarget() * microsecond, Memory: f.links.LinkHeap.AtTarget() * kilobyte, IsExtrapolated: true,
			Remedy: "links only to the homes, the tree of versions and a few random peers; membership by gossip of changes over them",
		},
		{
			Part: "grants asked", Mechanism: "`process/home`: one ask, answer and release for each request", State: "the grants held",
			MessagesPerSecond: 3 * t.RequestsPerDaemon(), BytesPerSecond: t.RequestsPerDaemon() * f.links.GrantBytes.AtTarget(),
			CPU: t.RequestsPerDaemon() / 2 * f.links.GrantCPU.AtTarget() * microsecond, IsExtrapolated: true,
			Remedy: "slots leased in bulk with recall: a few messages a second for each pool that the daemon uses",
		},
		{
			Part: "looks at the homes", Mechanism: "`process/members`: rendezvous order anew for each pool and data centre every second and for each request",
			State: "the members", CPU: lookupsPerSecond * lookupSeconds, Remedy: "keep the order until a member changes",
		},
		{
			Part: "versions followed", Mechanism: "`process/versions`: digest compared with the parent in the tree every 500 ms", State: "object version of each keyring",
			MessagesPerSecond: 2 * exchangesPerSecond, BytesPerSecond: exchangesPerSecond * f.links.ExchangeBytes.AtTarget(),
			CPU:    exchangesPerSecond * 2 / 3 * f.links.ExchangeCPU.AtTarget() * microsecond,
			Remedy: "keep the hash of the keyrings until one changes",
		},
		{
			Part: "changes of configuration", Mechanism: "`process/versions`: the whole document passes once into each daemon",
			State: "document, table and keys", MessagesPerSecond: 2 * t.ConfigChangesPerSecond(), BytesPerSecond: t.ConfigChangesPerSecond() * configSize,
			CPU:    t.ConfigChangesPerSecond() * applySeconds,
			Memory: (combinedValue(f.state.ConfigHeapByServers, f.state.ConfigHeapByWorkspaces) + f.state.Ring.AtTarget()) * kilobyte,
			Remedy: "versions as differences from the one before, and one object for each workspace and pool",
		},
		{
			Part: "instance list", Mechanism: "`process/instance`: the whole list every 5 s", State: "names and addresses",
			MessagesPerSecond: 2 * instanceListReadsPerSecond, BytesPerSecond: instanceListReadsPerSecond * f.state.InstanceListSize.AtTarget() * kilobyte,
			Remedy: "read by the watch holders alone and passed on as changes",
		},
		{
			Part: "leases polled", Mechanism: "`process/lease`: each of 3 candidates of a data centre reads each of 2 leases every second", State: "2 records",
			MessagesPerSecond: 2 * leaseReadsPerSecond, BytesPerSecond: leaseReadsPerSecond * f.platform.LeaseBytes.AtTarget(), IsExtrapolated: true,
		},
		{
			Part: "backend servers' view", Mechanism: "`process/fleet`: pulled from the lease's holder every second", State: "servers that don't serve, 1 in 100 here",
			MessagesPerSecond: 2 * fleetViewReadsPerSecond, BytesPerSecond: fleetViewReadsPerSecond * f.links.ServerViewBytes.AtTarget(), Remedy: "pull it with the digest, when it has changed",
		},
		{
			Part: "usage handed over", Mechanism: "`process/usage`: a piece to the collector every 2 s, each request its own line at worst", State: "pieces that aren't stored",
			MessagesPerSecond: 2 * flushesPerSecond, BytesPerSecond: flushesPerSecond * f.links.UsageBytes.AtTarget(), CPU: flushesPerSecond / 2 * f.links.UsageCPU.AtTarget() * microsecond,
			Remedy: "hand over every 10 s at this size: lines of a workspace merge",
		},
		{
			Part: "the idle process", Mechanism: "runtime, listeners, logs, metrics", State: "code and runtime",
			CPU: f.processes.CPU.AtTarget() / 100, Memory: f.processes.Memory.AtTarget() * megabyte, IsExtrapolated: true,
		},
	}}
}

// valuePerCandidate returns the lease reads per second of one candidate. The holder of the lease isn't counted.
func (s Series) valuePerCandidate() float64 {
	if len(s.Points) == 0 {
		return 0
	}
	last := s.Points[len(s.Points)-1]
	return last.Value / max(1, last.Size-1)
}

// schedulerRole is the additional work of a pool's home instance, which runs the pool's scheduler.
func schedulerRole(t Target, f measurements) Role {
	requestsPerSecond := t.RequestsPerHome()
	checksPerSecond := healthChecksPerSecond * t.ServersPerHome()
	grantMicroseconds := f.scheduler.CPUByServers.AtTarget() + growthToTarget(f.scheduler.CPUByWorkspaces) + growthToTarget(f.scheduler.CPUByGrants)
	heapKilobytes := f.scheduler.HeapByServers.AtTarget() + growthToTarget(f.scheduler.HeapByWorkspaces) + growthToTarget(f.scheduler.HeapByGrants)
	return Role{Name: "pool home", Holders: formatNumber(t.Homes()) + " homes, at least one on each daemon in 7", Costs: []Cost{
		{
			Part: "grants given", Mechanism: "`connection/peer`: ask, answer and release of other daemons", State: "one JSON-RPC session for each daemon",
			MessagesPerSecond: 3 * requestsPerSecond, BytesPerSecond: requestsPerSecond * f.links.GrantBytes.AtTarget(), CPU: requestsPerSecond / 2 * f.links.GrantCPU.AtTarget() * microsecond, IsExtrapolated: true,
			Remedy: "slots leased in bulk with recall; a home split by the backend servers of its pool",
		},
		{
			Part: "scheduling", Mechanism: "`process/pool`: one queue under one lock; the servers are walked for each grant",
			State: formatNumber(t.ServersPerHome()) + " servers, " + formatNumber(t.Streams()/t.Homes()) + " grants, " + formatNumber(float64(t.Workspaces)) + " workspaces",
			CPU:   requestsPerSecond * grantMicroseconds * microsecond, Memory: heapKilobytes * kilobyte,
		},
		{
			Part: "scheduling in overload", Mechanism: "the waiting requests are walked at each change; 0.41 s of arrivals wait", State: formatNumber(requestsPerSecond*overloadQueueSeconds) + " waiting requests",
			CPU: requestsPerSecond * growthToTarget(f.scheduler.CPUByWaiting) * microsecond, Remedy: "walk only the tiers that a change concerns",
		},
		{
			Part: "health checks", Mechanism: "`process/instance`: load and cache events of each server every 500 ms", State: "newest report of each server",
			MessagesPerSecond: 4 * checksPerSecond, BytesPerSecond: checksPerSecond * f.platform.HealthBytes, CPU: checksPerSecond / 2 * f.platform.HealthCPU,
			Remedy: "one question for both, less often while streams show the server's health; events by long poll",
		},
	}}
}

// growthToTarget returns the growth of a figure from the smallest measured size to the target size.
func growthToTarget(s Series) float64 {
	if len(s.Points) == 0 {
		return 0
	}
	return max(0, s.AtTarget()-s.Points[0].Value)
}

// watchRole is the additional work of the daemons that watch the object API for new versions of the configuration and
// the keys.
func watchRole(t Target, f measurements) Role {
	configSize, _ := f.configSize()
	watchesPerSecond := 2 / versions.WatchWait.Seconds()
	return Role{Name: "watch holder", Holders: "2 daemons of each data centre", Costs: []Cost{
		{
			Part: "watches", Mechanism: "`process/versions`: 2 kinds, each answered within 1 s; a new document is read once", State: "version up to which all is known",
			MessagesPerSecond: 2 * watchesPerSecond, BytesPerSecond: watchesPerSecond*f.platform.LeaseBytes.AtTarget() + t.ConfigChangesPerSecond()*configSize, IsExtrapolated: true,
			Remedy: "versions as differences from the one before",
		},
		childExchangeCost(t, f),
	}}
}

// childExchangeCost is the cost of comparing digests with versions.FanOut other daemons, the children in the version
// tree.
func childExchangeCost(t Target, f measurements) Cost {
	configSize, _ := f.configSize()
	exchangesPerSecond := versions.FanOut / versions.ExchangeInterval.Seconds()
	return Cost{
		Part: "versions passed on", Mechanism: "`process/versions`: 12 others compare digests every 500 ms and take each document", State: "as entry",
		MessagesPerSecond: 2 * exchangesPerSecond, BytesPerSecond: exchangesPerSecond*f.links.ExchangeBytes.AtTarget() + versions.FanOut*t.ConfigChangesPerSecond()*configSize,
		CPU:    exchangesPerSecond / 3 * f.links.ExchangeCPU.AtTarget() * microsecond,
		Remedy: "keep the hash of the keyrings; versions as differences; digests compared less often where announcements come",
	}
}

// innerTreeNodes returns the number of daemons in a data centre with children in the version tree, without the watch
// holders.
func innerTreeNodes(t Target) float64 {
	return float64(versions.Parent(int(t.DaemonsPerDataCentre())) + 1 - versions.WatchersPerDataCentre)
}

// innerTreeNodeRole is the role of a daemon with children in the version tree that holds no watch.
func innerTreeNodeRole(t Target, f measurements) Role {
	return Role{Name: "inner place of the versions' tree", Holders: formatNumber(innerTreeNodes(t)) + " daemons of each data centre", Costs: []Cost{childExchangeCost(t, f)}}
}

// leaseRole is the additional work of the holder of the fleet lease, which reads the states of the backend servers of
// its data centre for all daemons there.
func leaseRole(t Target, f measurements) Role {
	followers := t.DaemonsPerDataCentre() - 1
	stateBytes := float64(t.Servers) / float64(t.DataCentres) * serverStateBytes(t)
	return Role{Name: "lease holder (fleet)", Holders: "1 daemon of each data centre", Costs: []Cost{
		{
			Part: "renewals", Mechanism: "`process/lease`: a conditional update every 2 s", State: "holder, run, fencing number",
			MessagesPerSecond: 1, BytesPerSecond: 0.5 * f.platform.LeaseBytes.AtTarget(), IsExtrapolated: true,
		},
		{
			Part: "servers' states", Mechanism: "`process/fleet`: all planned stops and all states of the data centre every second", State: "state of each backend server",
			MessagesPerSecond: 4 * fleetViewReadsPerSecond, BytesPerSecond: fleetViewReadsPerSecond * (stateBytes + f.platform.LeaseBytes.AtTarget()), IsExtrapolated: true,
			Remedy: "read the states every 10 s and after orders; the ordering interface may give changes only",
		},
		{
			Part: "view served", Mechanism: "`connection/peer`: each daemon of the data centre pulls it every second", State: "as above",
			MessagesPerSecond: 2 * followers * fleetViewReadsPerSecond, BytesPerSecond: followers * fleetViewReadsPerSecond * f.links.ServerViewBytes.AtTarget(),
			Remedy: "pass it down the versions' tree with the digest",
		},
	}}
}

// collectorRole is the additional work of the usage collector, which receives the usage lines of all daemons of its
// data centre and stores them in usage parts.
func collectorRole(t Target, f measurements) Role {
	senders := t.DaemonsPerDataCentre() - 1
	flushesPerSecond := 1 / usage.FlushInterval.Seconds()
	partBytes := f.state.Part.AtTarget() * kilobyte
	return Role{Name: "usage collector", Holders: "1 daemon of each data centre", Costs: []Cost{
		{
			Part: "hand-overs taken", Mechanism: "`process/usage`: pieces of all daemons of the data centre", State: "pieces until they are stored",
			MessagesPerSecond: 2 * senders * flushesPerSecond, BytesPerSecond: senders * flushesPerSecond * f.links.UsageBytes.AtTarget(),
			CPU: senders * flushesPerSecond / 2 * f.links.UsageCPU.AtTarget() * microsecond, Memory: 2 * partBytes, IsExtrapolated: true,
			Remedy: "sum the lines of all runs before they are stored, with the range of pieces that they hold",
		},
		{
			Part: "parts stored", Mechanism: "one object of up to 5,000 lines every 2 s or less", State: "as above",
			MessagesPerSecond: 2 * partWritesPerSecond(t), BytesPerSecond: partBytes / usage.WriteInterval.Seconds(), IsExtrapolated: true, Remedy: "as above",
		},
	}}
}

// partWritesPerSecond returns the rate at which the usage collector of a data centre stores usage parts.
func partWritesPerSecond(t Target) float64 {
	const maxPartLines = 5000
	usageLines := t.DaemonsPerDataCentre() * t.UsageLines(usage.WriteInterval)
	return roundUp(usageLines/maxPartLines) / usage.WriteInterval.Seconds()
}

// usageWindow is the length of a usage window, the interval for which usage is summed and reported.
const usageWindow = time.Minute

// sealerRole is the additional work of the holder of the usage lease. It seals each usage window: it sums the usage
// parts of the window and stores the sum as the window's final usage, the seal.
func sealerRole(t Target, f measurements) Role {
	usageLines := t.DaemonsPerDataCentre() * t.UsageLines(usage.FlushInterval) * (usageWindow + usage.DefaultGracePeriod).Seconds() / usage.FlushInterval.Seconds()
	listedBytes := f.state.Part.At(usageLines) * kilobyte
	sealBytes := f.state.Part.At(float64(t.Workspaces*t.Classes)) * kilobyte
	return Role{Name: "usage sealer", Holders: "1 daemon of each data centre", Costs: []Cost{
		{
			Part: "windows sealed", Mechanism: "`process/usage`: once a minute all parts of the window are listed and summed", State: "the parts while they are summed",
			MessagesPerSecond: 2 * (2 + partWritesPerSecond(t)*usageWindow.Seconds()) / usageWindow.Seconds(), BytesPerSecond: (listedBytes + 3*sealBytes) / usageWindow.Seconds(),
			Memory: 3 * listedBytes, IsExtrapolated: true,
			Remedy: "the collector sums before it stores; the sealer reads one part after the other instead of one list",
		},
	}}
}

// burnRole is the cost of counting requests for burn rates.
func burnRole(t Target, f measurements) Role {
	return Role{Name: "burn", Holders: "all daemons", Costs: []Cost{{
		Part: "counts", Mechanism: "`process/burn`: a ring of 120 slots for each workspace and class", State: formatNumber(float64(t.Workspaces*t.Classes)) + " rows",
		Memory: f.state.Recorder.AtTarget() * kilobyte,
		Remedy: "rings only for the short window, and a few coarse slots for the hour",
	}}}
}
