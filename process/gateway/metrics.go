package gateway

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/toucanroute/toucanroute/connection/gossip"
	"github.com/toucanroute/toucanroute/connection/operator"
	"github.com/toucanroute/toucanroute/process/metrics"
	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/request/forward"
	"github.com/toucanroute/toucanroute/wire"
)

// Values of the metric label result of ended requests. The Help text of package metrics lists them.
const (
	resultOK         = "ok"
	resultRefused    = "refused"
	resultFailed     = "failed"
	resultDeadline   = "deadline"
	resultCallerGone = "caller_gone"
)

// Error reasons of failed requests for which the instance sent no error response of its own: codeServerFailed for a
// failure of the backend server, codeBrokenOff for an interrupted response.
const (
	codeServerFailed = request.CodeServerFailed
	codeInterrupted  = request.CodeInterrupted
)

// observeRequest counts an ended request. The route name is used as its class.
func (g *Gateway) observeRequest(s forward.Summary) {
	r := metrics.Request{Class: s.Route}
	switch {
	case s.Outcome == forward.OutcomeServed:
		r.Result, r.FirstToken, r.LatePause = resultOK, s.TimeToFirstByte, s.Late == forward.LatePause
	case s.Outcome == forward.OutcomeCallerLeft:
		r.Result, r.Reason = resultCallerGone, request.CodeCallerGone
	case s.Outcome == forward.OutcomeServerFailure:
		r.Result, r.Reason = resultFailed, codeServerFailed
	case s.Outcome == forward.OutcomeInterrupted:
		r.Result, r.Reason = resultFailed, codeInterrupted
	case s.ErrorCode == request.CodeDeadline:
		r.Result, r.Reason = resultDeadline, s.ErrorCode
	case s.ErrorCode == request.CodeOutcomeUnknown || s.ErrorCode == request.CodeInternal:
		r.Result, r.Reason = resultFailed, s.ErrorCode
	default:
		r.Result, r.Reason = resultRefused, s.ErrorCode
	}
	g.metrics.ObserveRequest(r)
}

// Values of the metric label kind of objects that are sent to other instances. The Help text of package metrics lists them.
const (
	kindLabelConfig      = "config"
	kindLabelServers     = "servers"
	kindLabelEvacuations = "evacuations"
	kindLabelOther       = "other"
)

// observePeerReply counts a call of another instance for objects. A kind that is unknown here gets no series of its own.
func (g *Gateway) observePeerReply(kind string, outcome gossip.ReplyOutcome, bytes int) {
	label := kindLabelOther
	switch kind {
	case g.Platform.ConfigKind:
		label = kindLabelConfig
	case g.Platform.ServerKind:
		label = kindLabelServers
	case g.Platform.EvacuationKind:
		label = kindLabelEvacuations
	}
	g.metrics.PeerReply(label, string(outcome), bytes)
}

// gauges returns the current values of all gauges.
func (g *Gateway) gauges() metrics.Gauges {
	fence, held := g.held()
	values := metrics.Gauges{
		Live:          g.mesh.LivePeerCount(),
		Suspect:       g.mesh.InstanceCount() - 1 - g.mesh.LivePeerCount(),
		ConfigVersion: g.configVersion(),
		Fleet:         metrics.Lease{Held: held, Fence: fence},
		Usage:         metrics.Lease{Held: held, Fence: fence},
		Pools:         g.poolLoads(),
		Evacuated:     len(g.evacuations.InForce()),

		PeerDatagramBytes: g.gossipSocket.SentBytes(),
	}
	for _, server := range g.registry.Servers() {
		if server.IsCold() {
			values.ColdServers++
		}
	}
	values.Memory = g.requestMemory.Stats()
	if callerServer := g.callerServer.Load(); callerServer != nil {
		values.Running, values.SlowCallers = callerServer.Running(), callerServer.SlowCallers()
	}
	return values
}

// poolLoads returns the loads of the pools, sorted by name.
func (g *Gateway) poolLoads() []metrics.PoolLoad {
	byPool := servingStates(g.registry, time.Now())
	list := make([]metrics.PoolLoad, 0, len(byPool))
	for _, pool := range slices.Sorted(maps.Keys(byPool)) {
		list = append(list, poolLoad(pool, byPool[pool]))
	}
	return list
}

