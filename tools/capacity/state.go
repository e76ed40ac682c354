package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/process/burn"
	"github.com/toucanroute/toucanroute/process/members"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/usage"
	"github.com/toucanroute/toucanroute/version/keyring"
	"github.com/toucanroute/toucanroute/version/route"
	"github.com/toucanroute/toucanroute/wire"
)

// stateFigures are the measurements of the data that every daemon holds.
type stateFigures struct {
	// DocumentSizeByServers and DocumentSizeByWorkspaces are the size of the stored configuration in KB, by number of
	// backend servers and by number of workspaces.
	DocumentSizeByServers    Series
	DocumentSizeByWorkspaces Series
	// ApplyByServers and ApplyByWorkspaces are the processor time of decoding a configuration and building its
	// routing table, in milliseconds.
	ApplyByServers    Series
	ApplyByWorkspaces Series
	// ConfigHeapByServers and ConfigHeapByWorkspaces are the heap that a configuration document and its routing table
	// take, in KB.
	ConfigHeapByServers    Series
	ConfigHeapByWorkspaces Series
	// Ring is the heap that the keyrings of all workspaces take, in KB. KeyReplaceTime is the processor time of
	// replacing the keyring of one workspace, in microseconds.
	Ring           Series
	KeyReplaceTime Series
	// Recorder is the heap that a burn.Recorder takes, in KB. The recorder counts request results by workspace and
	// class; burn rates are calculated from these counts.
	Recorder Series
	// Homes is the processor time of looking up the home instances of a pool, in microseconds.
	Homes Series
	// InstanceListSize is the size of the instance list in KB.
	InstanceListSize Series
	// Part is the size of a usage part in KB. A usage part is an object in which the usage collector of a data centre
	// stores the usage lines that the instances handed over to it.
	Part Series
}

// measureState builds the data structures of a daemon in this process and measures them.
func measureState(ctx context.Context, t Target) stateFigures {
	f := stateFigures{}
	f.measureConfigs(t)
	f.keys(t)
	f.measureBurnCounts(t)
	f.members(t)
	f.measureUsageParts(ctx, t)
	return f
}

// appliedConfig is a configuration as a daemon holds it.
type appliedConfig struct {
	configDocument json.RawMessage
	table          *route.Table
}

// measureConfigs measures configurations of different sizes.
func (f *stateFigures) measureConfigs(t Target) {
	byServers, byWorkspaces := "backend servers", "workspaces"
	newSeries := func(name, unit, parameter string, size int) Series {
		return Series{Name: name + ", by " + parameter, Unit: unit, Parameter: parameter, Target: float64(size)}
	}
	f.DocumentSizeByServers = newSeries("configuration as stored", "KB", byServers, t.Servers)
	f.ApplyByServers = newSeries("reading a configuration and building its table", "ms", byServers, t.Servers)
	f.ConfigHeapByServers = newSeries("heap of a configuration", "KB", byServers, t.Servers)
	f.DocumentSizeByWorkspaces = newSeries("configuration as stored", "KB", byWorkspaces, t.Workspaces)
	f.ApplyByWorkspaces = newSeries("reading a configuration and building its table", "ms", byWorkspaces, t.Workspaces)
	f.ConfigHeapByWorkspaces = newSeries("heap of a configuration", "KB", byWorkspaces, t.Workspaces)
	for _, n := range []int{10, 100, 1000, 5400} {
		size, cpu, heap := configDocument(t, n, smallWorkspaces)
		f.DocumentSizeByServers.addPoint(n, size/kilobyte)
		f.ApplyByServers.addPoint(n, cpu*1000)
		f.ConfigHeapByServers.addPoint(n, heap/kilobyte)
	}
	for _, n := range []int{10, 120, 1200} {
		size, cpu, heap := configDocument(t, smallServers, n)
		f.DocumentSizeByWorkspaces.addPoint(n, size/kilobyte)
		f.ApplyByWorkspaces.addPoint(n, cpu*1000)
		f.ConfigHeapByWorkspaces.addPoint(n, heap/kilobyte)
	}
}

// configDocument builds a configuration document and measures it. It returns the size of the document in bytes, the
// processor time of applying it in seconds, and the bytes of heap that it takes once it is applied.
func configDocument(t Target, servers, workspaces int) (size, cpu, heap float64) {
	data := toJSON(newConfig(t, servers, workspaces))
	apply := func() appliedConfig {
		applied := appliedConfig{configDocument: append(json.RawMessage{}, data...)}
		var cfg wire.Config
		if err := json.Unmarshal(applied.configDocument, &cfg); err != nil {
			panic(err)
		}
		table, err := route.NewTable(&cfg)
		if err != nil {
			panic(err)
		}
		applied.table = table
		return applied
	}
	cpu = cpuSecondsPerCall(5, func(int) { apply() })
	heap, kept := heapUsedBy(apply)
	return float64(len(kept.configDocument)), cpu, heap
}

