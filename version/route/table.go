// Package route provides immutable lookup tables of a valid configuration: the classes, workspaces, pools and backend
// servers by name, and the routes by the model or service name that callers use.
package route

import (
	"fmt"
	"slices"

	"github.com/toucanroute/toucanroute/version/config"
	"github.com/toucanroute/toucanroute/wire"
)

// Table provides lookups in one configuration. It is immutable and safe for concurrent use.
type Table struct {
	cfg        *wire.Config
	classes    map[string]wire.Class
	workspaces map[string]Workspace
	models     map[string]Route
	services   map[string]Route
	modelNames []string
	pools      map[string]wire.PoolSpec
	servers    map[string]wire.Server
	// serversByPool holds the servers of each pool and data centre, in the configuration's order.
	serversByPool map[poolKey][]wire.Server
}

// poolKey identifies the part of a pool in one data centre.
type poolKey struct {
	pool, dataCentre string
}

// NewTable checks a configuration and returns its table. The table uses a deep copy of cfg.
func NewTable(cfg *wire.Config) (*Table, error) {
	if err := config.Check(cfg); err != nil {
		return nil, err
	}
	copied, err := config.Clone(cfg)
	if err != nil {
		return nil, fmt.Errorf("copy configuration: %w", err)
	}
	t := &Table{cfg: copied}
	t.indexClassesAndWorkspaces()
	t.indexRoutes()
	t.indexServers()
	return t, nil
}

func (t *Table) indexClassesAndWorkspaces() {
	t.classes = make(map[string]wire.Class, len(t.cfg.Classes))
	for _, c := range t.cfg.Classes {
		t.classes[c.Name] = c
	}
	t.workspaces = make(map[string]Workspace, len(t.cfg.Workspaces))
	for _, w := range t.cfg.Workspaces {
		t.workspaces[w.Name] = newWorkspace(w)
	}
}

func (t *Table) indexRoutes() {
	t.models = map[string]Route{}
	t.services = map[string]Route{}
	for _, r := range t.cfg.Routes {
		if r.Kind == wire.RouteKindService {
			t.services[r.Name] = newRoute(r, t.classes)
			continue
		}
		t.models[r.Name] = newRoute(r, t.classes)
		t.modelNames = append(t.modelNames, r.Name)
	}
	slices.Sort(t.modelNames)
}

func (t *Table) indexServers() {
	t.pools = make(map[string]wire.PoolSpec, len(t.cfg.Pools))
	for _, p := range t.cfg.Pools {
		t.pools[p.Name] = p
	}
	t.servers = make(map[string]wire.Server, len(t.cfg.Servers))
	t.serversByPool = map[poolKey][]wire.Server{}
	for _, s := range t.cfg.Servers {
		if s.Kind == "" {
			s.Kind = wire.ServerKindRegular
		}
		t.servers[s.Name] = s
		key := poolKey{s.Pool, s.DataCentre}
		t.serversByPool[key] = append(t.serversByPool[key], s)
	}
}

// Version returns the version of the configuration.
func (t *Table) Version() int { return t.cfg.Version }

// Config returns the configuration, which callers must not change.
func (t *Table) Config() *wire.Config { return t.cfg }

// DataCentres returns the names of the data centres, which callers must not change.
func (t *Table) DataCentres() []string { return t.cfg.DataCentres }

// Class returns the class with the given name.
func (t *Table) Class(name string) (wire.Class, bool) {
	c, ok := t.classes[name]
	return c, ok
}

// Workspace returns the workspace with the given name.
func (t *Table) Workspace(name string) (Workspace, bool) {
	w, ok := t.workspaces[name]
	return w, ok
}

// Model returns the route of the model name in a request.
func (t *Table) Model(name string) (Route, bool) {
	r, ok := t.models[name]
	return r, ok
}

// Models returns the sorted model names, which callers must not change.
func (t *Table) Models() []string { return t.modelNames }

// Service returns the route of the service name in /v1/services/NAME/.
func (t *Table) Service(name string) (Route, bool) {
	r, ok := t.services[name]
	return r, ok
}

// Pool returns the pool with the given name.
func (t *Table) Pool(name string) (wire.PoolSpec, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Pools returns all pools in the configuration's order. Callers must not change them.
func (t *Table) Pools() []wire.PoolSpec { return t.cfg.Pools }

// Server returns the backend server with the given name. Its kind is never empty.
func (t *Table) Server(name string) (wire.Server, bool) {
	s, ok := t.servers[name]
	return s, ok
}

// Servers returns the backend servers of a pool in a data centre. Callers must not change them.
func (t *Table) Servers(pool, dataCentre string) []wire.Server {
	return t.serversByPool[poolKey{pool, dataCentre}]
}
