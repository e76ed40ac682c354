package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/connection/peer"
	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/process/usage"
	"github.com/toucanroute/toucanroute/process/versions"
	"github.com/toucanroute/toucanroute/wire"
)

// heartbeatWindow is the duration of a heartbeat measurement.
const heartbeatWindow = time.Second

// linkFigures are the measurements of links, the connections from one instance to another. Bytes count both directions,
// processor time counts both ends.
type linkFigures struct {
	// HeartbeatBytes and HeartbeatCPU are per heartbeat of one link, by number of links.
	HeartbeatBytes Series
	HeartbeatCPU   Series
	// LinkHeap is the memory of all links together, by number of links.
	LinkHeap Series
	// GrantBytes and GrantCPU are per grant request, reply and release, by number of links.
	GrantBytes Series
	GrantCPU   Series
	// ExchangeBytes and ExchangeCPU are per comparison of version digests, by number of workspaces.
	ExchangeBytes Series
	ExchangeCPU   Series
	// ServerViewBytes is per fetched view of the backend servers, by number of servers that are out of service. The
	// view lists only these servers.
	ServerViewBytes Series
	// UsageBytes and UsageCPU are per hand-over of usage, by number of usage lines.
	UsageBytes Series
	UsageCPU   Series
}

// linkGroup is one peer server and the links that are connected to it.
type linkGroup struct {
	countingRelay *countingRelay
	links         []*peer.Link
	stop          context.CancelFunc
}

// newLinkGroup returns n links that are connected to srv. With countBytes they connect through a counting relay.
func newLinkGroup(ctx context.Context, srv *peer.Server, n int, countBytes bool) (*linkGroup, error) {
	ctx, stop := context.WithCancel(ctx)
	group := &linkGroup{stop: stop}
	addr, err := freeAddress(ctx)
	if err != nil {
		return group, err
	}
	srv.Listen = addr
	go func() { _ = srv.Run(ctx) }()
	if countBytes {
		if group.countingRelay, err = newCountingRelay(ctx, addr); err != nil {
			return group, err
		}
		addr = group.countingRelay.address()
	}
	for i := range n {
		l := &peer.Link{
			Peer: instanceName(0), Address: addr, Log: zap.NewNop(), Self: func() wire.Hello { return newHello(i + 1) },
			OnHello: func(wire.Hello) {}, OnDown: func() {}, OnPreempt: func(wire.GrantPreempt) {},
		}
		group.links = append(group.links, l)
		go l.Run(ctx)
	}
	return group, group.waitUntilUp(ctx)
}

