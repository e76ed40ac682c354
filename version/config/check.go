// Package config validates, encodes and compares configurations of a deployment.
//
// A class is a kind of request with a priority, its tier, and a service level. A workspace is a customer, with the
// classes that it may use. A pool is a group of backend servers that run the same model or service. A route gives a
// pool the name that callers use.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"github.com/toucanroute/toucanroute/wire"
)

// Range of a class's tier; tier 1 has the highest priority.
const (
	minTier = 1
	maxTier = 16
)

// ErrConfig describes an invalid field of a configuration.
type ErrConfig struct {
	// Field is the path of the field, such as workspaces[2].classes[0].
	Field string
	// Found describes the invalid value.
	Found string
	// Allowed describes the permitted values.
	Allowed string
}

func (e ErrConfig) Error() string {
	return fmt.Sprintf("%s: found %s, allowed: %s", e.Field, e.Found, e.Allowed)
}

// IsErrConfig reports whether err is or wraps an ErrConfig, which describes an invalid field.
func IsErrConfig(err error) bool {
	var configErr ErrConfig
	return errors.As(err, &configErr)
}

// checker collects the faults of one configuration. Its maps hold the names that the checks have found so far.
type checker struct {
	cfg         *wire.Config
	faults      []ErrConfig
	dataCentres map[string]bool
	classes     map[string]*wire.Class
	workspaces  map[string]bool
	pools       map[string]*wire.PoolSpec
}

// Check returns all faults of cfg as one joined error; each fault is an ErrConfig.
func Check(cfg *wire.Config) error {
	var errs []error
	for _, fault := range Faults(cfg) {
		errs = append(errs, fault)
	}
	return errors.Join(errs...)
}

// Faults returns all faults of cfg. The version isn't checked, since it is set only when an operator applies the
// configuration.
func Faults(cfg *wire.Config) []ErrConfig {
	c := &checker{
		cfg:         cfg,
		dataCentres: map[string]bool{},
		classes:     map[string]*wire.Class{},
		workspaces:  map[string]bool{},
		pools:       map[string]*wire.PoolSpec{},
	}
	if cfg.Deployment == "" {
		c.addFault("deployment", `""`, "a name")
	}
	c.checkDataCentres()
	c.checkClasses()
	c.checkWorkspaces()
	c.checkPools()
	c.checkRoutes()
	c.checkServers()
	return c.faults
}

func (c *checker) addFault(field, found, allowed string) {
	c.faults = append(c.faults, ErrConfig{Field: field, Found: found, Allowed: allowed})
}

// name records a fault if a name is empty, can't be used in paths and object names, or is a duplicate.
func (c *checker) name(field, name string, duplicate bool) {
	switch {
	case name == "":
		c.addFault(field, `""`, "a name")
	case strings.ContainsAny(name, "/?#% \t\r\n"):
		c.addFault(field, quote(name), "a name without spaces and without / ? # %")
	case duplicate:
		c.addFault(field, quote(name), "each name once")
	}
}

func (c *checker) checkDataCentres() {
	if len(c.cfg.DataCentres) == 0 {
		c.addFault("data_centres", "nothing", "at least one data centre")
	}
	for i, dc := range c.cfg.DataCentres {
		field := fmt.Sprintf("data_centres[%d]", i)
		c.name(field, dc, c.dataCentres[dc])
		if strings.Contains(dc, ".") {
			c.addFault(field, quote(dc), "a name without dots")
		}
		c.dataCentres[dc] = true
	}
}

