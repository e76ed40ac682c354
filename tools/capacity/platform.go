package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/toucanroute/toucanroute/connection/engine"
	"github.com/toucanroute/toucanroute/process/lease"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/versions"
	engines "github.com/toucanroute/toucanroute/standin/engine"
	"github.com/toucanroute/toucanroute/standin/objectapi"
	"github.com/toucanroute/toucanroute/wire"
)

// leaseWindow is the duration of a lease measurement.
const leaseWindow = 4 * time.Second

// platformFigures are the measurements of the calls to the object API and to the engines.
type platformFigures struct {
	// LeaseReads and LeaseWrites are calls per second for one lease, by number of candidates; LeaseBytes is per call.
	LeaseReads  Series
	LeaseWrites Series
	LeaseBytes  Series
	// ActivationTime is the time until all version stores have applied a change of the configuration, in milliseconds,
	// by number of stores. VersionBytes is the number of bytes per store and change that stores send to each other.
	// VersionReads is the number of reads of the object API per second by all stores.
	ActivationTime Series
	VersionBytes   Series
	VersionReads   Series
	// HealthBytes and HealthCPU are per health check of an engine, which reads its load and its cache events. HealthCPU
	// is the processor time of both ends in seconds.
	HealthBytes float64
	HealthCPU   float64
}

// objectAPI is a stand-in of the object API on loopback behind a counting relay.
type objectAPI struct {
	countingRelay *countingRelay
	store         platform.Store
	url           string
}

func newObjectAPI(ctx context.Context) (*objectAPI, error) {
	api := &objectapi.Server{}
	url, r, err := serveCounted(ctx, api.Handler())
	if err != nil {
		return nil, err
	}
	client := &platform.Objects{Client: platform.Client{BaseURL: url, Instance: instanceName(0), Concurrency: 64}}
	return &objectAPI{countingRelay: r, store: client.Store(), url: url}, nil
}

// serveCounted serves HTTP with h on loopback, behind a counting relay, until ctx ends.
func serveCounted(ctx context.Context, h http.Handler) (url string, r *countingRelay, err error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(ln) }()
	r, err = newCountingRelay(ctx, ln.Addr().String())
	if err != nil {
		return "", nil, err
	}
	return "http://" + r.address(), r, nil
}

// stats reads the statistics of the stand-in.
func (o *objectAPI) stats(ctx context.Context) (objectapi.Stats, error) {
	var s objectapi.Stats
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, o.url+"/admin/stats", http.NoBody)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// measurePlatform counts the calls that the daemon's real clients make to the stand-ins.
func measurePlatform(ctx context.Context, t Target) (platformFigures, error) {
	daemonsPerDataCentre := t.DaemonsPerDataCentre()
	f := platformFigures{
		LeaseReads:     Series{Name: "reads of one lease", Unit: "/s", Parameter: "candidates", Target: leaseCandidates},
		LeaseWrites:    Series{Name: "writes of one lease", Unit: "/s", Parameter: "candidates", Target: daemonsPerDataCentre, IsConstant: true},
		LeaseBytes:     Series{Name: "bytes per call of a lease, both ways", Unit: "B", Parameter: "candidates", Target: daemonsPerDataCentre, IsConstant: true},
		ActivationTime: Series{Name: "change in force at all", Unit: "ms", Parameter: "stores of one data centre", Target: daemonsPerDataCentre},
		VersionBytes:   Series{Name: "digests and documents per store and change", Unit: "B", Parameter: "stores of one data centre", Target: daemonsPerDataCentre, IsConstant: true},
		VersionReads:   Series{Name: "reads by all stores, 3 changes included", Unit: "/s", Parameter: "stores of one data centre", Target: daemonsPerDataCentre, IsConstant: true},
	}
	var g errgroup.Group
	g.Go(func() error { return f.measureLeases(ctx) })
	g.Go(func() error {
		for _, n := range []int{1, 10, 100} {
			if err := f.measureVersions(ctx, t, n); err != nil {
				return err
			}
		}
		return nil
	})
	if err := g.Wait(); err != nil {
		return f, err
	}
	return f, f.measureHealthChecks(ctx)
}

