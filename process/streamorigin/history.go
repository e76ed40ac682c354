package streamorigin

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/version/hostroute"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// takeUpTime is the time after a stream broke off within which its caller takes it up again, besides the time that its
	// route gives to a request: servers go on with their streams for a while after their entries were removed.
	takeUpTime = 2 * time.Minute
	// maxRouteMemory is the time for which a route's former pools are remembered: callers wait for a stream no longer.
	maxRouteMemory = time.Hour
)

// History tells what may have begun the streams of a path that callers may still take up: the pools to which its routes
// lead or led lately, with the software versions of their servers, also of those that have left lately.
//
// A stream is taken up under the path under which it began, whatever the name and the prefix of the route that it has now.
// So all routes of the host count whose prefix contains the present one or lies in it.
//
// It answers the take-ups after the loss of all instances that knew what began the streams. A process sees only what left
// during its own life, so that it takes over what earlier ones have recorded; until then, nothing is certain.
// Set the exported fields before use.
type History struct {
	// Versions returns the software versions of a pool's servers and of those that were removed within a time, and
	// AddVersion records a version that another process observed.
	Versions   func(pool string, within time.Duration) []string
	AddVersion func(pool, version string)
	// VersionChanges returns a number that changes whenever Versions has more than before; nil means that it always may.
	VersionChanges func() int

	mu sync.Mutex
	// routes holds the routes whose streams may be taken up, also former ones, by scope.
	routes map[string]*routeHistory
	// routeChanges counts the changes of routes, except for what is forgotten.
	routeChanges int
	// watchedSince is the time since which this process knows the routes and the servers; zero before.
	watchedSince time.Time
	// complete is set once this process knows what left before its start.
	complete bool
}

// Answer says how many may have begun a stream, as far as that is known.
type Answer int

const (
	// NotKnown means that this process doesn't know all that may have begun it.
	NotKnown Answer = iota
	// Single means that only one may have.
	Single
	// Several means that several may have, and that this process will learn no more about it.
	Several
)

// scope returns the key of a route: its host and prefix.
func scope(host, prefix string) string { return strings.ToLower(host) + prefix }

// overlap reports whether a path may belong to both scopes.
func overlap(a, b string) bool { return strings.HasPrefix(a, b) || strings.HasPrefix(b, a) }

// routeHistory holds the pools that may have begun streams of a route.
type routeHistory struct {
	// window is the time for which a caller may still take up a stream of a pool or version that has left.
	window time.Duration
	// leftAt holds the time at which the route stopped leading to a pool, by pool; zero while it does.
	leftAt map[string]time.Time
}

// SetRoutes sets the routes of the configuration in force.
func (h *History) SetRoutes(routes []hostroute.Route) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.routeChanges++
	now, leads := time.Now(), map[string]map[string]bool{}
	for i := range routes {
		r := &routes[i]
		if r.Kind != hostroute.Stream {
			continue
		}
		key := scope(r.Host, r.Prefix)
		history := h.route(key)
		history.window = takeUpTime + r.Timeout
		leads[key] = map[string]bool{}
		for _, s := range r.Shares {
			leads[key][s.Pool] = true
			history.leftAt[s.Pool] = time.Time{}
		}
	}
	for key, history := range h.routes {
		for pool, leftAt := range history.leftAt {
			switch {
			case leads[key][pool]:
			case leftAt.IsZero():
				history.leftAt[pool] = now
			case now.Sub(leftAt) > maxRouteMemory:
				delete(history.leftAt, pool)
			}
		}
		if len(history.leftAt) == 0 {
			delete(h.routes, key)
		}
	}
}

// route returns the history of the routes of a scope, and creates it if needed. The caller holds mu.
func (h *History) route(key string) *routeHistory {
	if h.routes == nil {
		h.routes = map[string]*routeHistory{}
	}
	history := h.routes[key]
	if history == nil {
		history = &routeHistory{window: takeUpTime, leftAt: map[string]time.Time{}}
		h.routes[key] = history
	}
	return history
}

// HasRoutes reports whether there is or was a route whose streams may be taken up.
func (h *History) HasRoutes() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.routes) > 0
}

