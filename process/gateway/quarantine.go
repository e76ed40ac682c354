package gateway

import (
	"time"

	"github.com/toucanroute/toucanroute/process/quarantine"
	"github.com/toucanroute/toucanroute/wire"
)

// announcedPeers is the number of other instances that are told of the quarantines once a second. In a large fleet each
// instance still hears of them that often.
const announcedPeers = 16

// buildQuarantine creates the parts that keep prompts away from backend servers that crash under them.
func (g *Gateway) buildQuarantine() {
	g.quarantineKeeper = &quarantine.Keeper{
		Table: &g.quarantine, Store: g.Platform.Store, Log: g.Log,
		IsReader: func() bool { return g.mesh.IsReader() },
		Announce: func(u quarantine.Update) { g.mesh.Broadcast(u.Messages(), announcedPeers) },
	}
	g.quarantineKeeper.Init()
	g.quarantine.Log, g.quarantine.Probe = g.Log, checkReachable
	g.quarantine.Send = func(u quarantine.Update) { g.mesh.Broadcast(u.Messages(), 0) }
	g.quarantine.MayTry = func(id string) bool { return g.mesh.IsFirst(id) }
	g.quarantine.OnChange = g.quarantineKeeper.NotifyChanged
}

// quarantineStatus returns the quarantines for operators.
func (g *Gateway) quarantineStatus() []wire.QuarantineStatus {
	list := []wire.QuarantineStatus{}
	for _, q := range g.quarantine.List() {
		status := wire.QuarantineStatus{Id: q.ID, Parts: q.Parts, Pool: q.Pool, Revision: q.Revision, Crashes: q.Crashes, Refused: q.Refused, State: wire.QuarantineStatusStateActive}
		left := time.Until(q.Until)
		switch {
		case q.Lifted:
			status.State = wire.QuarantineStatusStateLifted
		case left <= 0:
			status.State = wire.QuarantineStatusStateTrial
		default:
			status.EndsInMs = int(left.Milliseconds())
		}
		list = append(list, status)
	}
	return list
}
