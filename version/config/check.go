// Package config checks a configuration, encodes it and tells the difference of two.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"github.com/toucanroute/toucanroute/wire"
)

// Limits of a class's tier; tier 1 is the highest.
const (
	minTier = 1
	maxTier = 16
)

// ErrConfig tells what is wrong with one field of a configuration.
type ErrConfig struct {
	// Field is the path of the field, such as workspaces[2].classes[0].
	Field string
	// Found is what stands there.
	Found string
	// Allowed is what may stand there.
	Allowed string
}

func (e ErrConfig) Error() string {
	return fmt.Sprintf("%s: found %s, allowed: %s", e.Field, e.Found, e.Allowed)
}

// IsErrConfig tells whether err is or holds an ErrConfig.
func IsErrConfig(err error) bool {
	var field ErrConfig
	return errors.As(err, &field)
}

// checker collects the faults of one configuration.
type checker struct {
	cfg     *wire.Config
	faults  []ErrConfig
	centres map[string]bool
	classes map[string]*wire.Class
	spaces  map[string]bool
	pools   map[string]*wire.PoolSpec
}

// Check returns all faults of cfg joined, each an ErrConfig.
func Check(cfg *wire.Config) error {
	var errs []error
	for _, fault := range Faults(cfg) {
		errs = append(errs, fault)
	}
	return errors.Join(errs...)
}

// Faults returns all faults of cfg. The version isn't checked: it is set on acceptance.
func Faults(cfg *wire.Config) []ErrConfig {
	c := &checker{
		cfg:     cfg,
		centres: map[string]bool{},
		classes: map[string]*wire.Class{},
		spaces:  map[string]bool{},
		pools:   map[string]*wire.PoolSpec{},
	}
	if cfg.Deployment == "" {
		c.add("deployment", `""`, "a name")
	}
	c.checkCentres()
	c.checkClasses()
	c.checkWorkspaces()
	c.checkPools()
	c.checkRoutes()
	c.checkServers()
	return c.faults
}

func (c *checker) add(field, found, allowed string) {
	c.faults = append(c.faults, ErrConfig{Field: field, Found: found, Allowed: allowed})
}

// name checks that a name is given, usable in paths and object names, and not taken.
func (c *checker) name(field, name string, taken bool) {
	switch {
	case name == "":
		c.add(field, `""`, "a name")
	case strings.ContainsAny(name, "/?#% \t\r\n"):
		c.add(field, quote(name), "a name without spaces and without / ? # %")
	case taken:
		c.add(field, quote(name), "each name once")
	}
}

func (c *checker) checkCentres() {
	if len(c.cfg.DataCentres) == 0 {
		c.add("data_centres", "nothing", "at least one data centre")
	}
	for i, dc := range c.cfg.DataCentres {
		field := fmt.Sprintf("data_centres[%d]", i)
		c.name(field, dc, c.centres[dc])
		if strings.Contains(dc, ".") {
			c.add(field, quote(dc), "a name without dots")
		}
		c.centres[dc] = true
	}
}

func (c *checker) checkClasses() {
	for i := range c.cfg.Classes {
		class := &c.cfg.Classes[i]
		field := fmt.Sprintf("classes[%d]", i)
		c.name(field+".name", class.Name, c.classes[class.Name] != nil)
		c.classes[class.Name] = class
		if class.Tier < minTier || class.Tier > maxTier {
			c.add(field+".tier", fmt.Sprint(class.Tier), fmt.Sprintf("%d to %d", minTier, maxTier))
		}
		if class.TtftMs < 1 {
			c.add(field+".ttft_ms", fmt.Sprint(class.TtftMs), "at least 1")
		}
		if class.Attainment <= 0 || class.Attainment > 1 {
			c.add(field+".attainment", fmt.Sprint(class.Attainment), "more than 0 and at most 1")
		}
		if class.DeadlineMs > 0 && class.DeadlineMs < class.TtftMs {
			c.add(field+".deadline_ms", fmt.Sprint(class.DeadlineMs), "0, or at least ttft_ms")
		}
		c.notNegative(field+".tbt_ms", float64(class.TbtMs))
		c.notNegative(field+".deadline_ms", float64(class.DeadlineMs))
		c.notNegative(field+".max_tokens", float64(class.MaxTokens))
		c.notNegative(field+".weight", class.Weight)
	}
}

func (c *checker) checkWorkspaces() {
	for i, w := range c.cfg.Workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		c.name(field+".name", w.Name, c.spaces[w.Name])
		c.spaces[w.Name] = true
		seen := map[string]bool{}
		for j, class := range w.Classes {
			at := fmt.Sprintf("%s.classes[%d]", field, j)
			c.class(at, class)
			if seen[class] {
				c.add(at, quote(class), "each class once")
			}
			seen[class] = true
		}
		c.notNegative(field+".weight", w.Weight)
		c.notNegative(field+".requests_per_second", w.RequestsPerSecond)
		c.notNegative(field+".tokens_per_second", w.TokensPerSecond)
	}
}

