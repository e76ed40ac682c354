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

	"github.com/toucanroute/toucanroute/process/platform/platformtest"
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
	store     *platformtest.Objects
	instances []*Gateway
	links     []*slowLink
	mu        sync.Mutex
	byAddress map[netip.AddrPort]*Gateway
	// lists counts the reads of the configuration from the store by each instance.
	lists map[string]int
}

func startLinkedFleet(t *testing.T, n int) *linkedFleet {
	t.Helper()
	f := &linkedFleet{byAddress: map[netip.AddrPort]*Gateway{}, lists: map[string]int{}}
	f.store = &platformtest.Objects{ChooseFault: func(c platformtest.Call) platformtest.Fault {
		f.mu.Lock()
		defer f.mu.Unlock()
		if c.Method == "list" && c.Kind == "config" {
			f.lists[c.Instance]++
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
		running.Go(func() { g.configFeed.Run(ctx) })
	}
	return f
}

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

// settle waits until the instances know each other and all but the first two by name have stopped reading the store.
func (f *linkedFleet) settle(t *testing.T) {
	t.Helper()
	for started := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		isAlone := slices.ContainsFunc(f.instances, func(g *Gateway) bool { return g.mesh.LivePeerCount() < len(f.instances)-1 })
		readsStore := slices.ContainsFunc(f.instances[2:], func(g *Gateway) bool { return g.configFeed.IsFresh() })
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

func (f *linkedFleet) listCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for name, n := range f.lists {
		counts[name] = n
	}
	return counts
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
	f := startLinkedFleet(t, instances)
	operator := f.store.Store("operator")
	object, err := operator.Create(t.Context(), "config", "routes", map[string]int{"version": 1})
	assert.NilError(t, err)
	f.waitForConfig(t, 1, time.Minute)
	f.settle(t)
	for version := 2; version <= 4; version++ {
		before, listsBefore := make([]int64, instances), f.listCounts()
		for i, l := range f.links {
			before[i] = l.replied.Load()
		}
		object, err = operator.Update(t.Context(), "config", "routes", object.Version, routesOf(version))
		assert.NilError(t, err)
		took := f.waitForConfig(t, version, time.Minute)
		callsBefore := f.calls()
		// Replies to instances that have given up are still on their way.
		time.Sleep(time.Second)
		callsAfter := f.calls() - callsBefore
		var busiest, all int64
		for i, l := range f.links {
			sent := l.replied.Load() - before[i]
			busiest, all = max(busiest, sent), all+sent
		}
		reads := 0
		for i, g := range f.instances {
			name := g.Settings.Instance
			if i >= 2 && f.listCounts()[name] > listsBefore[name] {
				reads++
			}
		}
		t.Logf("version %d in force after %v; busiest instance sent %d bytes, all together %d; %d instances read the store; %d calls afterwards", version, took, busiest, all, reads, callsAfter)
		assert.Check(t, busiest <= maxLinkBytes, "the busiest instance sent %d bytes, at most %d", busiest, maxLinkBytes)
		assert.Check(t, took <= inForceTime, "in force after %v", took)
		assert.Check(t, reads == 0, "%d instances that get the configuration from others read the store", reads)
		assert.Check(t, callsAfter <= 2*instances, "%d calls once the configuration is in force everywhere", callsAfter)
	}
}

// An instance that doesn't read the store passes on the configuration that is in force there, and no list of servers. A store
// with an older configuration at a higher revision sets none back.
func TestInstanceWithoutStoreServesItsConfiguration(t *testing.T) {
	f := startLinkedFleet(t, 4)
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
