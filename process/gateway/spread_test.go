package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/feed"
	"github.com/toucanroute/toucanroute/process/mesh"
	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/version/hostroute"
	"github.com/toucanroute/toucanroute/version/settings"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// linkBytesPerSecond is what a link of 10 Mbit/s carries.
	linkBytesPerSecond = 10_000_000 / 8
	// linkChunk is the number of bytes that a link takes at a time.
	linkChunk = 4 << 10
)

// slowLink is the link of an instance, on which other instances reach it over TCP and get its replies.
type slowLink struct {
	limiter *rate.Limiter
	// replied is the number of bytes that the instance has sent.
	replied atomic.Int64
	// calls is the number of connections to the instance.
	calls atomic.Int64
	// refuses is set while the calls are answered as by an instance that is always busy.
	refuses atomic.Bool
}

// listen passes connections on to the address of the instance and returns the address at which it accepts them.
func (l *slowLink) listen(t *testing.T, ctx context.Context, to string) string { //nolint:revive // t comes first in tests.
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			l.calls.Add(1)
			if l.refuses.Load() {
				go refuseCall(in)
				continue
			}
			go l.pass(ctx, in, to)
		}
	}()
	return ln.Addr().String()
}

// pass forwards one connection: calls at once, replies at the pace of the link. It holds back the instance's replies, as the
// queue of a link does.
func (l *slowLink) pass(ctx context.Context, in net.Conn, to string) {
	defer func() { _ = in.Close() }()
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	_ = out.(*net.TCPConn).SetReadBuffer(linkChunk)
	go func() {
		_, _ = io.Copy(out, in)
		_ = out.Close()
	}()
	buf := make([]byte, linkChunk)
	for {
		n, err := out.Read(buf)
		if n > 0 && l.limiter.WaitN(ctx, n) == nil {
			l.replied.Add(int64(n))
			_, err = in.Write(buf[:n])
		}
		if err != nil {
			return
		}
	}
}

// linkedFleet is a data centre of instances with slow links.
type linkedFleet struct {
	feedOf    func(*Gateway) *feed.Feed
	store     *platformtest.Objects
	instances []*Gateway
	links     []*slowLink
	mu        sync.Mutex
	byAddress map[netip.AddrPort]*Gateway
	// lists counts the reads of the store by kind and instance.
	lists map[string]map[string]int
}

// startLinkedFleet starts n instances, each with one of its feeds.
func startLinkedFleet(t *testing.T, n int, feedOf func(*Gateway) *feed.Feed) *linkedFleet {
	t.Helper()
	f := &linkedFleet{feedOf: feedOf, byAddress: map[netip.AddrPort]*Gateway{}, lists: map[string]map[string]int{"config": {}, "servers": {}}}
	f.store = &platformtest.Objects{ChooseFault: func(c platformtest.Call) platformtest.Fault {
		f.mu.Lock()
		defer f.mu.Unlock()
		if counts := f.lists[c.Kind]; c.Method == "list" && counts != nil {
			counts[c.Instance]++
		}
		return platformtest.Fault{Before: 4 * time.Millisecond}
	}}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for i := range n {
		f.add(t, ctx, fmt.Sprintf("i%02d", i))
	}
	for _, g := range f.instances {
		running.Go(func() { assert.Check(t, g.peerObjectServer.Run(ctx)) })
		running.Go(func() { g.mesh.Execute(ctx) })
		running.Go(func() { feedOf(g).Run(ctx) })
	}
	return f
}

func configFeedOf(g *Gateway) *feed.Feed { return g.configFeed }

func serverFeedOf(g *Gateway) *feed.Feed { return g.serverFeed }

func (f *linkedFleet) add(t *testing.T, ctx context.Context, name string) { //nolint:revive // t comes first in tests.
	t.Helper()
	// Connections between the instances don't begin at these addresses, so that none takes the port.
	free, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", 1+len(f.instances)))
	assert.NilError(t, err)
	g := &Gateway{
		Log: zap.NewNop(), Platform: Platform{
			Store: f.store.Store(name), ConfigKind: "config", ConfigName: "routes", ServerKind: "servers", EvacuationKind: evacuationKind,
			Config: func(o wire.Object) (cfg hostroute.Config, err error) {
				err = json.Unmarshal(o.Value, &struct{ Version *int }{&cfg.Version})
				return cfg, err
			},
			ParseServerEntry: func(o wire.Object) (e registry.Entry, err error) {
				err = json.Unmarshal(o.Value, &e)
				return e, err
			},
		},
		Settings: &settings.Settings{Instance: name, DataCentre: "one", Forwarding: &wire.SettingsForwarding{
			DataCentres: []string{"one"}, EvacuationMs: float64(evacuationTime.Milliseconds()), MemoryMb: 8192, LeaseMs: 3000, UsageWindowS: 5, UsageDelayS: 10,
		}},
	}
	g.Settings.Listen.Peers = free.Addr().String()
	assert.NilError(t, free.Close())
	g.build()
	link := &slowLink{limiter: rate.NewLimiter(linkBytesPerSecond, linkChunk)}
	g.mesh.Address = link.listen(t, ctx, g.Settings.Listen.Peers)
	g.mesh.Send = func(to netip.AddrPort, data []byte) {
		f.mu.Lock()
		peer := f.byAddress[to]
		f.mu.Unlock()
		if peer != nil {
			peer.mesh.Receive(data)
		}
	}
	f.mu.Lock()
	f.byAddress[netip.MustParseAddrPort(g.mesh.Address)] = g
	f.mu.Unlock()
	f.instances, f.links = append(f.instances, g), append(f.links, link)
}

