// Package hostroute provides immutable lookup tables of a configuration whose routes are selected by the host and the
// path prefix of a request. A route sends its requests to pools, which are groups of interchangeable backend servers.
package hostroute

import "time"

// Kind says how often a request of a route may be executed, and whether its response is a stream.
type Kind int

const (
	// AtMostOnce is the kind of requests that may be executed at most once.
	AtMostOnce Kind = iota
	// Repeatable is the kind of requests that may be executed more than once.
	Repeatable
	// Stream is the kind of requests whose response is a stream of events.
	Stream
)

// Config is one version of the configuration.
type Config struct {
	// Version increases with every configuration.
	Version int
	Routes  []Route
	Pools   []Pool
	// Workspaces hold the API keys. If there are no workspaces, requests need no key.
	Workspaces []Workspace
	Limits     Limits
}

// Route sends the requests for a host and path prefix to one or more pools of backend servers.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares lists the pools that serve the route. A single pool gets all requests.
	Shares []Share
	// Tier is the priority of the route's requests; 0 is the most urgent.
	Tier int
	// Timeout is the maximum time until a request has its final response; 0 means no limit.
	Timeout time.Duration
	// FirstEventTarget is the service level's target for the time to the first event of a stream, or to the whole
	// response of another request.
	FirstEventTarget time.Duration
	// MaxEventGap is the longest time between two events of a stream that the service level allows; 0 means no limit.
	MaxEventGap time.Duration
	// MaxAttempts is the maximum number of backend servers that may run one request; it is at least 1.
	MaxAttempts int
	// Open is true if requests of the route need no API key.
	Open bool
	// Affinity is true if requests identify the parts of their prompt.
	Affinity bool
	// Resumable is true if an interrupted stream of the route may continue at another backend server.
	Resumable bool
	// Homes names the regions, or data centres, that the requests may reach; none means all.
	Homes []string
}

// MayRepeat reports whether a request of the route may run again at another backend server.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Share is one of the pools of a route, with the share of the route's requests that it gets.
type Share struct {
	Pool string
	// Weight is relative to the sum of the weights of the route's pools.
	Weight float64
}

// Pool is a group of interchangeable backend servers.
type Pool struct {
	Name string
	// HealthPath is the path of the servers' health check.
	HealthPath string
	// MaxConnections is the maximum number of connections to one server, summed over all instances.
	MaxConnections int
	// ColdRate is the number of requests a second, from all instances together, that a cold server stands; 0 means that it
	// needs no care. ColdStartTime is the time after its start for which a server is cold.
	ColdRate      float64
	ColdStartTime time.Duration
	// Engine describes the model engines of the pool; nil if the servers run no model engine.
	Engine *Engine
	// Scaling is nil if the number of servers is fixed.
	Scaling *Scaling
}

// Engine describes how the model engines of a pool batch requests.
type Engine struct {
	// Slots is the maximum number of requests that one engine runs at the same time.
	Slots int
	// KVCacheTokens is the size of one engine's KV cache, which holds running requests and cached prompts, in tokens.
	KVCacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Scaling limits the number of servers of a pool that may be ordered in each data centre, and gives their prices.
type Scaling struct {
	// Min and Max are the least and the greatest number of servers.
	Min int
	Max int
	// BootTime is the time from the order of a server until it serves requests.
	BootTime time.Duration
	// CheapPriceRatio is the price of a reclaimable server, which its provider may take back at short notice, as a
	// fraction of a regular server's price; 0 if no reclaimable servers are offered.
	CheapPriceRatio float64
	// PricePerSecond maps each data centre to the price of one server for one second.
	PricePerSecond map[string]float64
}

// Workspace is a customer and its API keys.
type Workspace struct {
	Name string
	Keys []string
	// Homes names the regions, or data centres, that the requests may reach; none means all. Those of the route bind too.
	Homes []string
	// Tier replaces the tier of the routes unless it is nil.
	Tier *int
}

// Limits restricts the size of requests and the time that callers may take to send them.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the time within which the headers of a request must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time for which a connection may be idle.
	IdleTimeout time.Duration
}
