package instance

import (
	"encoding/json"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/version/route"
	"github.com/toucanroute/toucanroute/wire"
)

// setTable puts a configuration in force.
func (i *Instance) setTable(cfg *wire.Config) error {
	table, err := route.NewTable(cfg)
	if err != nil {
		return err
	}
	i.table.Store(table)
	if i.jobs.Load() == nil {
		i.jobs.Store(i.buildJobs(window(cfg)))
	}
	i.Log.Info("config_in_force", zap.Int("version", cfg.Version))
	i.homes.configure()
	i.rehome()
	return nil
}

// setKeyring puts the keys of a workspace in force and ends the requests of keys that are newly withdrawn.
func (i *Instance) setKeyring(o wire.KeyringObject) {
	k := wire.Keyring{Workspace: o.Workspace}
	if !o.Deleted && o.Value != nil {
		if err := json.Unmarshal(*o.Value, &k); err != nil {
			i.Log.Error("keyring_unreadable", zap.String("workspace", o.Workspace), zap.Int("version", o.Version), zap.Error(err))
			return
		}
	}
	withdrawn := withdrawnKeys(k)
	i.mu.Lock()
	i.ring.Store(i.ring.Load().With(k))
	known := i.withdrawn[k.Workspace]
	i.withdrawn[k.Workspace] = withdrawn
	i.mu.Unlock()
	i.Log.Info("keys_in_force", zap.String("workspace", k.Workspace), zap.Int("version", o.Version))
	if o.Deleted {
		i.cancelKey(k.Workspace, "")
	}
	for id := range withdrawn {
		if !known[id] {
			i.cancelKey(k.Workspace, id)
		}
	}
}

// cancelKey ends the live requests of a withdrawn key; an empty id is all keys of the workspace.
func (i *Instance) cancelKey(workspace, id string) {
	n := i.dispatch.CancelKey(workspace, id)
	i.Log.Info("key_withdrawn", zap.String("workspace", workspace), zap.String("key", id), zap.Int("ended", n))
}

// withdrawnKeys returns the ids of the withdrawn keys.
func withdrawnKeys(k wire.Keyring) map[string]bool {
	ids := map[string]bool{}
	for _, key := range k.Keys {
		if key.WithdrawnAtMs != 0 {
			ids[key.Id] = true
		}
	}
	return ids
}

// serverState tells whether a backend server may get new work.
func (i *Instance) serverState(server string) pool.ServerState {
	switch i.fleetState(server) {
	case wire.FleetServerStateDraining, wire.FleetServerStateEvicting:
		return pool.ServerDraining
	case wire.FleetServerStateStopped:
		return pool.ServerStopped
	}
	if i.health.suspect(server) {
		return pool.ServerSuspect
	}
	return pool.ServerServing
}

// fleetState returns the state that the fleet's view gives a backend server.
func (i *Instance) fleetState(server string) wire.FleetServerState {
	if j := i.jobs.Load(); j != nil {
		return j.fleet.State(server)
	}
	return wire.FleetServerStateServing
}

// statusState returns the state of a backend server as the status page shows it.
func (i *Instance) statusState(server string) wire.ServerStatusState {
	state := i.fleetState(server)
	if state == wire.FleetServerStateServing && i.health.suspect(server) {
		return wire.ServerStatusStateSuspect
	}
	return wire.ServerStatusState(state)
}

// watchedServers returns the backend servers of the pools whose home this instance is.
func (i *Instance) watchedServers() []wire.Server {
	table := i.table.Load()
	if table == nil {
		return nil
	}
	var list []wire.Server
	for _, p := range table.Pools() {
		homes := i.members.Homes(p.Name, i.Settings.DataCentre)
		isHome := len(homes) > 0 && homes[0] == i.Settings.Instance
		if isHome || i.baseline != nil {
			list = append(list, table.Servers(p.Name, i.Settings.DataCentre)...)
		}
	}
	return list
}

// localServers returns the backend servers of a pool in this data centre that may get work.
func (i *Instance) localServers(name string) []wire.Server {
	var list []wire.Server
	for _, s := range i.table.Load().Servers(name, i.Settings.DataCentre) {
		if i.serverState(s.Name) == pool.ServerServing {
			list = append(list, s)
		}
	}
	return list
}

// report passes the load report of a backend server on.
func (i *Instance) report(s wire.Server, r wire.LoadReport) {
	if i.baseline != nil {
		i.baseline.Report(r)
	}
	if hm := i.homes.lookup(s.Pool); hm != nil {
		hm.Report(r)
	}
}

func (i *Instance) isModel(name string) bool {
	spec, _ := i.table.Load().Pool(name)
	return spec.Kind == wire.PoolSpecKindModel
}

// status returns what this instance sees.
func (i *Instance) status() wire.Status {
	s := wire.Status{
		Instance:   i.Settings.Instance,
		DataCentre: i.Settings.DataCentre,
		Build:      i.Build,
		Leaving:    i.members.Leaving(),
		Members:    i.members.Status(),
		Keyrings:   i.versions.Keyrings(),
		Leases:     []wire.LeaseStatus{},
		Pools:      []wire.PoolStatus{},
		Servers:    []wire.ServerStatus{},
	}
	if age, ok := i.versions.Age(); ok {
		s.PlatformReachable = age < unreachableAfter
	}
	if j := i.jobs.Load(); j != nil {
		s.Leases = append(s.Leases, j.fleetLease.Status(), j.usageLease.Status())
	}
	if table := i.table.Load(); table != nil {
		s.ConfigVersion = table.Version()
		i.poolStatus(&s, table)
	}
	return s
}

// poolStatus adds the pools and, where this instance is home, their backend servers.
func (i *Instance) poolStatus(s *wire.Status, table *route.Table) {
	for _, p := range table.Pools() {
		homes := i.members.Homes(p.Name, i.Settings.DataCentre)
		if len(homes) == 0 {
			continue
		}
		ps := wire.PoolStatus{Pool: p.Name, Home: homes[0]}
		if hm := i.homes.lookup(p.Name); hm != nil && homes[0] == i.Settings.Instance {
			ps.Waiting, ps.Running, ps.Slots = hm.Status()
		}
		s.Pools = append(s.Pools, ps)
		if homes[0] != i.Settings.Instance {
			continue
		}
		for _, b := range table.Servers(p.Name, i.Settings.DataCentre) {
			s.Servers = append(s.Servers, wire.ServerStatus{
				Server:     b.Name,
				DataCentre: b.DataCentre,
				Pool:       b.Pool,
				Kind:       string(b.Kind),
				State:      i.statusState(b.Name),
				Running:    i.dispatch.Running(b.Name),
			})
		}
	}
}

// burn returns the service-level counts of this instance.
func (i *Instance) burn() wire.Burn {
	b := wire.Burn{Instance: i.Settings.Instance, DataCentre: i.Settings.DataCentre, Rows: []wire.BurnRow{}}
	table := i.table.Load()
	if table == nil {
		return b
	}
	b.ConfigVersion = table.Version()
	b.Servers = i.spending.servers(table)
	b.Reports = i.spending.counts()
	b.Rows = i.book.Rows(func(name string) wire.Class {
		c, _ := table.Class(name)
		return c
	})
	return b
}