// waitUntilUp returns when all links are up.
func (g *linkGroup) waitUntilUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for _, l := range g.links {
		for !l.IsUp() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("wait for the links to connect: %w", ctx.Err())
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress(ctx context.Context) (string, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// newHello returns the heartbeat of the i-th instance.
func newHello(i int) wire.Hello {
	return wire.Hello{Instance: instanceName(i), DataCentre: dataCentreName(i), Format: peer.Format, Config: 1_000_000}
}

// newPeerServer returns a peer server that forwards requests to a scheduler and a store of versions.
func newPeerServer(scheduler *pool.Scheduler, store *versions.Store) *peer.Server {
	return &peer.Server{
		Log:        zap.NewNop(),
		Self:       func() wire.Hello { return newHello(0) },
		OnHello:    func(wire.Hello) {},
		OnPeerLost: func(string) {},
		Acquire: func(ctx context.Context, from string, a wire.GrantAsk) wire.GrantReply {
			g, err := scheduler.Acquire(ctx, from, a)
			if err != nil {
				return wire.GrantReply{Reason: pool.ReasonOverload}
			}
			return wire.GrantReply{Grant: g.Number(), Server: g.Server()}
		},
		Release:       func(from string, r wire.GrantRelease) { scheduler.Release(from, r) },
		OfferVersions: func(_ string, d wire.VersionDigest) wire.VersionOffer { return store.OfferFor(d) },
		TakeOverUsage: func(string, wire.UsageHandOver) (wire.UsageHandOverReply, error) {
			return wire.UsageHandOverReply{Through: 1000}, nil
		},
	}
}

// measureLinks measures real links over loopback TCP.
func measureLinks(ctx context.Context, t Target) (linkFigures, error) {
	otherDaemons := float64(t.Daemons - 1)
	f := linkFigures{
		HeartbeatBytes: Series{Name: "heartbeat, both ways", Unit: "B", Parameter: "links", Target: otherDaemons, IsConstant: true},
		HeartbeatCPU:   Series{Name: "heartbeat, both ends", Unit: "µs", Parameter: "links", Target: otherDaemons, IsConstant: true},
		LinkHeap:       Series{Name: "heap and stacks of links, both ends", Unit: "KB", Parameter: "links", Target: otherDaemons},
		GrantBytes:     Series{Name: "ask, answer and release", Unit: "B", Parameter: "links", Target: t.DaemonsPerDataCentre(), IsConstant: true},
		GrantCPU:       Series{Name: "ask, answer and release, both ends", Unit: "µs", Parameter: "links", Target: t.DaemonsPerDataCentre(), IsConstant: true},
	}
	for _, n := range []int{2, 16, 64} {
		if err := f.measureHeartbeats(ctx, t, n); err != nil {
			return f, err
		}
		if err := f.measureGrants(ctx, t, n); err != nil {
			return f, err
		}
	}
	if err := f.measureExchanges(ctx, t); err != nil {
		return f, err
	}
	return f, f.measureViewsAndUsage(ctx, t)
}

// measureHeartbeats measures n links on which only heartbeats are sent.
func (f *linkFigures) measureHeartbeats(ctx context.Context, t Target, n int) error {
	var group *linkGroup
	var err error
	heap, _ := heapUsedBy(func() *linkGroup {
		group, err = newLinkGroup(ctx, newPeerServer(newScheduler(t, 1, 1), nil), n, false)
		return group
	})
	if err != nil {
		return err
	}
	f.LinkHeap.addPoint(n, heap/kilobyte)
	heartbeatCount := float64(n) * heartbeatWindow.Seconds() / peer.HeartbeatInterval.Seconds()
	f.HeartbeatCPU.addPoint(n, 1e6/heartbeatCount*cpuSecondsPerCall(1, func(int) { time.Sleep(heartbeatWindow) }))
	group.stop()
	if group, err = newLinkGroup(ctx, newPeerServer(newScheduler(t, 1, 1), nil), n, true); err != nil {
		return err
	}
	defer group.stop()
	time.Sleep(peer.HeartbeatInterval / 2)
	before := group.countingRelay.bytes.Load()
	time.Sleep(heartbeatWindow)
	f.HeartbeatBytes.addPoint(n, float64(group.countingRelay.bytes.Load()-before)/heartbeatCount)
	return nil
}

// measureGrants measures requests for grants and their releases over n links to a scheduler with 45 servers.
func (f *linkFigures) measureGrants(ctx context.Context, t Target, n int) error {
	grantAndRelease := func(group *linkGroup, i int) {
		l := group.links[i%n]
		reply, err := l.Acquire(ctx, newGrantAsk(t, i, smallWorkspaces), func(wire.GrantReply) {})
		if err != nil {
			return
		}
		r := newGrantRelease()
		r.Grant = reply.Grant
		_ = l.Release(ctx, r)
	}
	group, err := newLinkGroup(ctx, newPeerServer(newScheduler(t, 45, smallWorkspaces), nil), n, false)
	if err != nil {
		return err
	}
	f.GrantCPU.addPoint(n, 1e6*cpuSecondsPerCall(grantCycles/3, func(i int) { grantAndRelease(group, i) }))
	group.stop()
	if group, err = newLinkGroup(ctx, newPeerServer(newScheduler(t, 45, smallWorkspaces), nil), n, true); err != nil {
		return err
	}
	defer group.stop()
	start, before := time.Now(), group.countingRelay.bytes.Load()
	for i := range grantCycles / 3 {
		grantAndRelease(group, i)
	}
	heartbeatBytes := f.HeartbeatBytes.At(float64(n)) * float64(n) * time.Since(start).Seconds() / peer.HeartbeatInterval.Seconds()
	f.GrantBytes.addPoint(n, max(0, group.countingRelay.settledBytes()-float64(before)-heartbeatBytes)/float64(grantCycles/3))
	return nil
}

// measureExchanges measures how two instances compare digests of the versions that they hold, if the versions are
// equal.
func (f *linkFigures) measureExchanges(ctx context.Context, t Target) error {
	f.ExchangeBytes = Series{Name: "comparison of digests, both ways", Unit: "B", Parameter: "workspaces", Target: float64(t.Workspaces)}
	f.ExchangeCPU = Series{Name: "comparison of digests, both ends", Unit: "µs", Parameter: "workspaces", Target: float64(t.Workspaces)}
	for _, n := range []int{10, 120, 1200} {
		localStore, remoteStore := newKeyStore(t, n), newKeyStore(t, n)
		const exchangeCount = 100
		compareDigests := func(group *linkGroup) {
			if offer, err := group.links[0].ExchangeVersions(ctx, localStore.Digest()); err == nil {
				localStore.ApplyOffer(offer)
			}
		}
		bytes, cpu, err := f.measureCall(ctx, newPeerServer(newScheduler(t, 1, 1), remoteStore), exchangeCount, compareDigests)
		if err != nil {
			return err
		}
		f.ExchangeBytes.addPoint(n, bytes)
		f.ExchangeCPU.addPoint(n, cpu*1e6)
	}
	return nil
}

// measureCall returns the bytes and the processor seconds of one call over a link. It subtracts the bytes of the
// heartbeats.
func (f *linkFigures) measureCall(ctx context.Context, srv *peer.Server, callCount int, call func(*linkGroup)) (bytes, cpu float64, err error) {
	group, err := newLinkGroup(ctx, srv, 1, true)
	if err != nil {
		return 0, 0, err
	}
	defer group.stop()
	start, before := time.Now(), group.countingRelay.bytes.Load()
	cpu = cpuSecondsPerCall(callCount, func(int) { call(group) })
	heartbeatBytes := f.HeartbeatBytes.Points[0].Value * time.Since(start).Seconds() / peer.HeartbeatInterval.Seconds()
	total := group.countingRelay.settledBytes() - float64(before) - heartbeatBytes
	return max(0, total) / float64(repetitions*callCount), cpu, nil
}

// measureViewsAndUsage measures the view of the backend servers and the hand-over of usage.
func (f *linkFigures) measureViewsAndUsage(ctx context.Context, t Target) error {
	f.ServerViewBytes = Series{Name: "view of the backend servers", Unit: "B", Parameter: "servers that don't serve", Target: float64(t.Servers) / float64(t.DataCentres) / 100}
	for _, n := range []int{0, 9, 45} {
		srv := newPeerServer(newScheduler(t, 1, 1), nil)
		srv.Fleet = func() wire.FleetView { return newFleetView(t, n) }
		call := func(group *linkGroup) { _, _ = group.links[0].Fleet(ctx) }
		bytes, _, err := f.measureCall(ctx, srv, 30, call)
		if err != nil {
			return err
		}
		f.ServerViewBytes.addPoint(n, bytes)
	}
	f.UsageBytes = Series{Name: "hand-over of usage, both ways", Unit: "B", Parameter: "lines", Target: t.UsageLines(usage.FlushInterval)}
	f.UsageCPU = Series{Name: "hand-over of usage, both ends", Unit: "µs", Parameter: "lines", Target: t.UsageLines(usage.FlushInterval)}
	for _, n := range []int{10, 40, 400} {
		call := func(group *linkGroup) { _, _ = group.links[0].HandOverUsage(ctx, newUsageHandOver(t, n)) }
		bytes, cpu, err := f.measureCall(ctx, newPeerServer(newScheduler(t, 1, 1), nil), 30, call)
		if err != nil {
			return err
		}
		f.UsageBytes.addPoint(n, bytes)
		f.UsageCPU.addPoint(n, cpu*1e6)
	}
	return nil
}

// newFleetView returns a view with n servers that are out of service.
func newFleetView(t Target, n int) wire.FleetView {
	view := wire.FleetView{DataCentre: dataCentreName(0), AgeMs: 500, Servers: []wire.FleetServer{}}
	for i := range n {
		view.Servers = append(view.Servers, wire.FleetServer{Server: newServer(t, i).Name, State: wire.FleetServerStateStopped})
	}
	return view
}

// newUsageHandOver returns a hand-over with n usage lines.
func newUsageHandOver(t Target, n int) wire.UsageHandOver {
	run := instanceName(1) + "-01JE0000000000000000000000"
	count := wire.UsageCount{Run: run, Seq: 1000, WindowStartMs: 1_700_000_000_000}
	for i := range n {
		count.Lines = append(count.Lines, wire.UsageLine{
			Workspace: workspaceName(i % t.Workspaces), Class: className(i % t.Classes), Requests: 1, PromptTokens: 900, CompletionTokens: 394,
		})
	}
	return wire.UsageHandOver{Run: run, Counts: []wire.UsageCount{count}}
}

// newKeyStore returns a store that holds the keyrings of n workspaces.
func newKeyStore(t Target, n int) *versions.Store {
	s := &versions.Store{Instance: instanceName(0)}
	s.ApplyOffer(wire.VersionOffer{Keyrings: newKeyringObjects(t, n), Digest: wire.VersionDigest{AgeMs: -1}})
	return s
}

func newKeyringObjects(t Target, n int) []wire.KeyringObject {
	list := make([]wire.KeyringObject, 0, n)
	for i := range n {
		value := toJSON(keys(t, i))
		list = append(list, wire.KeyringObject{Workspace: workspaceName(i), Version: i + 1, Value: &value})
	}
	return list
}
