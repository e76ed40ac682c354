package gateway

import (
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/request/forward"
	"github.com/toucanroute/toucanroute/version/hostroute"
)

// maxLoggedHomes bounds the log lines about homes for one configuration.
const maxLoggedHomes = 10

// regions returns the region of each data centre of the deployment.
func (g *Gateway) regions() map[string]string {
	forwarding := g.currentSettings.Load()
	regions := make(map[string]string, len(forwarding.DataCentres))
	for _, dc := range forwarding.DataCentres {
		regions[dc] = forwarding.Regions[dc]
	}
	return regions
}

// checkHomes logs the routes and workspaces of a configuration whose homes name no data centre of the deployment. Their
// requests are refused.
func (g *Gateway) checkHomes(cfg *hostroute.Config) {
	regions, logged := g.regions(), 0
	check := func(kind, name string, homes []string) {
		if len(homes) == 0 || logged >= maxLoggedHomes || len(forward.HomeDataCentres(regions, homes)) > 0 {
			return
		}
		logged++
		g.Log.Warn("homes_unknown", zap.Int("version", cfg.Version), zap.String("kind", kind), zap.String("name", name), zap.Strings("homes", homes))
	}
	for i := range cfg.Routes {
		check("route", cfg.Routes[i].Name, cfg.Routes[i].Homes)
	}
	for i := range cfg.Workspaces {
		check("workspace", cfg.Workspaces[i].Name, cfg.Workspaces[i].Homes)
	}
}