// routesOf returns a configuration of 1,150 routes, about 300 kB.
func routesOf(version int) any {
	type route struct {
		Name, Host, Prefix, Kind, Pool, Level string
		Weight, TimeoutMs, FirstEventMs       int
	}
	routes := make([]route, 1150)
	for i := range routes {
		routes[i] = route{
			Name: fmt.Sprint("route-", i), Host: fmt.Sprintf("workspace-%d.example.net", i*7919%1150), Prefix: fmt.Sprintf("/v1/models/%d/", i),
			Kind: "streaming", Pool: fmt.Sprint("pool-", i%23), Level: fmt.Sprintf("%0100d", i%5),
			Weight: 1 + i%3, TimeoutMs: 30_000, FirstEventMs: 500 + i%7,
		}
	}
	return map[string]any{"version": version, "routes": routes}
}

// waitForConfig waits until the version is in force everywhere and returns how long that took.
func (f *linkedFleet) waitForConfig(t *testing.T, version int, limit time.Duration) time.Duration {
	t.Helper()
	for started := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		behind := slices.ContainsFunc(f.instances, func(g *Gateway) bool { return g.configVersion() < version })
		if took := time.Since(started); !behind || took > limit {
			assert.Assert(t, !behind, "configuration %d isn't in force after %v", version, took)
			return took
		}
	}
}

// settle waits until the instances know each other and only the first ones by name still read the store.
func (f *linkedFleet) settle(t *testing.T) {
	t.Helper()
	for started := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		isAlone := slices.ContainsFunc(f.instances, func(g *Gateway) bool { return g.mesh.LivePeerCount() < len(f.instances)-1 })
		readsStore := slices.ContainsFunc(f.instances[mesh.ReadersPerDataCentre:], func(g *Gateway) bool { return f.feedOf(g).IsFresh() })
		if !isAlone && !readsStore {
			return
		}
		assert.Assert(t, time.Since(started) < time.Minute, "alone: %v, reading: %v", isAlone, readsStore)
	}
}

// calls returns the number of calls to all instances.
func (f *linkedFleet) calls() int64 {
	var n int64
	for _, l := range f.links {
		n += l.calls.Load()
	}
	return n
}

// readsByOthers returns how often instances that needn't read the store have listed the objects of a kind.
func (f *linkedFleet) readsByOthers(kind string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, g := range f.instances[mesh.ReadersPerDataCentre:] {
		n += f.lists[kind][g.Settings.Instance]
	}
	return n
}

// replied returns the bytes that each instance has sent to others.
func (f *linkedFleet) replied() []int64 {
	bytes := make([]int64, len(f.links))
	for i, l := range f.links {
		bytes[i] = l.replied.Load()
	}
	return bytes
}

// mostReplied returns the bytes that the busiest instance and all together have sent since before.
func (f *linkedFleet) mostReplied(before []int64) (busiest, all int64) {
	for i, n := range f.replied() {
		busiest, all = max(busiest, n-before[i]), all+n-before[i]
	}
	return busiest, all
}

// A change of a configuration with 1,150 routes, which 26 instances of a data centre get from others, keeps the link of no
// instance busy for more than half of a second. It is in force within the time that the platform allows, and the instances
// that don't read the store leave it alone.
func TestConfigurationDoesNotChokeReader(t *testing.T) {
	const (
		instances    = 28
		maxLinkBytes = linkBytesPerSecond / 2
		inForceTime  = 3 * time.Second
	)
	f := startLinkedFleet(t, instances, configFeedOf)
	operator := f.store.Store("operator")
	object, err := operator.Create(t.Context(), "config", "routes", map[string]int{"version": 1})
	assert.NilError(t, err)
	f.waitForConfig(t, 1, time.Minute)
	f.settle(t)
	for version := 2; version <= 4; version++ {
		before, readsBefore := f.replied(), f.readsByOthers("config")
		object, err = operator.Update(t.Context(), "config", "routes", object.Version, routesOf(version))
		assert.NilError(t, err)
		took := f.waitForConfig(t, version, time.Minute)
		callsBefore := f.calls()
		// Replies to instances that have given up are still on their way.
		time.Sleep(time.Second)
		callsAfter := f.calls() - callsBefore
		busiest, all := f.mostReplied(before)
		reads := f.readsByOthers("config") - readsBefore
		t.Logf("version %d in force after %v; busiest instance sent %d bytes, all together %d; others read the store %d times; %d calls afterwards", version, took, busiest, all, reads, callsAfter)
		assert.Check(t, busiest <= maxLinkBytes, "the busiest instance sent %d bytes, at most %d", busiest, maxLinkBytes)
		assert.Check(t, took <= inForceTime, "in force after %v", took)
		assert.Check(t, reads == 0, "instances that get the configuration from others read the store %d times", reads)
		assert.Check(t, callsAfter <= 2*instances, "%d calls once the configuration is in force everywhere", callsAfter)
	}
}