// servingStates returns the states of all servers by pool, except those that get no requests because they are draining or
// their data centre is evacuated: they would count as idle.
func servingStates(r *registry.Registry, now time.Time) map[string][]registry.State {
	byPool := map[string][]registry.State{}
	for _, server := range r.Servers() {
		byPool[server.Entry().Pool] = nil
	}
	for pool := range byPool {
		for _, server := range r.Serving(pool) {
			byPool[pool] = append(byPool[pool], server.State(now))
		}
	}
	return byPool
}

// poolLoad returns the load of a pool by the states of its servers. A pool without requests counts as even.
func poolLoad(pool string, states []registry.State) metrics.PoolLoad {
	load := metrics.PoolLoad{Pool: pool, Spread: 1, ReportAge: -1}
	highest, total, age, reports := 0.0, 0.0, time.Duration(0), 0
	for _, s := range states {
		perSlot := float64(s.Running) / float64(max(s.Slots, 1))
		if s.Speed > 0 {
			perSlot /= s.Speed
		}
		highest, total = max(highest, perSlot), total+perSlot
		if s.LoadAge >= 0 {
			age, reports = age+s.LoadAge, reports+1
		}
	}
	if total > 0 {
		load.Spread = highest * float64(len(states)) / total
	}
	if reports > 0 {
		load.ReportAge = age / time.Duration(reports)
	}
	return load
}

// Status returns this instance's view of the deployment, for operators. It must not be called before Run has begun.
func (g *Gateway) Status() wire.Status {
	return wire.Status{
		Build:             g.Build,
		ConfigVersion:     g.configVersion(),
		DataCentre:        g.Settings.DataCentre,
		Instance:          g.Settings.Instance,
		Keyrings:          []wire.KeyringStatus{},
		Leases:            []wire.LeaseStatus{g.lease.Status()},
		Leaving:           g.shuttingDown.Load(),
		Members:           []wire.MemberStatus{},
		PlatformReachable: !g.configFeed.StoreDown() && !g.serverFeed.StoreDown(),
		Pools:             []wire.PoolStatus{},
		Servers:           g.serverStatus(),
		Quarantines:       g.quarantine.Status(),
		Evacuated:         g.evacuations.InForce(),
		Shares:            g.shareStatus(),
	}
}

// shareStatus returns what the largest workspaces ask for of each pool.
func (g *Gateway) shareStatus() []wire.ShareStatus {
	g.mu.Lock()
	shares := maps.Clone(g.shares)
	g.mu.Unlock()
	list := []wire.ShareStatus{}
	for _, pool := range slices.Sorted(maps.Keys(shares)) {
		for _, s := range shares[pool].Status() {
			list = append(list, wire.ShareStatus{
				Pool: pool, Workspace: s.Workspace, Recent: int(s.Recent), Usual: int(s.Usual), Excess: s.Excess,
				Requests: s.Admitted + s.Refused, Refused: s.Refused, WaitMs: int(s.MeanWait.Milliseconds()),
			})
		}
	}
	return list
}

// newOperatorServer returns the server for operators. Its burn response has no rows, since a forwarding daemon keeps no
// service-level counts by window.
func (g *Gateway) newOperatorServer() *operator.Server {
	return &operator.Server{
		Listen: g.Settings.Listen.Operators, Log: g.Log, Ready: g.ready, Status: g.Status, LiftQuarantine: g.LiftQuarantine,
		Burn: func() wire.Burn {
			return wire.Burn{ConfigVersion: g.configVersion(), DataCentre: g.Settings.DataCentre, Instance: g.Settings.Instance}
		},
	}
}

// serverStatus returns the status of all backend servers as this instance sees them, sorted by ID.
func (g *Gateway) serverStatus() []wire.ServerStatus {
	list := []wire.ServerStatus{}
	for _, server := range g.registry.Servers() {
		entry, state := server.Entry(), server.State(time.Now())
		status := wire.ServerStatus{DataCentre: entry.DataCentre, Pool: entry.Pool, Running: state.Running, Server: entry.ID, State: wire.ServerStatusStateServing, Limit: state.Limit, Brittle: state.Brittle}
		if entry.Cheap {
			status.Kind = string(wire.ServerKindCheap)
		}
		switch {
		case entry.Draining:
			status.State = wire.ServerStatusStateDraining
		case state.Suspect:
			status.State = wire.ServerStatusStateSuspect
		}
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b wire.ServerStatus) int { return strings.Compare(a.Server, b.Server) })
	return list
}
