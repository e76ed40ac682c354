package registry

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

const (
	// coldOverage and coldTolerance are the platform's bounds: a cold server gets at most coldOverage times its number, and
	// coldTolerance more, in any second.
	coldOverage, coldTolerance = 1.5, 5
	// testColdRate and testColdStart are what the test servers stand, and for how long.
	testColdRate  = 18
	testColdStart = 3 * time.Second
)

// coldFleet is a number of instances in front of servers that were out of reach and come back cold.
type coldFleet struct {
	rng       *rand.Rand
	instances []*Registry
	// received holds the times at which each server got requests since it came back.
	received map[string][]time.Time
	refused  int
	// frozen and dead are instances whose requests arrive late, or that send none any more; -1 if there is none.
	frozen, dead int
}

func testColdLimit(string) ColdLimit {
	return ColdLimit{Rate: testColdRate, StartTime: testColdStart}
}

func newColdFleet(seed uint64, instances int, entries []Entry) *coldFleet {
	f := &coldFleet{rng: rand.New(rand.NewPCG(seed, 7)), received: map[string][]time.Time{}, frozen: -1, dead: -1}
	for position := range instances {
		r := &Registry{Log: zap.NewNop(), Cold: testColdLimit, Rank: func() (int, int) { return position, instances }}
		r.Reset(entries, false)
		f.instances = append(f.instances, r)
	}
	return f
}

// coldServers returns the entries of servers: those named c... come back, those named w... stay.
func coldServers(returning, warm int) (entries []Entry) {
	for i := range returning {
		entries = append(entries, Entry{ID: fmt.Sprintf("c%d", i), Pool: "p", DataCentre: "one", Slots: 48, Revision: 1})
	}
	for i := range warm {
		entries = append(entries, Entry{ID: fmt.Sprintf("w%d", i), Pool: "p", DataCentre: "two", Slots: 48, Revision: 1})
	}
	return entries
}

// run sends requests at random instances at a rate per second for d. Each instance prefers the servers that came back, as
// they are idle. Some requests arrive late, since they need a new connection.
func (f *coldFleet) run(d time.Duration, rate int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / time.Duration(rate)) {
		i := f.rng.IntN(len(f.instances))
		if i == f.dead {
			continue
		}
		servers := f.instances[i].Usable("p", Selection{})
		if len(servers) == 0 {
			f.refused++
			continue
		}
		returned := slices.DeleteFunc(slices.Clone(servers), func(srv *Server) bool { return srv.Entry().ID[0] != 'c' })
		if len(returned) > 0 {
			servers = returned
		}
		srv := servers[f.rng.IntN(len(servers))]
		if _, ok := srv.TryBegin(0); !ok {
			continue
		}
		delay := time.Duration(f.rng.IntN(5)) * time.Millisecond
		switch {
		case i == f.frozen:
			delay += 900 * time.Millisecond
		case f.rng.IntN(50) == 0:
			delay += 250 * time.Millisecond
		}
		id := srv.Entry().ID
		f.received[id] = append(f.received[id], time.Now().Add(delay))
	}
}

// checkBound checks that no server got more than the platform's bound in any second.
func (f *coldFleet) checkBound(t *testing.T, servers []Entry) {
	t.Helper()
	for _, e := range servers {
		if e.ID[0] != 'c' {
			continue
		}
		times := f.received[e.ID]
		slices.SortFunc(times, time.Time.Compare)
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) > time.Second {
				first++
			}
			assert.Assert(t, float64(i-first+1) <= coldOverage*testColdRate+coldTolerance, "server %s got %d requests in a second", e.ID, i-first+1)
		}
	}
}

// absences are the ways in which the servers of a data centre got nothing for a while: they were out of reach, or evacuated
// and became cold shortly before the end.
var absences = map[string]struct{ begin, end func(*Registry) }{
	"out of reach": {func(r *Registry) { r.SuspectDataCentre("one") }, func(r *Registry) { r.TrustDataCentre("one") }},
	"evacuated":    {func(r *Registry) { r.SetEvacuated(map[string]bool{"one": true}) }, func(r *Registry) { r.SetEvacuated(nil) }},
}