// measureLeases counts the calls for one lease with different numbers of candidates.
func (f *platformFigures) measureLeases(ctx context.Context) error {
	sizes := []int{2, 8, 32}
	type result struct{ reads, writes, bytes float64 }
	results := make([]result, len(sizes))
	var g errgroup.Group
	for k, n := range sizes {
		g.Go(func() error {
			reads, writes, bytes, err := leaseCallRates(ctx, n)
			results[k] = result{reads, writes, bytes}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for k, n := range sizes {
		f.LeaseReads.addPoint(n, results[k].reads)
		f.LeaseWrites.addPoint(n, results[k].writes)
		f.LeaseBytes.addPoint(n, results[k].bytes)
	}
	return nil
}

// leaseCallRates returns the reads and writes per second for a held lease with n candidates, and the bytes per call.
func leaseCallRates(ctx context.Context, n int) (reads, writes, bytes float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	api, err := newObjectAPI(ctx)
	if err != nil {
		return 0, 0, 0, err
	}
	for i := range n {
		l := &lease.Lease{
			DataCentre: dataCentreName(0), Job: "fleet", Holder: instanceName(i), RunID: instanceName(i) + "-01JE0000000000000000000000",
			Duration: lease.DefaultDuration, Margin: lease.DefaultMargin, MaxInFlight: lease.DefaultMaxInFlight,
			Objects: api.store, Log: zap.NewNop(),
		}
		go l.Run(ctx)
	}
	time.Sleep(time.Second)
	before, err := api.stats(ctx)
	if err != nil {
		return 0, 0, 0, err
	}
	start, bytesBefore := time.Now(), api.countingRelay.bytes.Load()
	time.Sleep(leaseWindow)
	transferredBytes, seconds := api.countingRelay.bytes.Load()-bytesBefore, time.Since(start).Seconds()
	after, err := api.stats(ctx)
	if err != nil {
		return 0, 0, 0, err
	}
	readCount, writeCount := float64(after.Reads-before.Reads), float64(after.Writes-before.Writes)
	return readCount / seconds, writeCount / seconds, float64(transferredBytes) / max(1, readCount+writeCount), nil
}

// storeGroup is a group of version stores in one process, one for each simulated instance. Each keeps the newest
// version of the configuration, and they find newer versions by comparing digests with each other.
type storeGroup struct {
	stores []*versions.Store
	// appliedVersions receives the version of each configuration that a store applies.
	appliedVersions chan int

	mu             sync.Mutex
	exchangedBytes int
}

func newStoreGroup(n int, api platform.Store) *storeGroup {
	group := &storeGroup{appliedVersions: make(chan int, 16*n)}
	for i := range n {
		s := &versions.Store{Instance: instanceName(i), Objects: api, Log: zap.NewNop()}
		s.IsWatcher = func() bool { return i < versions.WatchersPerDataCentre }
		s.OnConfig = func(c *wire.Config) error { group.appliedVersions <- c.Version; return nil }
		s.Exchange = func(_ context.Context, name string, d wire.VersionDigest) (wire.VersionOffer, error) {
			return group.exchange(i, name, d)
		}
		s.Announce = func(d wire.VersionDigest) { group.announce(i, d) }
		group.stores = append(group.stores, s)
	}
	return group
}

// exchange compares digests with the named store or, if the name is empty, with the parent in the version tree.
func (g *storeGroup) exchange(i int, name string, d wire.VersionDigest) (wire.VersionOffer, error) {
	other := g.stores[min(versions.Parent(i), len(g.stores)-1)]
	for _, s := range g.stores {
		if s.Instance == name {
			other = s
		}
	}
	offer := other.OfferFor(d)
	g.countBytes(d, offer)
	return offer, nil
}

// announce sends a digest to three random stores.
func (g *storeGroup) announce(i int, d wire.VersionDigest) {
	for range min(3, len(g.stores)-1) {
		g.countBytes(d)
		g.stores[rand.IntN(len(g.stores))].HandleDigest(g.stores[i].Instance, d)
	}
}

func (g *storeGroup) countBytes(values ...any) {
	n := 0
	for _, v := range values {
		n += len(toJSON(v))
	}
	g.mu.Lock()
	g.exchangedBytes += n
	g.mu.Unlock()
}

func (g *storeGroup) totalBytes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exchangedBytes
}

// waitForVersion returns when all stores have applied the version.
func (g *storeGroup) waitForVersion(ctx context.Context, version int) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for n := 0; n < len(g.stores); {
		select {
		case v := <-g.appliedVersions:
			if v == version {
				n++
			}
		case <-ctx.Done():
			return fmt.Errorf("version %d was applied by %d of %d stores: %w", version, n, len(g.stores), ctx.Err())
		}
	}
	return nil
}

// measureVersions measures how changes of a small configuration reach n stores.
func (f *platformFigures) measureVersions(ctx context.Context, t Target, n int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	api, err := newObjectAPI(ctx)
	if err != nil {
		return err
	}
	if err := storeConfigVersion(ctx, api.store, t, 1); err != nil {
		return err
	}
	stores := newStoreGroup(n, api.store)
	for _, s := range stores.stores {
		go s.Run(ctx)
	}
	if err := stores.waitForVersion(ctx, 1); err != nil {
		return err
	}
	time.Sleep(time.Second)
	before, err := api.stats(ctx)
	if err != nil {
		return err
	}
	start, bytesBefore := time.Now(), stores.totalBytes()
	var activationMs []float64
	for v := 2; v < 2+repetitions; v++ {
		time.Sleep(300 * time.Millisecond)
		changed := time.Now()
		if err := storeConfigVersion(ctx, api.store, t, v); err != nil {
			return err
		}
		if err := stores.waitForVersion(ctx, v); err != nil {
			return err
		}
		activationMs = append(activationMs, float64(time.Since(changed).Milliseconds()))
	}
	after, err := api.stats(ctx)
	if err != nil {
		return err
	}
	f.ActivationTime.addPoint(n, median(activationMs))
	f.VersionBytes.addPoint(n, float64(stores.totalBytes()-bytesBefore)/float64(n*repetitions))
	f.VersionReads.addPoint(n, float64(after.Reads-before.Reads)/time.Since(start).Seconds())
	return nil
}

// storeConfigVersion stores a version of a small configuration as an operator does.
func storeConfigVersion(ctx context.Context, api platform.Store, t Target, version int) error {
	cfg := newConfig(t, smallServers, smallWorkspaces)
	cfg.Version = version
	name := fmt.Sprintf("v%08d-capacity", version)
	if _, err := api.Create(ctx, platform.KindConfigVersion, name, cfg); err != nil {
		return err
	}
	head := wire.ConfigHead{Version: version, Document: name}
	if version == 1 {
		_, err := api.Create(ctx, platform.KindConfig, versions.HeadName, head)
		return err
	}
	current, err := api.Get(ctx, platform.KindConfig, versions.HeadName)
	if err != nil {
		return err
	}
	_, err = api.Update(ctx, platform.KindConfig, versions.HeadName, current.Version, head)
	return err
}

// measureHealthChecks measures the health checks of an engine stand-in.
func (f *platformFigures) measureHealthChecks(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	url, r, err := serveCounted(ctx, (&engines.Server{}).Handler())
	if err != nil {
		return err
	}
	address := url[len("http://"):]
	var reports engine.ReportClient
	var checkErr error
	check := func(int) {
		if _, err := reports.Load(ctx, address); err != nil {
			checkErr = err
		}
		if _, err := reports.CacheEvents(ctx, address, 0); err != nil {
			checkErr = err
		}
	}
	check(0)
	before := r.settledBytes()
	const checkCount = 100
	f.HealthCPU = cpuSecondsPerCall(checkCount, check)
	f.HealthBytes = (r.settledBytes() - before) / (repetitions * checkCount)
	return checkErr
}
