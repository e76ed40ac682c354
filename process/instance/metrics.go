package instance

import (
	"errors"

	"github.com/toucanroute/toucanroute/process/members"
	"github.com/toucanroute/toucanroute/process/metrics"
	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/request/dispatch"
)

// Results of slot requests that were not refused.
const (
	resultGranted   = "granted"
	resultCancelled = "cancelled"
)

// gauges returns the current values of all gauges.
func (i *Instance) gauges() metrics.Gauges {
	values := metrics.Gauges{Running: i.callerServer.Running(), VersionsAge: -1}
	if age, known := i.versions.Age(); known {
		values.VersionsAge = age
	}
	if cfg := i.versions.Config(); cfg != nil {
		values.ConfigVersion = cfg.Version
	}
	for _, k := range i.versions.Keyrings() {
		values.KeyringVersion = max(values.KeyringVersion, k.Version)
	}
	for _, scheduler := range i.poolHomes.all() {
		waiting, running, slots := scheduler.Status()
		values.Waiting += waiting
		values.Busy += running
		values.Slots += slots
	}
	for _, m := range i.members.All() {
		switch m.State() {
		case members.StateLive:
			values.Live++
		case members.StateSuspect:
			values.Suspect++
		case members.StateLeaving:
			values.Leaving++
		case members.StateSelf:
		}
	}
	if jobs := i.dataCentreJobs.Load(); jobs != nil {
		fleet, usage := jobs.fleetLease.Status(), jobs.usageLease.Status()
		values.Fleet = metrics.Lease{Held: fleet.HeldHere, Fence: fleet.Fence}
		values.Usage = metrics.Lease{Held: usage.HeldHere, Fence: usage.Fence}
	}
	return values
}

// countRequest counts an ended request in the metrics.
func (i *Instance) countRequest(outcome dispatch.Summary) {
	request := metrics.Request{Result: outcome.Result, Reason: outcome.Reason, Wasted: outcome.WastedTokens}
	if outcome.Workspace != "" {
		request.Class = outcome.Class
	}
	if outcome.Result == dispatch.ResultOK {
		request.FirstToken, request.Tokens = outcome.FirstToken, outcome.CompletionTokens
	}
	i.metrics.ObserveRequest(request)
}

// countSlotRequest counts a slot request by its result in the metrics.
func (i *Instance) countSlotRequest(grant *pool.Grant, err error) {
	if err == nil {
		s, _ := i.table.Load().Server(grant.Server())
		i.metrics.Grant(s.DataCentre, resultGranted)
		return
	}
	result := resultCancelled
	var refused pool.ErrRefused
	if errors.As(err, &refused) {
		result = refused.Reason
	}
	i.metrics.Grant(i.Settings.DataCentre, result)
}
