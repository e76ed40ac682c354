// Package roster holds what an instance believes of the backend servers: what they say of themselves in the platform's
// store, and what the instance's own requests show.
//
// Lock order: Roster.mu, then Member.mu.
package roster

import "time"

// Entry is what a backend server says of itself.
type Entry struct {
	// ID names the server's run; a server that starts anew mostly has another.
	ID         string
	Address    string
	Pool       string
	DataCentre string
	// Version is that of the server's software.
	Version string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Draining servers take no further requests.
	Draining bool
	// Cheap servers may be reclaimed within seconds.
	Cheap bool
	// LeavesIn is the time until a draining server is gone; 0 is unknown.
	LeavesIn time.Duration
	// Started is the Unix time in milliseconds of the server's start; 0 is unknown.
	Started int64
	// ColdFor is the time for which the server stays slow after its start.
	ColdFor time.Duration
	// Weights is the version of an engine's weights; 0 is unknown.
	Weights int
}

// Load is the load that a server tells in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
