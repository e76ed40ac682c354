// Package registry keeps the state of the backend servers as one instance observes it: their entries in the platform's
// store, and the load, failures and reachability that this instance's requests and its peers report.
//
// Lock order: Registry.mu, then Server.mu.
package registry

import "time"

// Entry is a backend server's description of itself in the platform's store.
type Entry struct {
	// ID identifies the server. A restarted server usually has a new one.
	ID         string
	Address    string
	Pool       string
	DataCentre string
	// Version is the version of the server's software.
	Version string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Draining is set if the server finishes its requests before it shuts down and accepts no new ones.
	Draining bool
	// Cheap is set if the platform may reclaim the server within seconds.
	Cheap bool
	// TimeToExit is the time until a draining server shuts down; 0 if unknown.
	TimeToExit time.Duration
	// StartedMs is the server's start time in Unix milliseconds; 0 if unknown.
	StartedMs int64
	// WarmupTime is the time for which the server stays cold, as of when it wrote the entry.
	WarmupTime time.Duration
	// Revision is the store's version of the entry; 0 if unknown.
	Revision int
	// WeightsVersion is the version of the model weights that the server runs; 0 if unknown.
	WeightsVersion int
}

// isSame reports whether two entries say the same, whenever they were written.
func (e Entry) isSame(other Entry) bool {
	e.Revision = other.Revision
	return e == other
}

// Load is the load that a server reports in a response.
type Load struct {
	// Running and Waiting are the numbers of running and queued requests.
	Running int
	Waiting int
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// WorkTime is how long work takes on the server at this moment, relative to the usual time; 0 if the server doesn't say.
	WorkTime float64
}