// All servers of a data centre got nothing for a while, and come back cold together. Their entries arrive late, and never at the
// last instance, which is cut off from the store and the others; one instance stops and one is frozen at times.
func TestReturnedServersGetWhatTheyStand(t *testing.T) {
	for name, absence := range absences {
		for _, n := range []int{9, 78} {
			for seed := range uint64(4) {
				warm := 60 * int(seed%2)
				t.Run(fmt.Sprintf("%s/%d/%d", name, n, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						entries := coldServers(30, warm)
						f := newColdFleet(seed, n, entries)
						time.Sleep(10 * time.Second)
						for _, r := range f.instances {
							absence.begin(r)
						}
						time.Sleep(2 * time.Second)
						coldUntil := time.Now().Add(testColdStart)
						f.frozen = 0
						for i, r := range f.instances {
							absence.end(r)
							if i == n-1 {
								continue
							}
							// A tenth of the datagrams that tell of new entries is lost, and the next comes a second later.
							delay := time.Duration(200+f.rng.IntN(1000)) * time.Millisecond
							for f.rng.IntN(10) == 0 {
								delay += time.Second
							}
							time.AfterFunc(delay, func() {
								for _, e := range entries {
									if e.ID[0] == 'c' {
										e.WarmupTime, e.Revision = time.Until(coldUntil), 2
										r.Put(e)
									}
								}
							})
						}
						f.run(1500*time.Millisecond, 2000)
						f.dead = 1
						f.run(1500*time.Millisecond, 2000)
						f.checkBound(t, entries)
						got := 0
						for _, times := range f.received {
							got += len(times)
						}
						assert.Assert(t, got > 0)
						if warm > 0 {
							assert.Equal(t, f.refused, 0, "the other servers take what the cold ones can't")
						}
						time.Sleep(testColdStart)
						synctest.Wait()
						for _, r := range f.instances {
							assert.Equal(t, len(r.Usable("p", Selection{})), len(entries), "nothing is held back once they are warm")
						}
					})
				})
			}
		}
	}
}

// Where all servers are cold, the instances together use most of what these stand, and the rest is told when to come back.
func TestColdPoolIsUsed(t *testing.T) {
	for _, n := range []int{9, 78} {
		synctest.Test(t, func(t *testing.T) {
			entries := coldServers(30, 0)
			for i := range entries {
				entries[i].WarmupTime = 20 * time.Second
			}
			f := newColdFleet(1, n, entries)
			f.run(10*time.Second, 2000)
			f.checkBound(t, entries)
			got := 0
			for _, times := range f.received {
				got += len(times)
			}
			assert.Assert(t, float64(got) >= 0.8*10*30*testColdRate, "%d requests", got)
			assert.Assert(t, f.refused > 0)
			for _, r := range f.instances {
				at, ok := r.NextAllowance("p", Selection{}, 2*time.Second)
				assert.Assert(t, ok && time.Until(at) <= time.Second)
			}
		})
	}
}

// Clocks that differ by up to a frame, and requests that arrive up to a frame late, leave the sum within the bound.
func TestColdBoundWithDifferentClocks(t *testing.T) {
	for _, n := range []int{9, 78} {
		for _, rate := range []float64{1, 2.5, 18, 120} {
			start := time.Unix(1_780_000_000, 0)
			var sent []time.Duration
			for position := range n {
				shift, late := time.Duration(position%3)*coldFrame/2, time.Duration(position%2)*coldFrame
				for at := time.Duration(0); at < time.Minute; at += coldFrame {
					frame := frameAt(start.Add(at), coldFrame)
					for range frameShare("a", frame, frameRequests(rate, frame, coldFrame), position, n) {
						sent = append(sent, at+shift+late)
					}
				}
			}
			slices.Sort(sent)
			first := 0
			for i, at := range sent {
				for at-sent[first] > time.Second {
					first++
				}
				assert.Assert(t, float64(i-first+1) <= coldOverage*rate+coldTolerance, "%d of %v at %v", i-first+1, rate, at)
			}
		}
	}
}

// A server is cold by its start, its entry or its answers, whichever lasts longest. An entry that is read again doesn't
// make it cold again, and no value keeps it cold for long.
func TestColdTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Registry{Log: zap.NewNop(), Cold: testColdLimit}
		e := Entry{ID: "a", Pool: "p", StartedMs: time.Now().Add(-time.Second).UnixMilli(), Revision: 1}
		r.Reset([]Entry{e}, false)
		srv := server(r, "a")
		assert.Assert(t, srv.IsCold(), "it has just started")
		time.Sleep(2 * time.Second)
		assert.Assert(t, !srv.IsCold())

		e.WarmupTime, e.Revision = time.Second, 2
		r.Put(e)
		assert.Assert(t, srv.IsCold())
		time.Sleep(time.Second)
		r.Reset([]Entry{e}, true)
		assert.Assert(t, !srv.IsCold(), "the entry was read before")
		e.Revision = 3
		r.Put(e)
		assert.Assert(t, srv.IsCold(), "the entry was written again")
		e.WarmupTime, e.Revision = 0, 4
		r.Put(e)
		assert.Assert(t, !srv.IsCold())

		srv.Begin(0).MarkCold(500 * time.Millisecond)
		e.Revision = 5
		r.Put(e)
		assert.Assert(t, srv.IsCold(), "the entry may be older than the answer")
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, !srv.IsCold())

		for i, d := range []time.Duration{-time.Hour, math.MaxInt64, math.MinInt64} {
			e.WarmupTime, e.Revision = d, 6+i
			r.Put(e)
			assert.Equal(t, srv.IsCold(), d > 0)
			time.Sleep(maxColdTime)
			assert.Assert(t, !srv.IsCold())
		}
		e.StartedMs, e.WarmupTime = time.Now().Add(1000*time.Hour).UnixMilli(), 0
		r.Put(e)
		time.Sleep(testColdStart)
		assert.Assert(t, !server(r, "a").IsCold(), "a start in the future counts as one now")
	})
}