// A change of a list of 300 backend servers, which only the two instances that read the store send, reaches 26 others within
// the time in which a leaving server must stop receiving requests, and keeps no link busy for more than half of a
// second. The others leave the store alone.
func TestServerListDoesNotChokeReader(t *testing.T) {
	const (
		instances    = 28
		servers      = 300
		maxLinkBytes = linkBytesPerSecond / 2
		leaveTime    = 2 * time.Second
	)
	f := startLinkedFleet(t, instances, serverFeedOf)
	operator := f.store.Store("operator")
	entry := func(i, revision int) registry.Entry {
		return registry.Entry{
			ID: fmt.Sprintf("i-%010x", i*7919*104729), Address: fmt.Sprintf("10.%d.%d.7:8080", i%3, i), Pool: fmt.Sprint("pool-", i%23),
			DataCentre: "one", Version: fmt.Sprint("v", i%4), Slots: 8 + i%5, StartedMs: int64(1_700_000_000_000 + i*i*7919), WeightsVersion: revision,
		}
	}
	var last wire.Object
	for i := range servers {
		var err error
		last, err = operator.Create(t.Context(), "servers", entry(i, 0).ID, entry(i, 0))
		assert.NilError(t, err)
	}
	f.settle(t)
	for revision := 1; revision <= 3; revision++ {
		before, readsBefore := f.replied(), f.readsByOthers("servers")
		var err error
		last, err = operator.Update(t.Context(), "servers", last.Name, last.Version, entry(servers-1, revision))
		assert.NilError(t, err)
		started := time.Now()
		for slices.ContainsFunc(f.instances, func(g *Gateway) bool { return g.serverFeed.KnownVersion() < last.Version }) {
			assert.Assert(t, time.Since(started) < time.Minute, "change %d isn't known everywhere", revision)
			time.Sleep(5 * time.Millisecond)
		}
		took := time.Since(started)
		time.Sleep(time.Second)
		busiest, all := f.mostReplied(before)
		reads := f.readsByOthers("servers") - readsBefore
		t.Logf("change %d known after %v; busiest instance sent %d bytes, all together %d; others read the store %d times", revision, took, busiest, all, reads)
		assert.Check(t, busiest <= maxLinkBytes, "the busiest instance sent %d bytes, at most %d", busiest, maxLinkBytes)
		assert.Check(t, took <= leaveTime, "known after %v", took)
		assert.Check(t, reads == 0, "instances that get the list from others read the store %d times", reads)
	}
}

// An instance that doesn't read the store passes on the configuration that is in force there, and no list of servers. A store
// with an older configuration at a higher revision sets none back.
func TestInstanceWithoutStoreServesItsConfiguration(t *testing.T) {
	f := startLinkedFleet(t, 4, configFeedOf)
	operator := f.store.Store("operator")
	object, err := operator.Create(t.Context(), "config", "routes", map[string]int{"version": 1})
	assert.NilError(t, err)
	f.waitForConfig(t, 1, time.Minute)
	f.settle(t)
	object, err = operator.Update(t.Context(), "config", "routes", object.Version, map[string]int{"version": 7})
	assert.NilError(t, err)
	f.waitForConfig(t, 7, time.Minute)
	_, err = operator.Update(t.Context(), "config", "routes", object.Version, map[string]int{"version": 3})
	assert.NilError(t, err)
	time.Sleep(500 * time.Millisecond)
	last := f.instances[3]
	assert.Assert(t, !last.mesh.IsReader())
	for _, g := range f.instances {
		assert.Equal(t, g.configVersion(), 7, g.Settings.Instance)
		list, ok := g.freshObjects("config")
		assert.Assert(t, ok, g.Settings.Instance)
		assert.Equal(t, len(list.Items), 1)
		assert.Equal(t, string(list.Items[0].Value), `{"version":7}`)
		assert.Assert(t, g.hasNewer("config", 6) && !g.hasNewer("config", 7))
	}
	_, ok := last.freshObjects("servers")
	assert.Assert(t, !ok, "only what reads the store serves lists of servers")
	assert.Assert(t, last.hasNewer("servers", 1<<60), "the version of a list is compared by the caller")
}
