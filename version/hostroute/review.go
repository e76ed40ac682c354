package hostroute

import (
	"fmt"
	"slices"
	"strings"
)

// Severity says what follows from a finding.
type Severity string

const (
	// SeverityError is the severity of an entry that instances reject, or that they can't serve as it stands.
	SeverityError Severity = "error"
	// SeverityWarning is the severity of an entry without effect, or of one that contradicts another.
	SeverityWarning Severity = "warning"
)

// List names one of the lists of a configuration; empty stands for the configuration itself.
type List string

// Lists of a configuration.
const (
	ListRoutes     List = "routes"
	ListPools      List = "pools"
	ListWorkspaces List = "workspaces"
)

// Field names a field of an entry, or of the configuration itself.
type Field string

// Fields that findings concern.
const (
	FieldVersion    Field = "version"
	FieldName       Field = "name"
	FieldHost       Field = "host"
	FieldPrefix     Field = "prefix"
	FieldPool       Field = "pool"
	FieldWeight     Field = "weight"
	FieldTarget     Field = "target"
	FieldGap        Field = "gap"
	FieldTimeout    Field = "timeout"
	FieldAttempts   Field = "attempts"
	FieldAffinity   Field = "affinity"
	FieldResumable  Field = "resumable"
	FieldSlots      Field = "slots"
	FieldScaling    Field = "scaling"
	FieldCheapPrice Field = "cheap price"
	FieldKeys       Field = "keys"
	FieldLimits     Field = "limits"
)

// Finding is one thing that is wrong with a configuration or has no effect.
type Finding struct {
	Severity Severity
	// List and Index lead to the entry; Index is 0 for the configuration itself.
	List  List
	Index int
	Field Field
	// Message says what is wrong and what follows from it.
	Message string
}

// Review returns what is wrong with a configuration, what in it can never match and which of its limits contradict each
// other. It doesn't need the configuration to be valid.
func Review(cfg *Config) []Finding {
	r := &review{cfg: cfg, pools: map[string]*Pool{}}
	for i := range cfg.Pools {
		r.pools[cfg.Pools[i].Name] = &cfg.Pools[i]
	}
	r.reviewNames()
	for i := range cfg.Routes {
		r.reviewRoute(i, &cfg.Routes[i])
	}
	r.reviewMatches()
	for i := range cfg.Pools {
		r.reviewPool(i, &cfg.Pools[i])
	}
	r.reviewKeys()
	r.reviewLimits()
	return r.findings
}

// review collects the findings about one configuration.
type review struct {
	cfg      *Config
	pools    map[string]*Pool
	findings []Finding
}

func (r *review) add(severity Severity, list List, index int, field Field, format string, args ...any) {
	r.findings = append(r.findings, Finding{severity, list, index, field, fmt.Sprintf(format, args...)})
}

// reviewNames finds entries without a name, and entries of the same name in a list.
func (r *review) reviewNames() {
	check := func(list List, n int, name func(int) string) {
		first := map[string]int{}
		for i := range n {
			switch previous, seen := first[name(i)]; {
			case name(i) == "":
				r.add(SeverityError, list, i, FieldName, "the entry has no name")
			case seen:
				r.add(SeverityError, list, i, FieldName, "entry %d has the same name %s", previous+1, name(i))
			default:
				first[name(i)] = i
			}
		}
	}
	check(ListRoutes, len(r.cfg.Routes), func(i int) string { return r.cfg.Routes[i].Name })
	check(ListPools, len(r.cfg.Pools), func(i int) string { return r.cfg.Pools[i].Name })
	check(ListWorkspaces, len(r.cfg.Workspaces), func(i int) string { return r.cfg.Workspaces[i].Name })
}

// reviewRoute finds what is wrong with one route by itself.
func (r *review) reviewRoute(i int, route *Route) {
	add := func(severity Severity, field Field, format string, args ...any) {
		r.add(severity, ListRoutes, i, field, format, args...)
	}
	if route.Host == "" || strings.ContainsAny(route.Host, "/: ") {
		add(SeverityError, FieldHost, "no request has the host %q", route.Host)
	}
	switch {
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		add(SeverityError, FieldPrefix, "the prefix must begin and end with a slash")
	case strings.ContainsAny(route.Prefix, "?# "):
		add(SeverityWarning, FieldPrefix, "the route never matches: no path contains a question mark, a number sign or a space")
	}
	r.reviewShares(i, route)
	if route.Timeout < 0 || route.FirstEventTarget < 0 || route.MaxEventGap < 0 {
		add(SeverityError, FieldTimeout, "a time is negative")
	}
	if route.Timeout > 0 && route.FirstEventTarget > route.Timeout {
		add(SeverityWarning, FieldTarget, "the target %v is longer than the timeout %v, after which a request is given up", route.FirstEventTarget, route.Timeout)
	}
	if route.Kind != Stream && route.MaxEventGap > 0 {
		add(SeverityWarning, FieldGap, "only streams have gaps between events")
	}
	if route.Kind != Stream && route.Resumable {
		add(SeverityWarning, FieldResumable, "only streams can be resumed")
	}
	if route.MaxAttempts > 1 && !route.MayRepeat() {
		add(SeverityWarning, FieldAttempts, "%d attempts have no effect: a request of the route runs at most once", route.MaxAttempts)
	}
}

