// Package hostroute holds the immutable lookups of a configuration whose routes are chosen by host and path.
package hostroute

import "time"

// Kind tells how often a request of a route may run.
type Kind int

const (
	// Once is a request that may run at most once.
	Once Kind = iota
	// Repeatable is a request that may run more than once.
	Repeatable
	// Stream is a request whose answer is a stream of events.
	Stream
)

// Config is one version of the configuration.
type Config struct {
	// Version grows from one configuration to the next.
	Version int
	Routes  []Route
	Pools   []Pool
	// Workspaces hold the keys; without any, requests need no key.
	Workspaces []Workspace
	Limits     Limits
}

// Route leads requests of a host below a path prefix to a pool of backend servers.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares are the pools that serve the route; a single pool has all.
	Shares []Share
	// Tier is the rank of the route's requests; 0 is the most urgent.
	Tier int
	// Timeout is the longest time without a final answer; 0 is none.
	Timeout time.Duration
	// Target is the time to the whole answer, or to a stream's first event, that the service level asks for.
	Target time.Duration
	// Gap is the longest pause between two events of a stream that the service level allows; 0 is none.
	Gap time.Duration
	// MaxAttempts is the number of backend servers that may run one request; it is at least 1.
	MaxAttempts int
	// Open routes need no key.
	Open bool
	// Affinity tells that requests name the parts of their prompt.
	Affinity bool
	// Resumable streams may go on at another backend server.
	Resumable bool
}

// MayRepeat tells whether a request may run again at another backend server.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Share is the part of a route's requests that a pool gets.
type Share struct {
	Pool string
	// Weight counts against the sum of the route's weights.
	Weight float64
}

// Pool is a set of like backend servers.
type Pool struct {
	Name string
	// HealthPath is the path of the servers' health check.
	HealthPath string
	// MaxConnections bounds the connections that one server takes from all instances together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// Scaling is nil where the number of servers is fixed.
	Scaling *Scaling
}

// Engine tells how the model engines of a pool run their batches.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// MemoryTokens is the engine's memory for running requests and cached prompts.
	MemoryTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// Scaling bounds the number of servers that may be ordered in each data centre.
type Scaling struct {
	Min int
	Max int
	// BootTime passes from an order until the new server serves.
	BootTime time.Duration
	// CheapPrice is the price of the reclaimable kind as a share of the regular kind's; 0 is that there is none.
	CheapPrice float64
	// Prices holds the price of a server's second by data centre.
	Prices map[string]float64
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Tier replaces the tier of the routes where it is set.
	Tier *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the time within which a request's headers must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the time for which a connection may be idle.
	IdleTimeout time.Duration
}