func (c *checker) checkClasses() {
	for i := range c.cfg.Classes {
		class := &c.cfg.Classes[i]
		field := fmt.Sprintf("classes[%d]", i)
		c.name(field+".name", class.Name, c.classes[class.Name] != nil)
		c.classes[class.Name] = class
		if class.Tier < minTier || class.Tier > maxTier {
			c.addFault(field+".tier", fmt.Sprint(class.Tier), fmt.Sprintf("%d to %d", minTier, maxTier))
		}
		if class.TtftMs < 1 {
			c.addFault(field+".ttft_ms", fmt.Sprint(class.TtftMs), "at least 1")
		}
		if class.Attainment <= 0 || class.Attainment > 1 {
			c.addFault(field+".attainment", fmt.Sprint(class.Attainment), "more than 0 and at most 1")
		}
		if class.DeadlineMs > 0 && class.DeadlineMs < class.TtftMs {
			c.addFault(field+".deadline_ms", fmt.Sprint(class.DeadlineMs), "0, or at least ttft_ms")
		}
		c.checkNotNegative(field+".tbt_ms", float64(class.TbtMs))
		c.checkNotNegative(field+".deadline_ms", float64(class.DeadlineMs))
		c.checkNotNegative(field+".max_tokens", float64(class.MaxTokens))
		c.checkNotNegative(field+".weight", class.Weight)
	}
}

func (c *checker) checkWorkspaces() {
	for i, w := range c.cfg.Workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		c.name(field+".name", w.Name, c.workspaces[w.Name])
		c.workspaces[w.Name] = true
		seen := map[string]bool{}
		for j, class := range w.Classes {
			classField := fmt.Sprintf("%s.classes[%d]", field, j)
			c.class(classField, class)
			if seen[class] {
				c.addFault(classField, quote(class), "each class once")
			}
			seen[class] = true
		}
		c.checkNotNegative(field+".weight", w.Weight)
		c.checkNotNegative(field+".requests_per_second", w.RequestsPerSecond)
		c.checkNotNegative(field+".tokens_per_second", w.TokensPerSecond)
	}
}

func (c *checker) checkPools() {
	for i := range c.cfg.Pools {
		p := &c.cfg.Pools[i]
		field := fmt.Sprintf("pools[%d]", i)
		c.name(field+".name", p.Name, c.pools[p.Name] != nil)
		c.pools[p.Name] = p
		if p.Kind != wire.PoolSpecKindModel && p.Kind != wire.PoolSpecKindService {
			c.addFault(field+".kind", quote(string(p.Kind)), `"model" or "service"`)
		}
		c.checkNotNegative(field+".expected_rps", p.ExpectedRps)
		c.checkNotNegative(field+".expected_tokens", float64(p.ExpectedTokens))
	}
}

func (c *checker) checkRoutes() {
	seen := map[string]bool{}
	for i := range c.cfg.Routes {
		r := &c.cfg.Routes[i]
		field := fmt.Sprintf("routes[%d]", i)
		key := string(r.Kind) + " " + r.Name
		c.name(field+".name", r.Name, seen[key])
		seen[key] = true
		c.class(field+".class", r.Class)
		c.checkRoutePool(field, r)
		c.checkOpenRoute(field, r)
		c.checkMethodRules(field, r)
	}
}

func (c *checker) checkRoutePool(field string, r *wire.Route) {
	if r.Kind != wire.RouteKindModel && r.Kind != wire.RouteKindService {
		c.addFault(field+".kind", quote(string(r.Kind)), `"model" or "service"`)
	}
	pool := c.pools[r.Pool]
	if pool == nil {
		c.addFault(field+".pool", quote(r.Pool), "the name of a pool")
		return
	}
	if string(pool.Kind) != string(r.Kind) {
		c.addFault(field+".pool", fmt.Sprintf("%q, a pool of kind %q", r.Pool, pool.Kind), fmt.Sprintf("a pool of kind %q", r.Kind))
	}
}

