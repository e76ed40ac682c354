// Package pick chooses the backend server of a request that gets a slot, by a Policy. ObservedPolicy is the default
// policy; RoundRobin and LeastReported are baselines for comparison.
package pick

import (
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// Server is the state of one backend server as known to the scheduler of its pool.
type Server struct {
	// Name identifies the backend server.
	Name string
	// Slots is the number of requests that the server can run at once.
	Slots int
	// Running is the number of requests that have a slot of the server. The scheduler counts them itself, so that the
	// number is up to date.
	Running int
	// Cheap reports that the server may be taken away at short notice.
	Cheap bool
	// FirstToken is the smoothed observed time to first token; 0 means no observation.
	FirstToken time.Duration
	// BetweenTokens is the smoothed observed time between tokens; 0 means no observation.
	BetweenTokens time.Duration
	// IsStraggler reports that the server is a straggler: its observed times are far above the median of its pool.
	IsStraggler bool
	// ProbeDue reports that a straggler may get one request as a probe of whether it has recovered.
	ProbeDue bool
	// Reported is the latest load report of the server, which may be outdated.
	Reported wire.LoadReport
}

// Free returns the number of free slots.
func (s *Server) Free() int { return max(0, s.Slots-s.Running) }

// Requirements holds the requirements of a request for its backend server.
type Requirements struct {
	// FirstTokenBudget is the time left until the first token is due; 0 means no target.
	FirstTokenBudget time.Duration
	// BetweenTokens is the target time between tokens; 0 means none.
	BetweenTokens time.Duration
	// CheapAllowed reports that the request can be repeated or resumed, so that it may run on a cheap server.
	CheapAllowed bool
	// Cached returns the number of tokens of the prompt's prefix that the server probably has in its cache; a nil
	// function means that no server has any.
	Cached func(server string) int
}

// Policy chooses among the backend servers that may serve a request and have a free slot.
type Policy struct {
	// Name is the policy's name in reports.
	Name string
	// Choose returns one of the servers; it must not be called with an empty slice.
	Choose func(servers []*Server, requirements Requirements) *Server
}

// RoundRobin returns the baseline policy that cycles through the servers.
func RoundRobin() Policy {
	next := 0
	return Policy{Name: "round_robin", Choose: func(servers []*Server, _ Requirements) *Server {
		next++
		return servers[next%len(servers)]
	}}
}

// LeastReported returns the baseline policy that chooses the server with the lowest load in its latest report.
func LeastReported() Policy {
	return Policy{Name: "least_reported", Choose: func(servers []*Server, _ Requirements) *Server {
		best := servers[0]
		for _, s := range servers[1:] {
			if reportedLoad(s) < reportedLoad(best) {
				best = s
			}
		}
		return best
	}}
}

// reportedLoad returns the number of running and waiting requests per slot in the server's latest report.
func reportedLoad(s *Server) float64 {
	return float64(s.Reported.Running+s.Reported.Waiting) / float64(max(s.Slots, 1))
}
