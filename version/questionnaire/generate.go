package questionnaire

import (
	"github.com/toucanroute/toucanroute/version/config"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// firstVersion is the version of a generated configuration. Applying the configuration replaces it by the next
	// version.
	firstVersion = 1
	// defaultWindowSeconds is the billing window if the questionnaire gives none.
	defaultWindowSeconds = 60
)

// Generate returns the configuration that q's answers describe, or an error if it is invalid. Equal answers give equal
// configurations. The version is 1 until the configuration is accepted.
func Generate(q *Questionnaire) (*wire.Config, error) {
	cfg := buildConfig(q)
	if err := config.Check(cfg); err != nil {
		return nil, err
	}
	return cfg, nil
}

// buildConfig converts the answers into a configuration without checking it.
func buildConfig(q *Questionnaire) *wire.Config {
	cfg := &wire.Config{
		Version:            firstVersion,
		Deployment:         q.Deployment,
		DataCentres:        append([]string{}, q.DataCentres...),
		UsageWindowSeconds: q.BillingWindowSeconds,
		Classes:            make([]wire.Class, len(q.Classes)),
		Workspaces:         make([]wire.Workspace, len(q.Workspaces)),
		Routes:             make([]wire.Route, len(q.Routes)),
		Pools:              []wire.PoolSpec{},
		Servers:            []wire.Server{},
	}
	if cfg.UsageWindowSeconds == 0 {
		cfg.UsageWindowSeconds = defaultWindowSeconds
	}
	for i, c := range q.Classes {
		cfg.Classes[i] = generateClass(c)
	}
	for i, w := range q.Workspaces {
		cfg.Workspaces[i] = generateWorkspace(w)
	}
	for i, r := range q.Routes {
		cfg.Routes[i] = generateRoute(r)
	}
	for _, m := range q.Models {
		cfg.Pools = append(cfg.Pools, generateModel(m))
		cfg.Servers = append(cfg.Servers, generateServers(m.Name, m.Servers)...)
	}
	for _, s := range q.Services {
		cfg.Pools = append(cfg.Pools, generateService(s))
		cfg.Servers = append(cfg.Servers, generateServers(s.Name, s.Servers)...)
	}
	return cfg
}

func generateClass(c wire.ClassAnswer) wire.Class {
	return wire.Class{
		Name:       c.Name,
		Tier:       c.Priority,
		TtftMs:     c.FirstAnswerMs,
		TbtMs:      c.BetweenTokensMs,
		Attainment: c.ShareInTime,
		DeadlineMs: c.WorthlessAfterMs,
		Idempotent: c.MayRepeat,
		Resumable:  c.MayPause,
		Safety:     c.Safety,
		Weight:     c.Worth,
		MaxTokens:  c.LongestAnswerTokens,
	}
}

func generateWorkspace(w wire.WorkspaceAnswer) wire.Workspace {
	return wire.Workspace{
		Name:              w.Name,
		Classes:           append([]string{}, w.Classes...),
		Weight:            w.Share,
		RequestsPerSecond: w.RequestsPerSecond,
		TokensPerSecond:   w.TokensPerSecond,
	}
}

func generateRoute(r wire.RouteAnswer) wire.Route {
	route := wire.Route{
		Name:          r.Name,
		Kind:          wire.RouteKindModel,
		Pool:          r.Model,
		Class:         r.Class,
		Open:          r.OpenToAll,
		OpenWorkspace: r.CountedTo,
	}
	if r.Service != "" {
		route.Kind = wire.RouteKindService
		route.Pool = r.Service
	}
	for _, c := range r.Calls {
		route.Methods = append(route.Methods, wire.MethodRule{
			Method:     c.Method,
			PathPrefix: c.Path,
			Class:      c.Class,
			Idempotent: c.MayRepeat,
		})
	}
	return route
}

func generateModel(m wire.ModelAnswer) wire.PoolSpec {
	return wire.PoolSpec{
		Name:           m.Name,
		Kind:           wire.PoolSpecKindModel,
		CheapAllowed:   m.CheaperKindAllowed,
		ExpectedRps:    m.ExpectedRequestsPerSecond,
		ExpectedTokens: m.UsualAnswerTokens,
	}
}

func generateService(s wire.ServiceAnswer) wire.PoolSpec {
	return wire.PoolSpec{
		Name:         s.Name,
		Kind:         wire.PoolSpecKindService,
		CheapAllowed: s.CheaperKindAllowed,
		ExpectedRps:  s.ExpectedRequestsPerSecond,
	}
}

func generateServers(pool string, answers []wire.ServerAnswer) []wire.Server {
	servers := make([]wire.Server, len(answers))
	for i, a := range answers {
		servers[i] = wire.Server{
			Name:          a.Name,
			DataCentre:    a.DataCentre,
			Pool:          pool,
			Address:       a.Address,
			Slots:         a.AtOnce,
			Kind:          wire.ServerKind(a.Kind),
			ChecksFencing: a.ChecksFencing,
			CostPerHour:   a.CostPerHour,
		}
	}
	return servers
}
