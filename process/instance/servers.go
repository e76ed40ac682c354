package instance

import (
	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/wire"
)

// serverState returns the state of a backend server, which determines whether it may get new requests.
func (i *Instance) serverState(server string) pool.ServerState {
	switch i.fleetState(server) {
	case wire.FleetServerStateDraining, wire.FleetServerStateEvicting:
		return pool.ServerDraining
	case wire.FleetServerStateStopped:
		return pool.ServerStopped
	}
	if i.healthChecker.isSuspect(server) {
		return pool.ServerSuspect
	}
	return pool.ServerServing
}

// fleetState returns the state of a backend server as the fleet manager of the data centre sees it. Servers count as
// serving until the first configuration is in force.
func (i *Instance) fleetState(server string) wire.FleetServerState {
	if jobs := i.dataCentreJobs.Load(); jobs != nil {
		return jobs.fleet.State(server)
	}
	return wire.FleetServerStateServing
}

// checkedServers returns the backend servers whose health this instance checks: those of the pools whose home it is, or
// all of its data centre with a baseline policy.
func (i *Instance) checkedServers() []wire.Server {
	table := i.table.Load()
	if table == nil {
		return nil
	}
	var list []wire.Server
	for _, p := range table.Pools() {
		homeCandidates := i.members.HomeCandidates(p.Name, i.Settings.DataCentre)
		isHome := len(homeCandidates) > 0 && homeCandidates[0] == i.Settings.Instance
		if isHome || i.baseline != nil {
			list = append(list, table.Servers(p.Name, i.Settings.DataCentre)...)
		}
	}
	return list
}

// localServers returns the backend servers of a pool in this data centre that may get new requests.
func (i *Instance) localServers(name string) []wire.Server {
	var list []wire.Server
	for _, s := range i.table.Load().Servers(name, i.Settings.DataCentre) {
		if i.serverState(s.Name) == pool.ServerServing {
			list = append(list, s)
		}
	}
	return list
}

// report passes the load report of a backend server to the baseline policy, if there is one, and to the scheduler of
// the server's pool.
func (i *Instance) report(server wire.Server, loadReport wire.LoadReport) {
	if i.baseline != nil {
		i.baseline.RecordLoad(loadReport)
	}
	if scheduler := i.poolHomes.lookup(server.Pool); scheduler != nil {
		scheduler.RecordLoad(loadReport)
	}
}

// isModelPool reports whether the backend servers of a pool are inference engines.
func (i *Instance) isModelPool(name string) bool {
	spec, _ := i.table.Load().Pool(name)
	return spec.Kind == wire.PoolSpecKindModel
}