// keys measures the keyrings of different numbers of workspaces.
func (f *stateFigures) keys(t Target) {
	size := float64(t.Workspaces)
	f.Ring = Series{Name: "heap of the keys", Unit: "KB", Parameter: "workspaces", Target: size}
	f.KeyReplaceTime = Series{Name: "putting one keyring in force", Unit: "µs", Parameter: "workspaces", Target: size}
	for _, n := range []int{10, 120, 1200} {
		heap, ring := heapUsedBy(func() *keyring.Ring {
			ring := keyring.NewRing()
			for i := range n {
				ring = ring.WithKeyring(keys(t, i))
			}
			return ring
		})
		f.Ring.addPoint(n, heap/kilobyte)
		firstKeyring := keys(t, 0)
		f.KeyReplaceTime.addPoint(n, 1e6*cpuSecondsPerCall(200, func(int) { ring.WithKeyring(firstKeyring) }))
	}
}

// measureBurnCounts measures the heap that a burn.Recorder takes.
func (f *stateFigures) measureBurnCounts(t Target) {
	f.Recorder = Series{Name: "heap of the burn counts", Unit: "KB", Parameter: "workspaces times classes", Target: float64(t.Workspaces * t.Classes)}
	for _, n := range []int{50, 600, 6000} {
		heap, _ := heapUsedBy(func() *burn.Recorder {
			recorder := &burn.Recorder{}
			for i := range n {
				recorder.Record(burn.Result{Workspace: workspaceName(i / t.Classes), Class: className(i % t.Classes), Cause: burn.CauseNone})
			}
			return recorder
		})
		f.Recorder.addPoint(n, heap/kilobyte)
	}
}

// members measures the lookup of home instances and the size of the instance list.
func (f *stateFigures) members(t Target) {
	f.Homes = Series{Name: "finding the homes of a pool", Unit: "µs", Parameter: "daemons of the data centre", Target: t.DaemonsPerDataCentre()}
	f.InstanceListSize = Series{Name: "instance list", Unit: "KB", Parameter: "daemons", Target: float64(t.Daemons)}
	for _, n := range []int{2, 16, 64, 142} {
		table := &members.Table{Instance: instanceName(0), DataCentre: dataCentreName(0)}
		for i := 1; i < n; i++ {
			table.RecordHeartbeat(wire.Hello{Instance: instanceName(i * t.DataCentres), DataCentre: dataCentreName(0)})
		}
		f.Homes.addPoint(n, 1e6*cpuSecondsPerCall(300, func(i int) { table.HomeCandidates(poolName(i%t.Models), dataCentreName(0)) }))
	}
	for _, n := range []int{2, 64, 850} {
		var list wire.InstanceList
		for i := range n {
			list.Instances = append(list.Instances, wire.InstanceInfo{
				Name: instanceName(i), DataCentre: dataCentreName(i), PeerAddress: fmt.Sprintf("10.9.%d.%d:9000", i/250, i%250),
				State: wire.InstanceInfoStateLive,
			})
		}
		f.InstanceListSize.addPoint(n, float64(len(toJSON(list)))/kilobyte)
	}
}

// measureUsageParts measures the objects that a usage collector stores.
func (f *stateFigures) measureUsageParts(ctx context.Context, t Target) {
	f.Part = Series{Name: "usage part as stored", Unit: "KB", Parameter: "lines", Target: t.DaemonsPerDataCentre() * t.UsageLines(usage.FlushInterval)}
	for _, n := range []int{40, 400, 4000} {
		f.Part.addPoint(n, usagePartBytes(ctx, t, n)/kilobyte)
	}
}

// usagePartBytes returns the bytes that a real usage collector stores for the given number of usage lines, which are
// handed over in groups of linesPerHandOver.
func usagePartBytes(ctx context.Context, t Target, lines int) float64 {
	var mu sync.Mutex
	size := 0
	collector := &usage.Collector{DataCentre: dataCentreName(0), RunID: instanceName(0), Window: time.Minute}
	collector.Objects.Create = func(_ context.Context, _, _ string, value any) (wire.Object, error) {
		mu.Lock()
		defer mu.Unlock()
		size += len(toJSON(value))
		return wire.Object{Version: 1}, nil
	}
	collector.Objects.Get = func(context.Context, string, string) (wire.Object, error) {
		return wire.Object{}, platform.ErrNotFound{}
	}
	const linesPerHandOver = 40
	for i := range lines / linesPerHandOver {
		handOver := newUsageHandOver(t, linesPerHandOver)
		handOver.Run = instanceName(i) + "-01JE0000000000000000000000"
		handOver.Counts[0].Run = handOver.Run
		collector.Take(handOver)
	}
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	collector.Run(cancelled)
	return float64(size)
}