// reviewShares finds what is wrong with the pools of a route.
func (r *review) reviewShares(i int, route *Route) {
	if len(route.Shares) == 0 {
		r.add(SeverityError, ListRoutes, i, FieldPool, "no pool serves the route")
		return
	}
	sum, mayHaveEngine := 0.0, false
	for _, s := range route.Shares {
		pool, ok := r.pools[s.Pool]
		switch {
		case !ok:
			r.add(SeverityError, ListRoutes, i, FieldPool, "there is no pool %q", s.Pool)
			mayHaveEngine = true
		case pool.Engine != nil:
			mayHaveEngine = true
		}
		if s.Weight < 0 {
			r.add(SeverityError, ListRoutes, i, FieldWeight, "the weight of pool %s is negative", s.Pool)
		}
		sum += max(s.Weight, 0)
	}
	for _, s := range route.Shares {
		if s.Weight == 0 && sum > 0 {
			r.add(SeverityWarning, ListRoutes, i, FieldWeight, "pool %s gets no request: its weight is 0", s.Pool)
		}
	}
	if route.Affinity && !mayHaveEngine {
		r.add(SeverityWarning, ListRoutes, i, FieldAffinity, "no pool of the route has engines, which keep parts of prompts")
	}
}

// reviewMatches finds routes that never match because a later one has the same host and prefix, and pools that no route
// uses.
func (r *review) reviewMatches() {
	last := map[string]int{}
	used := map[string]bool{}
	for i := range r.cfg.Routes {
		route := &r.cfg.Routes[i]
		key := strings.ToLower(route.Host) + route.Prefix
		if previous, ok := last[key]; ok {
			r.add(SeverityWarning, ListRoutes, previous, FieldPrefix, "the route never matches: route %s has the same host and prefix and comes later", route.Name)
		}
		last[key] = i
		for _, s := range route.Shares {
			used[s.Pool] = true
		}
	}
	for i := range r.cfg.Pools {
		if name := r.cfg.Pools[i].Name; name != "" && !used[name] {
			r.add(SeverityWarning, ListPools, i, FieldName, "no route uses the pool %s", name)
		}
	}
}

// reviewPool finds what is wrong with one pool.
func (r *review) reviewPool(i int, pool *Pool) {
	if e := pool.Engine; e != nil && e.Slots <= 0 {
		r.add(SeverityError, ListPools, i, FieldSlots, "an engine needs at least one slot")
	}
	s := pool.Scaling
	if s == nil {
		return
	}
	if s.Min < 0 || s.Min > s.Max {
		r.add(SeverityError, ListPools, i, FieldScaling, "no number of servers is at least %d and at most %d", s.Min, s.Max)
	}
	if s.Max == 0 && s.Min == 0 {
		r.add(SeverityWarning, ListPools, i, FieldScaling, "the pool may have no server")
	}
	if s.CheapPriceRatio < 0 || s.CheapPriceRatio >= 1 {
		r.add(SeverityWarning, ListPools, i, FieldCheapPrice, "reclaimable servers are ordered only for less than the price of regular ones, not at %v of it", s.CheapPriceRatio)
	}
	for dataCentre, price := range s.PricePerSecond {
		if price < 0 {
			r.add(SeverityError, ListPools, i, FieldScaling, "the price in %s is negative", dataCentre)
		}
	}
}

// reviewKeys finds keys of two workspaces, and workspaces and keys that open nothing.
func (r *review) reviewKeys() {
	owners := map[string]string{}
	for i, w := range r.cfg.Workspaces {
		if len(w.Keys) == 0 {
			r.add(SeverityWarning, ListWorkspaces, i, FieldKeys, "no request belongs to the workspace: it has no key")
		}
		for _, key := range w.Keys {
			owner, taken := owners[key]
			switch {
			case key == "":
				r.add(SeverityError, ListWorkspaces, i, FieldKeys, "a key is empty")
			case taken && owner == w.Name:
				r.add(SeverityWarning, ListWorkspaces, i, FieldKeys, "a key is listed twice")
			case taken:
				r.add(SeverityError, ListWorkspaces, i, FieldKeys, "workspace %s has the same key", owner)
			default:
				owners[key] = w.Name
			}
		}
	}
	allOpen := len(r.cfg.Routes) > 0 && !slices.ContainsFunc(r.cfg.Routes, func(route Route) bool { return !route.Open })
	if len(r.cfg.Workspaces) > 0 && allOpen {
		r.add(SeverityWarning, ListWorkspaces, 0, FieldKeys, "no route asks for a key, since all are open")
	}
}

// reviewLimits finds limits on the requests of callers that nobody can keep.
func (r *review) reviewLimits() {
	l := r.cfg.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		r.add(SeverityError, "", 0, FieldLimits, "a limit is negative")
	}
}
