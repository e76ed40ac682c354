package registry

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// pathFixture is a registry of some servers of the pool "p" to which connections can always be opened.
type pathFixture struct {
	*Registry
	// carries is set while the path of the instance carries answers.
	carries atomic.Bool
	asked   atomic.Int32
	// cold is the time for which a server stays cold that is asked.
	cold time.Duration
}

func newPathFixture(n int) *pathFixture {
	f := &pathFixture{Registry: &Registry{Log: zap.NewNop()}}
	f.Probe = func(string) error { return nil }
	f.Ask = func(pool, _ string) (time.Duration, error) {
		f.asked.Add(1)
		if pool != "p" || !f.carries.Load() {
			time.Sleep(500 * time.Millisecond)
			return 0, syscall.ETIMEDOUT
		}
		return f.cold, nil
	}
	var entries []Entry
	for i := range n {
		entries = append(entries, newEntry(fmt.Sprint("a", i)))
	}
	f.Reset(entries, false)
	return f
}

// othersProgress records that each server has answered another instance.
func (f *pathFixture) othersProgress() {
	for _, srv := range f.Servers() {
		srv.mu.Lock()
		srv.lastReceived, srv.heardElsewhere = time.Now(), time.Now()
		srv.mu.Unlock()
	}
}

// wait begins requests at the first n servers and reports after a second that they have got nothing.
func (f *pathFixture) wait(n int) {
	var attempts []*Attempt
	for _, srv := range f.Servers()[:n] {
		attempts = append(attempts, srv.Begin(0))
	}
	time.Sleep(time.Second)
	f.othersProgress()
	for _, a := range attempts {
		a.CheckUnresponsive()
	}
	time.Sleep(300 * time.Millisecond)
	f.othersProgress()
	time.Sleep(700 * time.Millisecond)
}

// Requests to two servers get nothing, while other instances are answered: the servers count as unreachable until they
// answer, though connections to them can be opened.
func TestBrokenPathIsFoundAndRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPathFixture(12)
		f.wait(2)
		assert.Assert(t, f.IsUnreachable("p"))
		f.Put(newEntry("late"))
		assert.Assert(t, f.IsUnreachable("p"), "a server that appears meanwhile")
		f.asked.Store(0)
		time.Sleep(time.Minute)
		assert.Assert(t, f.IsUnreachable("p"))
		assert.Assert(t, f.asked.Load() <= 20, "asked %d times in a minute", f.asked.Load())
		f.carries.Store(true)
		time.Sleep(maxAskDelay + time.Second)
		assert.Equal(t, len(f.Usable("p", Selection{})), 13)
		assert.Assert(t, !f.path.broken)
	})
}

// The same, if requests are reset at once.
func TestBrokenPathIsFoundByFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPathFixture(12)
		f.othersProgress()
		crashed := f.Servers()[0]
		for range 2 {
			crashed.Begin(0).End(OutcomeFailed)
		}
		synctest.Wait()
		assert.Equal(t, f.asked.Load(), int32(0), "one server may only have crashed")
		for _, srv := range f.Servers()[:2] {
			srv.Begin(0).End(OutcomeFailed)
		}
		time.Sleep(300 * time.Millisecond)
		f.othersProgress()
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, f.IsUnreachable("p"))
		assert.Equal(t, f.asked.Load(), int32(askedServers))
		f.carries.Store(true)
		time.Sleep(maxAskDelay + time.Second)
		assert.Assert(t, !f.IsUnreachable("p"))
	})
}

// Servers of an evacuated data centre aren't asked or checked; they are reachable again after its evacuation, whether the
// path was repaired before or after that.
func TestEvacuatedServersAreNotAsked(t *testing.T) {
	for name, repairedFirst := range map[string]bool{"repaired first": true, "evacuation ended first": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newPathFixture(12)
				away := newEntry("a0")
				away.DataCentre, away.Address = "away", "10.9.9.9:1"
				f.Put(away)
				askedAway := 0
				ask := f.Ask
				f.Ask = func(pool, address string) (time.Duration, error) {
					if address == away.Address && f.evacuated["away"] {
						askedAway++
					}
					return ask(pool, address)
				}
				f.Probe = func(address string) error {
					if address == away.Address && f.evacuated["away"] {
						askedAway++
					}
					return nil
				}
				for _, srv := range f.Servers() {
					srv.probe = f.Probe
				}
				f.SetEvacuated(map[string]bool{"away": true})
				f.checkAfterFailure(f.servers["a1"])
				f.checkAfterFailure(f.servers["a2"])
				f.wait(12)
				assert.Assert(t, f.IsUnreachable("p"))
				for _, isRepair := range []bool{repairedFirst, !repairedFirst} {
					if isRepair {
						f.carries.Store(true)
					} else {
						f.SetEvacuated(nil)
					}
					time.Sleep(maxAskDelay + time.Second)
				}
				assert.Equal(t, askedAway, 0)
				assert.Equal(t, len(f.Usable("p", Selection{})), 12)
				for _, srv := range f.Servers() {
					assert.Assert(t, !srv.IsSuspect())
				}
			})
		})
	}
}

// What isn't a fault of the path leaves all servers reachable.
func TestSoundPathIsKept(t *testing.T) {
	for name, happen := range map[string]func(*pathFixture){
		"one server answers nothing": func(f *pathFixture) { f.wait(1) },
		"servers that are slow, and answer when they are asked": func(f *pathFixture) {
			f.carries.Store(true)
			f.wait(6)
		},
		"another server answered meanwhile": func(f *pathFixture) {
			go func() {
				time.Sleep(500 * time.Millisecond)
				f.Servers()[0].Begin(0).End(OutcomeAnswered)
			}()
			f.wait(6)
		},
		"another server answers while some are asked": func(f *pathFixture) {
			go func() {
				time.Sleep(1200 * time.Millisecond)
				f.Servers()[0].Begin(0).End(OutcomeAnswered)
			}()
			f.wait(6)
		},
		"servers that have all just crashed": func(f *pathFixture) {
			f.othersProgress()
			for _, srv := range f.Servers() {
				srv.Begin(0).End(OutcomeFailed)
			}
		},
		"servers that answer nobody": func(f *pathFixture) {
			for _, srv := range f.Servers() {
				srv.Begin(0).End(OutcomeFailed)
			}
		},
		"failures far apart": func(f *pathFixture) {
			for _, srv := range f.Servers() {
				f.othersProgress()
				srv.Begin(0).End(OutcomeFailed)
				time.Sleep(pathWindow + time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newPathFixture(12)
				happen(f)
				time.Sleep(time.Second)
				for _, srv := range f.Servers() {
					assert.Assert(t, !srv.IsSuspect())
				}
			})
		})
	}
}
