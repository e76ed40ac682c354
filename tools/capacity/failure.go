package main

import (
	"fmt"
	"math"
	"time"

	"github.com/toucanroute/toucanroute/connection/peer"
)

const (
	// drain is the time that running streams get on a graceful stop.
	drain = 60 * time.Second
	// recovery is the longest time for which a new home gives no grants while the others declare theirs.
	recovery = peer.HeartbeatTimeout
	// redial is about the pause between two dials of a peer that has been lost for long.
	redial = 2 * time.Second
	// dialTimeout bounds one dial of a peer.
	dialTimeout = time.Second
	// lineBytes is about one kept line of usage in memory.
	lineBytes = 100
)

// Failure is what one kind of failure costs.
type Failure struct {
	Kind string
	// PerDay is how often it comes.
	PerDay float64
	// Daemons is the number of daemons lost at once.
	Daemons float64
	// Graceful tells that the daemons drain.
	Graceful bool
}

// FailureCost is the cost of one failure.
type FailureCost struct {
	Failure
	// Moved is the number of pools whose home moves; a graceful restart moves them away and back.
	Moved float64
	// Cut is the number of streams that break.
	Cut float64
	// Delayed is the number of requests that wait for a new home.
	Delayed float64
	// Declared is the bytes of the grants that are declared to new homes.
	Declared float64
	// Leases is the expected number of leases that wait for a takeover.
	Leases float64
	// Calls is the number of calls to the object API.
	Calls float64
}

// failures lists the failures of the size ahead.
func failures(t Target) []Failure {
	return []Failure{
		{Kind: "one instance lost", PerDay: t.LossesPerDay, Daemons: 1},
		{Kind: "one instance restarted or replaced, drained", PerDay: t.RestartsPerDay, Daemons: 1, Graceful: true},
		{Kind: fmt.Sprintf("a rack or switch (%d instances assumed)", t.RackDaemons), PerDay: 1.0 / 7, Daemons: float64(t.RackDaemons)},
		{Kind: "a data centre", PerDay: 1.5 / 365, Daemons: t.PerDataCentre()},
	}
}

// cost works a failure out.
func (f Failure) cost(t Target) FailureCost {
	share := f.Daemons / float64(t.Daemons)
	c := FailureCost{Failure: f, Moved: share * t.Homes(), Leases: share * leaseJobs * float64(t.DataCentres)}
	streams := share * t.Streams()
	grants := c.Moved * t.Streams() / t.Homes()
	c.Declared = grants * heldBytes(t)
	c.Delayed = c.Moved * t.HomeRequests() * (peer.HeartbeatTimeout + recovery).Seconds()
	c.Cut = streams
	// A start reads two lists and a document; a takeover reads and writes a lease and lists the intents and the seals.
	c.Calls = 3*f.Daemons + 4*c.Leases
	if f.Graceful {
		c.Moved *= 2
		c.Declared *= 2
		c.Delayed = c.Moved * t.HomeRequests() * recovery.Seconds()
		c.Cut = streams * math.Exp(-drain.Seconds()/t.Answer().Seconds())
		c.Calls = 3*f.Daemons + 6*c.Leases
	}
	if f.Daemons >= t.PerDataCentre() {
		// The whole data centre is gone: its homes move nowhere and its leases stay until it is back.
		c.Moved, c.Declared, c.Leases = 0, 0, 0
		c.Delayed = 0
	}
	return c
}

// cutMemory returns the bytes of usage that a daemon and its data centre's collector keep through a cut: a line for each
// workspace and class at most in each window.
func cutMemory(t Target, cut time.Duration) (daemon, collector float64) {
	windows := cut.Seconds() / window.Seconds()
	daemon = windows * t.Lines(window) * lineBytes
	return daemon, daemon * t.PerDataCentre()
}

// listLimit is the largest answer that the client of the object API reads, in bytes.
const listLimit = 64 << 20

// cutParts returns the bytes of the usage parts of a data centre that wait for the sealer after a cut.
func cutParts(t Target, f figures, cut time.Duration) float64 {
	lines := t.PerDataCentre() * cut.Seconds() / window.Seconds() * t.Lines(window)
	return f.state.Part.At(lines) * kilobyte
}

// redials returns the dials per second that a daemon tries towards peers that are gone: where nothing answers, and where
// each dial is refused at once.
func redials(gone float64) (silent, refused float64) {
	return gone / (redial + dialTimeout).Seconds(), gone / redial.Seconds()
}
