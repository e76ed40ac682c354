package gateway

import (
	"math/rand/v2"
	"slices"

	"github.com/toucanroute/toucanroute/process/quarantine"
)

// announcedPeers is the number of other instances that are told of the quarantines once a second. In a large fleet each
// instance still hears of them that often.
const announcedPeers = 16

// kindQuarantine is the kind of the objects that store quarantines.
const kindQuarantine = "toucanroute-quarantines"

// buildQuarantine creates the parts that keep prompts away from backend servers that crash under them.
func (g *Gateway) buildQuarantine() {
	g.quarantineKeeper = &quarantine.Keeper{
		Table: &g.quarantine, Store: g.Platform.Store, Kind: kindQuarantine, Log: g.Log,
		IsReader: func() bool { return g.mesh.IsReader() },
		Announce: func(u quarantine.Update) { g.mesh.Broadcast(u.Messages(), announcedPeers) },
	}
	g.quarantineKeeper.Init()
	g.quarantine.Log, g.quarantine.Probe = g.Log, g.checkReachable
	g.quarantine.OtherServers = g.otherServers
	g.quarantine.Send = func(u quarantine.Update) { g.mesh.Broadcast(u.Messages(), 0) }
	g.quarantine.MayTry = func(id string) bool { return g.mesh.IsFirst(id) }
	g.quarantine.OnChange = g.quarantineKeeper.NotifyChanged
}

// otherServers returns the addresses of up to n backend servers, of those that don't count as unreachable if there are
// any, without the one at the address.
func (g *Gateway) otherServers(address string, n int) []string {
	var reachable, unreachable []string
	for _, server := range g.registry.Servers() {
		switch entry := server.Entry(); {
		case entry.Address == address:
		case server.IsSuspect():
			unreachable = append(unreachable, entry.Address)
		default:
			reachable = append(reachable, entry.Address)
		}
	}
	for _, list := range [][]string{reachable, unreachable} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	list := slices.Concat(reachable, unreachable)
	return list[:min(len(list), n)]
}

// LiftQuarantine lifts the quarantine with the id at all instances, and reports whether there was one.
func (g *Gateway) LiftQuarantine(id string) bool { return g.quarantine.Lift(id) }
