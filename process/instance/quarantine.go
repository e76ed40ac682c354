package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/toucanroute/toucanroute/connection/peer"
	"github.com/toucanroute/toucanroute/process/quarantine"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// kindQuarantine is the kind of the objects that store quarantines.
	kindQuarantine = "quarantine"
	// announcedPeers is the number of other instances that are told of the quarantines once a second.
	announcedPeers = 16
	// probeTimeout bounds the connection that shows whether an engine has crashed.
	probeTimeout = 300 * time.Millisecond
)

// buildQuarantine creates the parts that keep prompts away from engines that crash under them.
func (i *Instance) buildQuarantine() {
	i.quarantineKeeper = &quarantine.Keeper{
		Table: &i.quarantine, Store: i.objects.Store(), Kind: kindQuarantine, Log: i.Log,
		IsReader: i.isVersionWatcher,
		Announce: func(u quarantine.Update) { i.reportQuarantine(u, announcedPeers) },
	}
	i.quarantineKeeper.Init()
	i.quarantine.Log, i.quarantine.Probe = i.Log, probe
	i.quarantine.OtherServers = i.otherServers
	i.quarantine.Send = func(u quarantine.Update) { i.reportQuarantine(u, 0) }
	i.quarantine.MayTry = i.mayTryQuarantine
	i.quarantine.OnChange = i.quarantineKeeper.NotifyChanged
}

// otherServers returns the addresses of up to n backend servers of the data centre, without the one at the address.
func (i *Instance) otherServers(address string, n int) []string {
	table := i.table.Load()
	if table == nil {
		return nil
	}
	var list []string
	for _, p := range table.Pools() {
		for _, s := range i.localServers(p.Name) {
			if s.Address != address {
				list = append(list, s.Address)
			}
		}
	}
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list[:min(len(list), n)]
}

// probe opens a TCP connection to a backend server and closes it again.
func probe(address string) error {
	d := net.Dialer{Timeout: probeTimeout}
	conn, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// reportQuarantine tells an update to a number of other instances; 0 means all.
func (i *Instance) reportQuarantine(u quarantine.Update, limit int) {
	names := i.allInstances()
	if limit > 0 && limit < len(names) {
		rand.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
		names = names[:limit]
	}
	messages := u.Messages()
	for _, name := range names {
		link, ok := i.peerLinks.get(name)
		if !ok {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), peer.HeartbeatTimeout)
			defer cancel()
			for _, m := range messages {
				// What doesn't arrive is repeated by the keeper.
				if link.ReportQuarantine(ctx, m) != nil {
					return
				}
			}
		}()
	}
}

// mergeQuarantine records what another instance reported.
func (i *Instance) mergeQuarantine(news wire.News) { i.quarantine.Merge(quarantine.ReadUpdate(news)) }

// mayTryQuarantine reports whether this instance makes the trial of a quarantine: it is the first for its id of the first
// data centre that has live instances.
func (i *Instance) mayTryQuarantine(id string) bool {
	table := i.table.Load()
	if table == nil {
		return false
	}
	for _, dc := range table.DataCentres() {
		if candidates := i.members.HomeCandidates(kindQuarantine+"/"+id, dc); len(candidates) > 0 {
			return candidates[0] == i.Settings.Instance
		}
	}
	return false
}
