package hostroute

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"
)

// ErrConfig says which part of a configuration is invalid and why.
type ErrConfig struct {
	Version int
	// Field is the path of the invalid part, such as routes.NAME.
	Field  string
	Reason string
}

func (e ErrConfig) Error() string {
	return fmt.Sprintf("configuration %d: %s: %s", e.Version, e.Field, e.Reason)
}

// Table provides lookups in one configuration. It is immutable and safe for concurrent use.
type Table struct {
	cfg Config
	// routes holds the routes by host and by path prefix.
	routes map[string]map[string]*Route
	pools  map[string]*Pool
	// ranks holds the priority rank of each pair of a workspace's and a route's tier.
	ranks map[tierPair]int
	// minEventGaps holds the shortest MaxEventGap among the stream routes of each pool.
	minEventGaps map[string]time.Duration
	// bearsPrefills holds the pools of which some routes BearsPrefills.
	bearsPrefills map[string]bool
	// lowestPriorityRanks holds the highest rank among the requests of each server group.
	lowestPriorityRanks map[serverGroup]int
	// lessUrgentLimits holds for each pool and rank the longest wait limit among less urgent requests.
	lessUrgentLimits map[string]*[RankCount]time.Duration
	// keys maps the SHA-256 of each API key to the workspace that owns the key.
	keys map[[sha256.Size]byte]*Workspace
}

// NewTable checks a configuration and returns its table. The table takes ownership of cfg.
func NewTable(cfg Config) (*Table, error) {
	t := &Table{
		cfg:    cfg,
		routes: map[string]map[string]*Route{},
		pools:  map[string]*Pool{},
		keys:   map[[sha256.Size]byte]*Workspace{},
	}
	for i := range cfg.Pools {
		t.pools[cfg.Pools[i].Name] = &cfg.Pools[i]
	}
	for i := range cfg.Routes {
		if err := t.addRoute(&cfg.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range cfg.Workspaces {
		w := &cfg.Workspaces[i]
		for _, key := range w.Keys {
			t.keys[sha256.Sum256([]byte(key))] = w
		}
	}
	t.assignRanks()
	t.findMinEventGaps()
	t.findLowestPriorities()
	t.findLessUrgentLimits()
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	fault := func(reason string) error {
		return ErrConfig{Version: t.cfg.Version, Field: "routes." + r.Name, Reason: reason}
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fault("the prefix must begin and end with a slash")
	}
	if len(r.Shares) == 0 {
		return fault("no pool serves the route")
	}
	for _, s := range r.Shares {
		if t.pools[s.Pool] == nil {
			return fault("unknown pool " + s.Pool)
		}
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	host := strings.ToLower(r.Host)
	if t.routes[host] == nil {
		t.routes[host] = map[string]*Route{}
	}
	t.routes[host][r.Prefix] = r
	return nil
}

// Version returns the configuration's version.
func (t *Table) Version() int { return t.cfg.Version }

// Limits returns the limits on the requests of callers.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Pools returns the pools, which callers must not change.
func (t *Table) Pools() []Pool { return t.cfg.Pools }

// Routes returns the routes, which callers must not change.
func (t *Table) Routes() []Route { return t.cfg.Routes }

// Pool returns the pool with the given name.
func (t *Table) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Route returns the route of the host whose prefix is the longest that matches the path. The host may include a port.
func (t *Table) Route(host, path string) (*Route, bool) {
	if h, _, found := strings.Cut(host, ":"); found {
		host = h
	}
	routes := t.routes[strings.ToLower(host)]
	if len(routes) == 0 {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := routes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// NeedsKey reports whether requests on the route must carry an API key.
func (t *Table) NeedsKey(r *Route) bool { return !r.Open && len(t.cfg.Workspaces) > 0 }

// WorkspaceByKey returns the workspace to which the API key belongs.
func (t *Table) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := t.keys[sha256.Sum256([]byte(key))]
	return w, ok
}
