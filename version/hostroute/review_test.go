package hostroute

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// soundConfig returns a configuration without findings.
func soundConfig() Config {
	return Config{
		Version: 1,
		Routes: []Route{
			{Name: "chat", Host: "shop.example", Prefix: "/chat/", Kind: Stream, Shares: []Share{{Pool: "engines", Weight: 1}}, Timeout: time.Second, FirstEventTarget: time.Second, MaxEventGap: time.Second, MaxAttempts: 2, Resumable: true, Affinity: true},
			{Name: "pay", Host: "shop.example", Prefix: "/pay/", Kind: AtMostOnce, Shares: []Share{{Pool: "orders", Weight: 90}, {Pool: "engines", Weight: 10}}, MaxAttempts: 1},
		},
		Pools: []Pool{
			{Name: "engines", Engine: &Engine{Slots: 4}, Scaling: &Scaling{Min: 1, Max: 3, CheapPriceRatio: 0.15, PricePerSecond: map[string]float64{"suva-a": 1}}},
			{Name: "orders"},
		},
		Workspaces: []Workspace{{Name: "alba", Keys: []string{"k1", "k2"}}, {Name: "bela", Keys: []string{"k3"}}},
	}
}

func TestReviewFindsNothingInSoundConfiguration(t *testing.T) {
	cfg := soundConfig()
	assert.DeepEqual(t, Review(&cfg), []Finding(nil))
}

func TestReview(t *testing.T) {
	for name, test := range map[string]struct {
		change   func(*Config)
		severity Severity
		list     List
		index    int
		field    Field
		text     string
	}{
		"same name":               {func(c *Config) { c.Routes[1].Name = "chat" }, SeverityError, ListRoutes, 1, FieldName, "entry 1"},
		"no name":                 {func(c *Config) { c.Workspaces[1].Name = "" }, SeverityError, ListWorkspaces, 1, FieldName, "no name"},
		"host with a path":        {func(c *Config) { c.Routes[0].Host = "shop.example/x" }, SeverityError, ListRoutes, 0, FieldHost, "no request"},
		"prefix without slash":    {func(c *Config) { c.Routes[0].Prefix = "/chat" }, SeverityError, ListRoutes, 0, FieldPrefix, "slash"},
		"prefix with a query":     {func(c *Config) { c.Routes[0].Prefix = "/chat?x=1/" }, SeverityWarning, ListRoutes, 0, FieldPrefix, "never matches"},
		"hidden route":            {func(c *Config) { c.Routes[1].Host, c.Routes[1].Prefix = "SHOP.example", "/chat/" }, SeverityWarning, ListRoutes, 0, FieldPrefix, "route pay"},
		"unknown pool":            {func(c *Config) { c.Routes[0].Shares[0].Pool = "x" }, SeverityError, ListRoutes, 0, FieldPool, `"x"`},
		"no pool":                 {func(c *Config) { c.Routes[0].Shares = nil }, SeverityError, ListRoutes, 0, FieldPool, "no pool"},
		"unused share":            {func(c *Config) { c.Routes[1].Shares[1].Weight = 0 }, SeverityWarning, ListRoutes, 1, FieldWeight, "gets no request"},
		"negative weight":         {func(c *Config) { c.Routes[1].Shares[1].Weight = -1 }, SeverityError, ListRoutes, 1, FieldWeight, "negative"},
		"unused pool":             {func(c *Config) { c.Routes[1].Shares = c.Routes[1].Shares[1:] }, SeverityWarning, ListPools, 1, FieldName, "no route"},
		"target beyond timeout":   {func(c *Config) { c.Routes[0].FirstEventTarget = 2 * time.Second }, SeverityWarning, ListRoutes, 0, FieldTarget, "longer than the timeout"},
		"gap of no stream":        {func(c *Config) { c.Routes[1].MaxEventGap = time.Second }, SeverityWarning, ListRoutes, 1, FieldGap, "only streams"},
		"resumption of no stream": {func(c *Config) { c.Routes[1].Resumable = true }, SeverityWarning, ListRoutes, 1, FieldResumable, "only streams"},
		"attempts without effect": {func(c *Config) { c.Routes[1].MaxAttempts = 2 }, SeverityWarning, ListRoutes, 1, FieldAttempts, "at most once"},
		"affinity without engine": {func(c *Config) { c.Pools[0].Engine = nil }, SeverityWarning, ListRoutes, 0, FieldAffinity, "no pool of the route"},
		"engine without slots":    {func(c *Config) { c.Pools[0].Engine.Slots = 0 }, SeverityError, ListPools, 0, FieldSlots, "at least one"},
		"min above max":           {func(c *Config) { c.Pools[0].Scaling.Min = 4 }, SeverityError, ListPools, 0, FieldScaling, "at least 4 and at most 3"},
		"cheap at full price":     {func(c *Config) { c.Pools[0].Scaling.CheapPriceRatio = 1 }, SeverityWarning, ListPools, 0, FieldCheapPrice, "less than"},
		"key of two workspaces":   {func(c *Config) { c.Workspaces[1].Keys[0] = "k1" }, SeverityError, ListWorkspaces, 1, FieldKeys, "alba"},
		"key listed twice":        {func(c *Config) { c.Workspaces[0].Keys[1] = "k1" }, SeverityWarning, ListWorkspaces, 0, FieldKeys, "twice"},
		"workspace without key":   {func(c *Config) { c.Workspaces[1].Keys = nil }, SeverityWarning, ListWorkspaces, 1, FieldKeys, "no key"},
		"keys that open nothing":  {func(c *Config) { c.Routes[0].Open, c.Routes[1].Open = true, true }, SeverityWarning, ListWorkspaces, 0, FieldKeys, "all are open"},
		"negative limit":          {func(c *Config) { c.Limits.BodyBytes = -1 }, SeverityError, "", 0, FieldLimits, "negative"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := soundConfig()
			test.change(&cfg)
			findings := Review(&cfg)
			assert.Equal(t, len(findings), 1, "%v", findings)
			f := findings[0]
			assert.Assert(t, f.Severity == test.severity && f.List == test.list && f.Index == test.index && f.Field == test.field, "%+v", f)
			assert.Assert(t, strings.Contains(f.Message, test.text), f.Message)
		})
	}
}
