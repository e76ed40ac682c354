// Package pick chooses the backend server of a granted request. A policy is a value with a function
// field; RoundRobin and LeastReported are the baselines that Observed is measured against.
package pick

import (
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// Server is what the home of a pool knows of one backend server.
type Server struct {
	// Name identifies the backend server.
	Name string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Running is the number of grants that are out; the home counts it itself, so it doesn't lag.
	Running int
	// Cheap tells that the server may be taken away at short notice.
	Cheap bool
	// FirstToken is the smoothed observed time to first token; 0 is none yet.
	FirstToken time.Duration
	// BetweenTokens is the smoothed observed time between tokens; 0 is none yet.
	BetweenTokens time.Duration
	// Slow tells that the server is a straggler by own observation.
	Slow bool
	// ProbeDue tells that a straggler may get one request to see whether it has recovered.
	ProbeDue bool
	// Reported is the newest load report; it lags.
	Reported wire.LoadReport
}

// Free returns the number of free slots.
func (s *Server) Free() int { return max(0, s.Slots-s.Running) }

// Ask is what a request needs of its backend server.
type Ask struct {
	// FirstTokenIn is the time left to the target of the first token; 0 is no target.
	FirstTokenIn time.Duration
	// BetweenTokens is the target between tokens; 0 is none.
	BetweenTokens time.Duration
	// CheapAllowed tells that the request can be repeated or resumed.
	CheapAllowed bool
	// Cached returns the tokens of the prompt's prefix that the server is believed to hold; nil is none.
	Cached func(server string) int
}

// Policy chooses among backend servers that may take the request and have a free slot.
type Policy struct {
	// Name is the policy's name in reports.
	Name string
	// Choose returns one of the servers; it is never called with none.
	Choose func(servers []*Server, ask Ask) *Server
}

// RoundRobin returns the baseline that goes through the servers in turn.
func RoundRobin() Policy {
	next := 0
	return Policy{Name: "round_robin", Choose: func(servers []*Server, _ Ask) *Server {
		next++
		return servers[next%len(servers)]
	}}
}

// LeastReported returns the baseline that takes the least loaded by the newest reports.
func LeastReported() Policy {
	return Policy{Name: "least_reported", Choose: func(servers []*Server, _ Ask) *Server {
		best := servers[0]
		for _, s := range servers[1:] {
			if reportedLoad(s) < reportedLoad(best) {
				best = s
			}
		}
		return best
	}}
}

func reportedLoad(s *Server) float64 {
	return float64(s.Reported.Running+s.Reported.Waiting) / float64(max(s.Slots, 1))
}