// BeginWatch records that this process knows the routes and the servers from now on. Later calls have no effect.
func (h *History) BeginWatch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.watchedSince.IsZero() {
		h.watchedSince = time.Now()
	}
}

// MarkComplete records that this process knows what left before its start.
func (h *History) MarkComplete() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete = true
}

// BeginAgain records that this process may have missed what came and left, until MarkComplete is called or it has watched for
// long enough from now on.
func (h *History) BeginAgain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete = false
	if !h.watchedSince.IsZero() {
		h.watchedSince = time.Now()
	}
}

// IsComplete reports whether this process knows all that may have begun a stream that callers may still take up: it knows
// what left before its start, or it has watched for long enough itself.
func (h *History) IsComplete() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isComplete()
}

// isComplete is IsComplete for a caller that holds mu.
func (h *History) isComplete() bool {
	return h.complete || !h.watchedSince.IsZero() && time.Since(h.watchedSince) > h.window()
}

// window returns the longest time for which a caller may still take a stream up. The caller holds mu.
func (h *History) window() time.Duration {
	longest := takeUpTime
	for _, history := range h.routes {
		longest = max(longest, history.window)
	}
	return longest
}

// Only returns what began all streams of a route, given by its host and prefix, that callers may still take up, if the
// answer is Single.
func (h *History) Only(host, prefix string) (Origin, Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key, now := scope(host, prefix), time.Now()
	if h.routes[key] == nil || !h.isComplete() {
		return Origin{}, NotKnown
	}
	origins := map[Origin]bool{}
	for other, history := range h.routes {
		if !overlap(key, other) {
			continue
		}
		for _, pool := range history.pools(now) {
			for _, version := range h.Versions(pool, history.window) {
				origins[Origin{Pool: pool, Version: version}] = true
			}
		}
	}
	if len(origins) > 1 {
		return Origin{}, Several
	}
	for origin := range origins {
		return origin, Single
	}
	return Origin{}, NotKnown
}

// pools returns the pools to which the route leads or led within its window, in order.
func (r *routeHistory) pools(now time.Time) []string {
	var names []string
	for pool, leftAt := range r.leftAt {
		if leftAt.IsZero() || now.Sub(leftAt) <= r.window {
			names = append(names, pool)
		}
	}
	slices.Sort(names)
	return names
}

// Record returns the history for the processes that come after this one.
func (h *History) Record(era int) wire.StreamOriginsRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	record := wire.StreamOriginsRecord{Era: era, Pools: wire.StreamOriginsRecordPools{}, Routes: wire.StreamOriginsRecordRoutes{}}
	now, window := time.Now(), h.window()
	for key, history := range h.routes {
		pools := history.pools(now)
		if len(pools) == 0 {
			continue
		}
		record.Routes[key] = pools
		for _, pool := range pools {
			if record.Pools[pool] == nil {
				record.Pools[pool] = h.Versions(pool, window)
			}
		}
	}
	return record
}

// changes identifies the state of the history, apart from what is forgotten. isKnown is false if it can't be told.
func (h *History) changes() (state [2]int, isKnown bool) {
	if h.VersionChanges == nil {
		return state, false
	}
	versions := h.VersionChanges()
	h.mu.Lock()
	defer h.mu.Unlock()
	return [2]int{versions, h.routeChanges}, true
}

// Merge takes over what another process recorded. What this process doesn't know counts as leaving now, since the other one
// may have seen it until it ended.
func (h *History) Merge(record wire.StreamOriginsRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.routeChanges++
	now := time.Now()
	for pool, versions := range record.Pools {
		for _, version := range versions {
			h.AddVersion(pool, version)
		}
	}
	for key, pools := range record.Routes {
		history := h.route(key)
		for _, pool := range pools {
			if _, ok := history.leftAt[pool]; !ok {
				history.leftAt[pool] = now
			}
		}
	}
}

// sameRecord reports whether two records say the same.
func sameRecord(a, b wire.StreamOriginsRecord) bool {
	return a.Era == b.Era && maps.EqualFunc(a.Pools, b.Pools, slices.Equal[[]string]) && maps.EqualFunc(a.Routes, b.Routes, slices.Equal[[]string])
}
