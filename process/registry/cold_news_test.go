package registry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/wire"
)

// A server that becomes cold while it works says so in an answer; the instances that get it tell the others.
func TestColdAnswerReachesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		told := 0
		first, second, third := &Registry{}, &Registry{}, &Registry{}
		for _, r := range []*Registry{first, second, third} {
			r.Log, r.Cold, r.OnLimitChange = zap.NewNop(), testColdLimit, func() { told++ }
			r.Reset([]Entry{{ID: "a", Pool: "p", Revision: 1}}, false)
		}
		time.Sleep(maxColdTime)
		server(first, "a").Begin(0).MarkCold(2 * time.Second)
		server(first, "a").Begin(0).MarkCold(2 * time.Second)
		assert.Equal(t, told, 1)
		time.Sleep(100 * time.Millisecond)
		second.MergeLimits("first", first.Limits())
		assert.Assert(t, server(second, "a").IsCold())
		assert.Equal(t, len(second.Limits()), 0, "what was told isn't told on")
		assert.Equal(t, server(second, "a").State(time.Now()).Limit, 0.0)
		older := first.Limits()
		for i := range older {
			older[i].ColdMs = 0
		}
		third.MergeLimits("an older build", older)
		assert.Assert(t, !server(third, "a").IsCold())
		third.MergeLimits("wrong", []wire.NewsLimit{{Server: older[0].Server, Rate: -1, ColdMs: math.MaxInt}})
		time.Sleep(2 * time.Second)
		assert.Assert(t, !server(first, "a").IsCold() && !server(second, "a").IsCold())
		assert.Assert(t, server(third, "a").IsCold())
		time.Sleep(maxColdTime)
		assert.Assert(t, !server(third, "a").IsCold(), "a time is bounded")
	})
}

// A server that is asked says that it is cold.
func TestAskedServerIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPathFixture(1)
		f.carries.Store(true)
		f.cold = 2 * time.Second
		srv := f.Servers()[0]
		srv.coldLimit = testColdLimit
		time.Sleep(maxColdTime)
		assert.Assert(t, f.askAny(f.Servers()))
		assert.Assert(t, srv.IsCold())
	})
}

// A bad time is logged once for each server, and not where coldness doesn't matter.
func TestBadColdTimeIsLoggedOnce(t *testing.T) {
	for want, limit := range map[int]func(string) ColdLimit{1: testColdLimit, 0: func(string) ColdLimit { return ColdLimit{} }} {
		core, logs := observer.New(zap.WarnLevel)
		r := &Registry{Log: zap.New(core), Cold: limit}
		for revision := range 5 {
			r.Put(Entry{ID: "a", Pool: "p", WarmupTime: time.Hour, Revision: revision})
			server(r, "a").Begin(0).MarkCold(time.Hour)
		}
		assert.Equal(t, logs.FilterMessage("server_cold_bounded").Len(), want)
	}
}

// Some servers become cold in the middle of their work. Their answers say so after 50 to 250 ms; what instances tell of that
// takes up to 200 ms more, and a tenth of it is lost; the entries come after a second.
func TestServerBecomesColdAtWork(t *testing.T) {
	for _, n := range []int{9, 78} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d/%d", n, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					entries := coldServers(6, 54)
					f := newColdFleet(seed, n, entries)
					for _, r := range f.instances {
						for _, srv := range r.Servers() {
							srv.onLimitChange = func() { time.AfterFunc(0, func() { f.tell(r) }) }
						}
					}
					time.Sleep(maxColdTime)
					coldUntil := time.Now().Add(testColdStart)
					for _, r := range f.instances {
						time.AfterFunc(time.Second, func() {
							for _, e := range entries {
								if e.ID[0] == 'c' {
									e.WarmupTime, e.Revision = time.Until(coldUntil), 2
									r.Put(e)
								}
							}
						})
					}
					for ; time.Now().Before(coldUntil); time.Sleep(500 * time.Microsecond) {
						servers := f.instances[f.rng.IntN(n)].Usable("p", Selection{})
						srv := servers[f.rng.IntN(len(servers))]
						a, ok := srv.TryBegin(0)
						if !ok {
							continue
						}
						id := srv.Entry().ID
						f.received[id] = append(f.received[id], time.Now())
						time.AfterFunc(time.Duration(50+f.rng.IntN(200))*time.Millisecond, func() {
							if id[0] == 'c' {
								a.MarkCold(time.Until(coldUntil))
							}
							a.End(OutcomeAnswered)
						})
					}
					f.checkBound(t, entries)
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// tell brings what an instance knows of limits and coldness to the others.
func (f *coldFleet) tell(from *Registry) {
	news := from.Limits()
	for _, r := range f.instances {
		if r != from && rand.IntN(10) > 0 {
			time.AfterFunc(time.Duration(rand.IntN(200))*time.Millisecond, func() { r.MergeLimits("", news) })
		}
	}
}

// A pool all of whose servers are evacuated is named.
func TestEvacuatedPoolIsNamed(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	r := &Registry{Log: zap.New(core)}
	r.Reset([]Entry{{ID: "a", Pool: "p", DataCentre: "one"}, {ID: "b", Pool: "q", DataCentre: "one"}, {ID: "c", Pool: "q", DataCentre: "two"}}, false)
	r.SetEvacuated(map[string]bool{"one": true})
	fields := logs.FilterMessage("servers_evacuated").All()[0].ContextMap()
	assert.DeepEqual(t, fields["pools_shut"], []any{"p"})
	assert.Assert(t, r.IsEvacuated("p") && !r.IsEvacuated("q") && !r.IsEvacuated("none"))
}

// An instance that doesn't know yet how many others there are sends cold servers nothing, and others what it would.
func TestColdServersWaitForInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		knows := false
		r := &Registry{Log: zap.NewNop(), Cold: testColdLimit, KnowsOthers: func() bool { return knows }}
		r.Reset([]Entry{{ID: "cold", Pool: "p", StartedMs: time.Now().UnixMilli(), WarmupTime: time.Second}, {ID: "warm", Pool: "p", StartedMs: 1}}, false)
		for range 8 {
			list := r.Usable("p", Selection{})
			assert.Assert(t, len(list) == 1 && list[0].Entry().ID == "warm")
			time.Sleep(coldFrame / 2)
		}
		knows = true
		assert.Equal(t, len(r.Usable("p", Selection{})), 2)
	})
}
