package hostroute

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"
)

// ErrConfig tells why a configuration can't be used.
type ErrConfig struct {
	Version int
	// Field names the faulty part, such as routes.NAME.
	Field  string
	Reason string
}

func (e ErrConfig) Error() string {
	return fmt.Sprintf("configuration %d: %s: %s", e.Version, e.Field, e.Reason)
}

// Table answers lookups of one configuration. It never changes and may be used by all goroutines.
type Table struct {
	cfg Config
	// routes holds the routes by host and prefix.
	routes map[string]map[string]*Route
	pools  map[string]*Pool
	// ranks holds the rank of each level.
	ranks map[level]int
	// gaps holds the shortest permitted pause of each pool's streams.
	gaps map[string]time.Duration
	// leastUrgent holds the highest rank of the requests that share servers.
	leastUrgent map[sharing]int
	// keys holds the owners of the keys by the keys' hashes.
	keys map[[sha256.Size]byte]*Workspace
}

// NewTable checks a configuration and returns its lookups. The table owns cfg from then on.
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
	t.rankLevels()
	t.findGaps()
	t.findLeastUrgent()
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
		return fault("no pool serves it")
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

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Pools returns the pools, which callers must not change.
func (t *Table) Pools() []Pool { return t.cfg.Pools }

// Routes returns the routes, which callers must not change.
func (t *Table) Routes() []Route { return t.cfg.Routes }

// Pool returns the pool of that name.
func (t *Table) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Route returns the route of the host with the longest prefix of the path. The host may carry a port.
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

// NeedsKey tells whether requests on the route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return !r.Open && len(t.cfg.Workspaces) > 0 }

// Owner returns the workspace that holds the key.
func (t *Table) Owner(key string) (*Workspace, bool) {
	w, ok := t.keys[sha256.Sum256([]byte(key))]
	return w, ok
}

// findGaps finds the shortest permitted pause of each pool's streams.
func (t *Table) findGaps() {
	t.gaps = map[string]time.Duration{}
	for i := range t.cfg.Routes {
		r := &t.cfg.Routes[i]
		if r.Kind != Stream || r.Gap <= 0 {
			continue
		}
		for _, s := range r.Shares {
			if least, ok := t.gaps[s.Pool]; !ok || r.Gap < least {
				t.gaps[s.Pool] = r.Gap
			}
		}
	}
}

const (
	// patientFactor is how many times the pool's shortest permitted pause a patient stream may pause.
	patientFactor = 2
	// readingStep is the usual time of an engine's step that also reads a piece of a long prompt: 2,048 tokens.
	readingStep = 30 * time.Millisecond
	// heldUp is the part of the shortest permitted pause from which such steps in a row endanger it.
	heldUp = 0.8
)

// Apart tells whether long prompts would hold up the pool's streams too long, so that patient requests get servers of their
// own: one event takes as many steps as it has tokens.
func (t *Table) Apart(pool string) bool {
	p, ok := t.pools[pool]
	gap := t.gaps[pool]
	return ok && p.Engine != nil && gap > 0 && float64(p.Engine.EventTokens)*float64(readingStep) >= heldUp*float64(gap)
}

// Patient tells whether streams of the route may pause far longer than others of the pool.
func (t *Table) Patient(r *Route, pool string) bool {
	return r.Kind == Stream && t.gaps[pool] > 0 && r.Gap >= patientFactor*t.gaps[pool]
}
