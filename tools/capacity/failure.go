package main

import (
	"fmt"
	"math"
	"time"

	"github.com/toucanroute/toucanroute/connection/peer"
)

const (
	// drainTimeout is the time that running streams have to finish during a graceful stop.
	drainTimeout = 60 * time.Second
	// grantRecoveryTime is the longest time for which the new home instance of a pool gives no grants. In this time the
	// other instances report to it the grants that they already hold, which is called declaring them.
	grantRecoveryTime = peer.HeartbeatTimeout
	// redialInterval is the approximate pause between two dials of a peer that has been unreachable for long.
	redialInterval = 2 * time.Second
	// dialTimeout is the timeout of one dial of a peer.
	dialTimeout = time.Second
	// usageLineBytes is the approximate size of one usage line in memory.
	usageLineBytes = 100
)

// Failure is one kind of failure.
type Failure struct {
	Kind string
	// PerDay is the frequency of the failure.
	PerDay float64
	// Daemons is the number of daemons that fail at once.
	Daemons float64
	// IsGraceful is set if the daemons drain their streams before they stop.
	IsGraceful bool
}

// FailureCost is the effect of one occurrence of a failure.
type FailureCost struct {
	Failure
	// MovedPools is the number of pools whose home instance changes, counted once per data centre. A graceful restart
	// moves a pool away and back, which counts twice.
	MovedPools float64
	// BrokenStreams is the number of streams that break.
	BrokenStreams float64
	// DelayedRequests is the number of requests that wait for a new home instance.
	DelayedRequests float64
	// DeclaredGrantBytes is the size of the grants that are declared to new home instances.
	DeclaredGrantBytes float64
	// LeaseTakeovers is the expected number of leases that another daemon must take over.
	LeaseTakeovers float64
	// ObjectAPICalls is the number of calls to the object API.
	ObjectAPICalls float64
}

// failures lists the kinds of failures at the target size.
func failures(t Target) []Failure {
	return []Failure{
		{Kind: "one instance lost", PerDay: t.InstanceLossesPerDay, Daemons: 1},
		{Kind: "one instance restarted or replaced, drained", PerDay: t.InstanceRestartsPerDay, Daemons: 1, IsGraceful: true},
		{Kind: fmt.Sprintf("a rack or switch (%d instances assumed)", t.DaemonsPerRack), PerDay: 1.0 / 7, Daemons: float64(t.DaemonsPerRack)},
		{Kind: "a data centre", PerDay: 1.5 / 365, Daemons: t.DaemonsPerDataCentre()},
	}
}

// calculateCost calculates the effect of a failure.
func (f Failure) calculateCost(t Target) FailureCost {
	share := f.Daemons / float64(t.Daemons)
	c := FailureCost{Failure: f, MovedPools: share * t.Homes(), LeaseTakeovers: share * leasesPerCandidate * float64(t.DataCentres)}
	streams := share * t.Streams()
	movedGrants := c.MovedPools * t.Streams() / t.Homes()
	c.DeclaredGrantBytes = movedGrants * declaredGrantBytes(t)
	c.DelayedRequests = c.MovedPools * t.RequestsPerHome() * (peer.HeartbeatTimeout + grantRecoveryTime).Seconds()
	c.BrokenStreams = streams
	// A starting daemon reads two lists and a document. A lease takeover reads and writes the lease and makes two
	// lists: of the intents, which record orders to start or stop servers before they are sent, and of the seals, which
	// hold the final usage of a window.
	c.ObjectAPICalls = 3*f.Daemons + 4*c.LeaseTakeovers
	if f.IsGraceful {
		c.MovedPools *= 2
		c.DeclaredGrantBytes *= 2
		c.DelayedRequests = c.MovedPools * t.RequestsPerHome() * grantRecoveryTime.Seconds()
		c.BrokenStreams = streams * math.Exp(-drainTimeout.Seconds()/t.MeanStreamDuration().Seconds())
		c.ObjectAPICalls = 3*f.Daemons + 6*c.LeaseTakeovers
	}
	if f.Daemons >= t.DaemonsPerDataCentre() {
		// With the whole data centre down, its pools have no other home instance and its leases stay until it is back.
		c.MovedPools, c.DeclaredGrantBytes, c.LeaseTakeovers = 0, 0, 0
		c.DelayedRequests = 0
	}
	return c
}

// usageMemoryDuringOutage returns the bytes of usage that a daemon, and the usage collector of its data centre, keep in
// memory while the platform is unreachable. Each usage window has at most one line per workspace and class.
func usageMemoryDuringOutage(t Target, outage time.Duration) (daemon, collector float64) {
	windows := outage.Seconds() / usageWindow.Seconds()
	daemon = windows * t.UsageLines(usageWindow) * usageLineBytes
	return daemon, daemon * t.DaemonsPerDataCentre()
}

// maxListResponseBytes is the largest list response that the client of the object API reads.
const maxListResponseBytes = 64 << 20

// pendingPartBytes returns the bytes of the usage parts of a data centre that are stored after an outage and have yet
// to be summed into seals.
func pendingPartBytes(t Target, f measurements, outage time.Duration) float64 {
	lines := t.DaemonsPerDataCentre() * outage.Seconds() / usageWindow.Seconds() * t.UsageLines(usageWindow)
	return f.state.Part.At(lines) * kilobyte
}

// redialRates returns the dials per second of a daemon to unreachable peers: if the dials time out, and if they are
// refused at once.
func redialRates(lostPeers float64) (timedOut, refused float64) {
	return lostPeers / (redialInterval + dialTimeout).Seconds(), lostPeers / redialInterval.Seconds()
}