func (c *checker) checkPools() {
	for i := range c.cfg.Pools {
		p := &c.cfg.Pools[i]
		field := fmt.Sprintf("pools[%d]", i)
		c.name(field+".name", p.Name, c.pools[p.Name] != nil)
		c.pools[p.Name] = p
		if p.Kind != wire.PoolSpecKindModel && p.Kind != wire.PoolSpecKindService {
			c.add(field+".kind", quote(string(p.Kind)), `"model" or "service"`)
		}
		c.notNegative(field+".expected_rps", p.ExpectedRps)
		c.notNegative(field+".expected_tokens", float64(p.ExpectedTokens))
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
		c.routePool(field, r)
		c.routeOpen(field, r)
		c.routeMethods(field, r)
	}
}

func (c *checker) routePool(field string, r *wire.Route) {
	if r.Kind != wire.RouteKindModel && r.Kind != wire.RouteKindService {
		c.add(field+".kind", quote(string(r.Kind)), `"model" or "service"`)
	}
	pool := c.pools[r.Pool]
	if pool == nil {
		c.add(field+".pool", quote(r.Pool), "the name of a pool")
		return
	}
	if string(pool.Kind) != string(r.Kind) {
		c.add(field+".pool", fmt.Sprintf("%q, a pool of kind %q", r.Pool, pool.Kind), fmt.Sprintf("a pool of kind %q", r.Kind))
	}
}

// routeOpen checks that an open route counts its requests to a workspace that may use its classes.
func (c *checker) routeOpen(field string, r *wire.Route) {
	if r.Open && r.OpenWorkspace == "" {
		c.add(field+".open_workspace", "nothing", "the workspace to which open requests are counted")
		return
	}
	if !r.Open && r.OpenWorkspace != "" {
		c.add(field+".open_workspace", quote(r.OpenWorkspace), "nothing, since the route isn't open")
		return
	}
	if r.OpenWorkspace == "" {
		return
	}
	if !c.spaces[r.OpenWorkspace] {
		c.add(field+".open_workspace", quote(r.OpenWorkspace), "the name of a workspace")
		return
	}
	for _, w := range c.cfg.Workspaces {
		if w.Name == r.OpenWorkspace && !hasClass(w, r.Class) {
			c.add(field+".class", quote(r.Class), "a class that the open workspace may use")
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

func (c *checker) routeMethods(field string, r *wire.Route) {
	if r.Kind == wire.RouteKindModel && len(r.Methods) > 0 {
		c.add(field+".methods", fmt.Sprintf("%d rules", len(r.Methods)), "nothing for a model")
	}
	seen := map[string]bool{}
	for j, m := range r.Methods {
		at := fmt.Sprintf("%s.methods[%d]", field, j)
		if m.Class != "" {
			c.class(at+".class", m.Class)
		}
		if !isMethod(m.Method) {
			c.add(at+".method", quote(m.Method), "an HTTP method in capitals, or *")
		}
		if !strings.HasPrefix(m.PathPrefix, "/") {
			c.add(at+".path_prefix", quote(m.PathPrefix), "a path that starts with /")
		}
		key := m.Method + " " + m.PathPrefix
		if seen[key] {
			c.add(at, quote(key), "each method and path once")
		}
		seen[key] = true
	}
}

func isMethod(s string) bool {
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
		if !c.centres[s.DataCentre] {
			c.add(field+".data_centre", quote(s.DataCentre), "one of data_centres")
		}
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			c.add(field+".address", quote(s.Address), "an IP address and port")
		} else if addresses[s.Address] {
			c.add(field+".address", quote(s.Address), "each address once")
		}
		addresses[s.Address] = true
		if s.Slots < 1 {
			c.add(field+".slots", fmt.Sprint(s.Slots), "at least 1")
		}
		c.notNegative(field+".cost_per_hour", s.CostPerHour)
		c.serverPool(field, s)
	}
}

func (c *checker) serverPool(field string, s wire.Server) {
	if s.Kind != "" && s.Kind != wire.ServerKindRegular && s.Kind != wire.ServerKindCheap {
		c.add(field+".kind", quote(string(s.Kind)), `"regular" or "cheap"`)
	}
	pool := c.pools[s.Pool]
	if pool == nil {
		c.add(field+".pool", quote(s.Pool), "the name of a pool")
		return
	}
	if s.Kind == wire.ServerKindCheap && !pool.CheapAllowed {
		c.add(field+".kind", `"cheap"`, fmt.Sprintf("regular, since pool %q allows no cheap servers", s.Pool))
	}
}

func (c *checker) class(field, name string) {
	if c.classes[name] == nil {
		c.add(field, quote(name), "the name of a class")
	}
}

func (c *checker) notNegative(field string, v float64) {
	if !(v >= 0) {
		c.add(field, fmt.Sprint(v), "0 or more")
	}
}

func quote(s string) string { return fmt.Sprintf("%q", s) }
