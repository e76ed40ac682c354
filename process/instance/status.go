package instance

import (
	"time"

	"github.com/toucanroute/toucanroute/version/route"
	"github.com/toucanroute/toucanroute/wire"
)

// platformUnreachableAfter is how long ago the platform may last have confirmed that the configuration and the keyrings
// in force are the newest; after that, the platform counts as unreachable.
const platformUnreachableAfter = 10 * time.Second

// statusState returns the state of a backend server for the status page: its state in the fleet, or suspect if it
// should serve but its health checks or its attempts fail.
func (i *Instance) statusState(server string) wire.ServerStatusState {
	state := i.fleetState(server)
	if state == wire.FleetServerStateServing && i.healthChecker.isSuspect(server) {
		return wire.ServerStatusStateSuspect
	}
	return wire.ServerStatusState(state)
}

// status returns this instance's view of the deployment, for operators.
func (i *Instance) status() wire.Status {
	s := wire.Status{
		Instance:    i.Settings.Instance,
		DataCentre:  i.Settings.DataCentre,
		Build:       i.Build,
		Leaving:     i.members.Leaving(),
		Members:     i.members.Status(),
		Keyrings:    i.versions.Keyrings(),
		Leases:      []wire.LeaseStatus{},
		Pools:       []wire.PoolStatus{},
		Servers:     []wire.ServerStatus{},
		Quarantines: i.quarantine.Status(),
	}
	if age, ok := i.versions.Age(); ok {
		s.PlatformReachable = age < platformUnreachableAfter
	}
	if jobs := i.dataCentreJobs.Load(); jobs != nil {
		s.Leases = append(s.Leases, jobs.fleetLease.Status(), jobs.usageLease.Status())
	}
	if table := i.table.Load(); table != nil {
		s.ConfigVersion = table.Version()
		i.addPools(&s, table)
	}
	return s
}

// addPools adds all pools to the status. For the pools whose home is this instance, it also adds the numbers of
// requests and slots and the backend servers.
func (i *Instance) addPools(status *wire.Status, table *route.Table) {
	for _, pool := range table.Pools() {
		poolHomes := i.members.HomeCandidates(pool.Name, i.Settings.DataCentre)
		if len(poolHomes) == 0 {
			continue
		}
		poolStatus := wire.PoolStatus{Pool: pool.Name, Home: poolHomes[0]}
		if scheduler := i.poolHomes.lookup(pool.Name); scheduler != nil && poolHomes[0] == i.Settings.Instance {
			poolStatus.Waiting, poolStatus.Running, poolStatus.Slots = scheduler.Status()
		}
		status.Pools = append(status.Pools, poolStatus)
		if poolHomes[0] != i.Settings.Instance {
			continue
		}
		for _, server := range table.Servers(pool.Name, i.Settings.DataCentre) {
			status.Servers = append(status.Servers, wire.ServerStatus{
				Server:     server.Name,
				DataCentre: server.DataCentre,
				Pool:       server.Pool,
				Kind:       string(server.Kind),
				State:      i.statusState(server.Name),
				Running:    i.dispatch.Running(server.Name),
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
	b.Servers = i.costTracker.paidServers(table)
	b.Reports = i.costTracker.reportCounts()
	b.Rows = i.burnRecorder.Rows(func(name string) wire.Class {
		c, _ := table.Class(name)
		return c
	})
	return b
}