// checkOpenRoute checks that a route whose requests need no API key names the workspace to which they are counted, and
// that this workspace may use the route's class.
func (c *checker) checkOpenRoute(field string, r *wire.Route) {
	if r.Open && r.OpenWorkspace == "" {
		c.addFault(field+".open_workspace", "nothing", "the workspace to which open requests are counted")
		return
	}
	if !r.Open && r.OpenWorkspace != "" {
		c.addFault(field+".open_workspace", quote(r.OpenWorkspace), "nothing, since the route isn't open")
		return
	}
	if r.OpenWorkspace == "" {
		return
	}
	if !c.workspaces[r.OpenWorkspace] {
		c.addFault(field+".open_workspace", quote(r.OpenWorkspace), "the name of a workspace")
		return
	}
	for _, w := range c.cfg.Workspaces {
		if w.Name == r.OpenWorkspace && !hasClass(w, r.Class) {
			c.addFault(field+".class", quote(r.Class), "a class that the open workspace may use")
		}
	}
}

func hasClass(w wire.Workspace, class string) bool {
	for _, name := range w.Classes {
		if name == class {
			return true
		}
	}
	return false
}

func (c *checker) checkMethodRules(field string, r *wire.Route) {
	if r.Kind == wire.RouteKindModel && len(r.Methods) > 0 {
		c.addFault(field+".methods", fmt.Sprintf("%d rules", len(r.Methods)), "nothing for a model")
	}
	seen := map[string]bool{}
	for j, m := range r.Methods {
		ruleField := fmt.Sprintf("%s.methods[%d]", field, j)
		if m.Class != "" {
			c.class(ruleField+".class", m.Class)
		}
		if !isMethodPattern(m.Method) {
			c.addFault(ruleField+".method", quote(m.Method), "an HTTP method in capitals, or *")
		}
		if !strings.HasPrefix(m.PathPrefix, "/") {
			c.addFault(ruleField+".path_prefix", quote(m.PathPrefix), "a path that starts with /")
		}
		key := m.Method + " " + m.PathPrefix
		if seen[key] {
			c.addFault(ruleField, quote(key), "each method and path once")
		}
		seen[key] = true
	}
}

func isMethodPattern(s string) bool {
	if s == "*" {
		return true
	}
	for _, r := range s {
		if r < 'A' || r > 'Z' {
			return false
		}
	}
	return s != ""
}

func (c *checker) checkServers() {
	names := map[string]bool{}
	addresses := map[string]bool{}
	for i, s := range c.cfg.Servers {
		field := fmt.Sprintf("servers[%d]", i)
		c.name(field+".name", s.Name, names[s.Name])
		names[s.Name] = true
		if !c.dataCentres[s.DataCentre] {
			c.addFault(field+".data_centre", quote(s.DataCentre), "one of data_centres")
		}
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			c.addFault(field+".address", quote(s.Address), "an IP address and port")
		} else if addresses[s.Address] {
			c.addFault(field+".address", quote(s.Address), "each address once")
		}
		addresses[s.Address] = true
		if s.Slots < 1 {
			c.addFault(field+".slots", fmt.Sprint(s.Slots), "at least 1")
		}
		c.checkNotNegative(field+".cost_per_hour", s.CostPerHour)
		c.checkServerPool(field, s)
	}
}

func (c *checker) checkServerPool(field string, s wire.Server) {
	if s.Kind != "" && s.Kind != wire.ServerKindRegular && s.Kind != wire.ServerKindCheap {
		c.addFault(field+".kind", quote(string(s.Kind)), `"regular" or "cheap"`)
	}
	pool := c.pools[s.Pool]
	if pool == nil {
		c.addFault(field+".pool", quote(s.Pool), "the name of a pool")
		return
	}
	if s.Kind == wire.ServerKindCheap && !pool.CheapAllowed {
		c.addFault(field+".kind", `"cheap"`, fmt.Sprintf("regular, since pool %q allows no cheap servers", s.Pool))
	}
}

// class records a fault unless name is the name of a class of the configuration.
func (c *checker) class(field, name string) {
	if c.classes[name] == nil {
		c.addFault(field, quote(name), "the name of a class")
	}
}

func (c *checker) checkNotNegative(field string, v float64) {
	if !(v >= 0) {
		c.addFault(field, fmt.Sprint(v), "0 or more")
	}
}

func quote(s string) string { return fmt.Sprintf("%q", s) }