// A store that comes back from an older copy lists an entry from before the server became cold.
func TestColdServerOutlivesRewind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Registry{Log: zap.NewNop(), Cold: testColdLimit}
		older := Entry{ID: "a", Pool: "p", Revision: 1}
		r.Reset([]Entry{older}, false)
		newer := older
		newer.WarmupTime, newer.Revision = 4*time.Second, 2
		r.Put(newer)
		time.Sleep(time.Second)
		older.Revision = 3
		r.Rewind([]Entry{older})
		assert.Assert(t, server(r, "a").IsCold())
		time.Sleep(3 * time.Second)
		assert.Assert(t, !server(r, "a").IsCold())
	})
}

// Bad numbers in the configuration never shut a pool.
func TestColdLimitIsBounded(t *testing.T) {
	for _, rate := range []float64{math.NaN(), -1, 0, math.Inf(1), math.MaxFloat64, 1e-9} {
		synctest.Test(t, func(t *testing.T) {
			limit := ColdLimit{Rate: rate, StartTime: math.MaxInt64}
			r := &Registry{Log: zap.NewNop(), Cold: func(string) ColdLimit { return limit }}
			r.Reset([]Entry{{ID: "a", Pool: "p", WarmupTime: time.Minute}}, false)
			sent := 0
			for range 20 {
				if _, ok := server(r, "a").TryBegin(0); ok {
					sent++
				}
				time.Sleep(coldFrame)
			}
			assert.Assert(t, sent > 0, "%v", rate)
		})
	}
}

// An instance whose own path broke takes no server for cold that went on answering others: with many instances, its shares of
// what cold servers stand would shut its pool. The servers that answered nobody for a while may have restarted.
func TestBrokenPathDoesNotMakeServersCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPathFixture(12)
		f.Cold = testColdLimit
		f.Rank = func() (position, count int) { return 0, 78 }
		for _, srv := range f.Servers() {
			srv.coldLimit, srv.rank = f.Cold, f.Rank
		}
		time.Sleep(maxColdTime)
		var isMute atomic.Bool
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(200 * time.Millisecond)
		}()
		go func() {
			for ; ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
				for _, srv := range f.Servers() {
					srv.mu.Lock()
					if !isMute.Load() || srv.entry.ID != "a0" {
						srv.markHeardElsewhere(time.Now())
					}
					srv.mu.Unlock()
				}
			}
		}()
		f.wait(2)
		assert.Assert(t, f.IsUnreachable("p"))
		isMute.Store(true)
		time.Sleep(10 * time.Second)
		f.carries.Store(true)
		time.Sleep(maxAskDelay + time.Second)
		for _, srv := range f.Servers() {
			assert.Assert(t, !srv.IsSuspect())
			srv.mu.Lock()
			presumed := !srv.cold.presumedAt.IsZero()
			srv.mu.Unlock()
			assert.Equal(t, presumed, srv.Entry().ID == "a0", srv.Entry().ID)
		}
	})
}

// A restart that is noticed only when the server is nearly back, and one during which the entry expired, count as cold.
func TestLateNoticedRestartIsPresumedCold(t *testing.T) {
	for name, restart := range map[string]func(*Registry, Entry){
		"noticed late": func(r *Registry, _ Entry) {
			server(r, "a").Begin(0).End(OutcomeUnreachable)
			time.Sleep(100 * time.Millisecond)
			server(r, "a").Begin(0).End(OutcomeAnswered)
		},
		"entry expired": func(r *Registry, e Entry) {
			r.Remove("a")
			time.Sleep(time.Second)
			r.Put(e)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &Registry{Log: zap.NewNop(), Cold: testColdLimit}
				e := Entry{ID: "a", Pool: "p", StartedMs: time.Now().UnixMilli(), Revision: 1}
				r.Reset([]Entry{e}, false)
				time.Sleep(maxColdTime)
				server(r, "a").Begin(0).End(OutcomeAnswered)
				time.Sleep(2 * time.Second)
				assert.Assert(t, !server(r, "a").IsCold())
				restart(r, e)
				assert.Assert(t, server(r, "a").IsCold())
				time.Sleep(testColdStart)
				assert.Assert(t, !server(r, "a").IsCold())
			})
		})
	}
}

// A server that failed a connection, and sent something a moment before and after, hasn't restarted.
func TestShortFailureIsNoRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Registry{Log: zap.NewNop(), Cold: testColdLimit}
		r.Reset([]Entry{{ID: "a", Pool: "p", Revision: 1}}, false)
		time.Sleep(maxColdTime)
		for _, outcome := range []Outcome{OutcomeAnswered, OutcomeUnreachable, OutcomeAnswered} {
			server(r, "a").Begin(0).End(outcome)
			time.Sleep(minRestartTime / 3)
		}
		assert.Assert(t, !server(r, "a").IsCold())
	})
}
