package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// brittleServer is a simulated server that says that it is brittle.
type brittleServer struct {
	mu             sync.Mutex
	slots, running int
	// rejections is what the server can turn away in a second, and rejected the times at which it did.
	rejections float64
	rejected   []time.Time
	served     int
}

// brittleFleet is a number of instances in front of brittle servers.
type brittleFleet struct {
	rng       *rand.Rand
	servers   map[string]*brittleServer
	instances []*Registry
	// cutOff is the number of instances, the first ones, that exchange nothing with the others.
	cutOff int
}

func newBrittleFleet(seed uint64, instances, servers, slots int, rejections float64) *brittleFleet {
	f := &brittleFleet{rng: rand.New(rand.NewPCG(seed, 0)), servers: map[string]*brittleServer{}}
	var entries []Entry
	for i := range servers {
		id := fmt.Sprint("s", i)
		f.servers[id] = &brittleServer{slots: slots, rejections: rejections}
		entries = append(entries, newEntry(id, func(e *Entry) { e.Slots = slots }))
	}
	for i := range instances {
		r := newTestRegistry()
		r.Log = zap.NewNop()
		r.Rank = func() (int, int) { return i, instances }
		r.Reset(entries, false)
		f.instances = append(f.instances, r)
	}
	return f
}

// exchange tells the loads of each instance to the others.
func (f *brittleFleet) exchange() {
	for i, r := range f.instances {
		loads := r.LocalLoads(false)
		for j, other := range f.instances {
			if i != j && i >= f.cutOff && j >= f.cutOff && f.rng.IntN(10) > 0 {
				other.UpdateRemoteLoads(fmt.Sprint("i", i), loads)
			}
		}
	}
}

// request sends a request at an instance to one of the servers that it may use.
func (f *brittleFleet) request(r *Registry, work time.Duration) {
	if owners := r.SlotOwners("p"); len(owners) > 0 {
		// The instance relays the request.
		r = f.instances[owners[f.rng.IntN(len(owners))]]
	}
	usable := r.Usable("p", Selection{})
	if len(usable) == 0 {
		return
	}
	srv := usable[f.rng.IntN(len(usable))]
	attempt, ok := srv.TryBegin(0)
	if !ok {
		return
	}
	s := f.servers[srv.Entry().ID]
	if !s.begin() {
		time.AfterFunc(2*time.Millisecond, func() {
			attempt.RecordLoad(s.load())
			attempt.RecordBrittle(s.rejections, true)
			attempt.End(OutcomeRefused)
		})
		return
	}
	time.AfterFunc(work, func() {
		s.end()
		attempt.RecordLoad(s.load())
		attempt.RecordBrittle(s.rejections, false)
		attempt.End(OutcomeAnswered)
	})
}

// begin reports whether the server has room for a request, which then runs.
func (s *brittleServer) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		s.rejected = append(s.rejected, time.Now())
		return false
	}
	s.running++
	return true
}

func (s *brittleServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.served++
}

func (s *brittleServer) load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{Running: s.running, Slots: s.slots}
}

// run sends requests at a rate per second for d, and has the instances exchange loads at each interval.
func (f *brittleFleet) run(d, interval, work time.Duration, rate int) {
	lastExchange := time.Now()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / time.Duration(rate)) {
		f.request(f.instances[f.rng.IntN(len(f.instances))], work)
		if time.Since(lastExchange) >= interval {
			lastExchange = time.Now()
			f.exchange()
		}
	}
}

// falls returns how often a server that can turn n requests away in a second would have fallen over.
func (s *brittleServer) falls() int {
	falls := 0
	var last []time.Time
	for _, at := range s.rejected {
		last = append(slices.DeleteFunc(last, func(t time.Time) bool { return at.Sub(t) > time.Second }), at)
		if float64(len(last)) > s.rejections {
			falls, last = falls+1, nil
		}
	}
	return falls
}

// assertStandsUp asserts that the servers fall over no more often than allowed, while one instance is cut off, and that
// they are kept busy.
func (f *brittleFleet) assertStandsUp(t *testing.T, interval time.Duration) {
	t.Helper()
	f.cutOff = 1
	const work = 200 * time.Millisecond
	capacity := len(f.servers) * f.servers["s0"].slots * int(time.Second/work)
	f.run(2*time.Second, interval, work, capacity/2)
	f.run(8*time.Second, interval, work, 2*capacity)
	falls, served := 0, 0
	for _, s := range f.servers {
		s.mu.Lock()
		falls, served = falls+s.falls(), served+s.served
		s.mu.Unlock()
	}
	assert.Assert(t, falls <= 2+len(f.servers)/10, "%d falls", falls)
	assert.Assert(t, served >= 4*capacity, "%d served of %d", served, 9*capacity)
}

// Brittle servers turn few requests away at twice the load that they can serve, and are kept busy: with 9 and 78
// instances, one of them cut off.
func TestBrittleServersTurnFewRequestsAway(t *testing.T) {
	for _, size := range []struct {
		instances, servers, slots int
		interval                  time.Duration
		seeds                     int
	}{{9, 3, 6, 20 * time.Millisecond, 3}, {9, 18, 16, 20 * time.Millisecond, 2}, {78, 24, 16, 260 * time.Millisecond, 1}} {
		for _, rejections := range []float64{2, 5, 20} {
			for seed := range uint64(size.seeds) {
				t.Run(fmt.Sprintf("%d/%d/%v/%d", size.instances, size.servers, rejections, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newBrittleFleet(seed, size.instances, size.servers, size.slots, rejections)
						f.assertStandsUp(t, size.interval)
					})
				})
			}
		}
	}
}

// The same where the servers have fewer slots than there are instances: those without one relay their requests.
func TestBrittleServersWithFewSlots(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			newBrittleFleet(seed, 78, 3, 6, 5).assertStandsUp(t, 260*time.Millisecond)
		})
	}
}

// The owners of slots are those that have a share of them.
func TestSlotOwnersHaveShares(t *testing.T) {
	for count := 1; count < 30; count++ {
		for n := range 40 {
			owners := frameOwners("s", 0, n, count)
			for p := range count {
				assert.Equal(t, slices.Contains(owners, p), frameShare("s", 0, n, p, count) > 0, "%d slots, %d instances, position %d", n, count, p)
			}
		}
	}
}

// A server that isn't brittle any more gets requests as before, and so do others of its pool.
func TestServerIsNoLongerBrittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry(newEntry("a"), newEntry("b"))
		a, ok := r.Serving("p")[0].TryBegin(0)
		assert.Assert(t, ok)
		a.RecordBrittle(5, true)
		a.End(OutcomeRefused)
		assert.Equal(t, len(r.Usable("p", Selection{})), 1)
		for range 4 {
			a.Server().Begin(0)
			for _, srv := range r.Usable("p", Selection{}) {
				srv.Begin(0)
			}
		}
		assert.Equal(t, len(r.Usable("p", Selection{})), 0, "all are full")
		a.RecordBrittle(-1, false)
		assert.Equal(t, len(r.Usable("p", Selection{})), 2)
	})
}

// A late answer to a request that was sent before the server turned brittle doesn't end the pause; that to a later one does.
func TestLateAnswerHidesNoBrittleServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry(newEntry("a"), newEntry("b"))
		srv := r.Serving("p")[0]
		early := srv.Begin(0)
		time.Sleep(time.Millisecond)
		rejected := srv.Begin(0)
		rejected.RecordBrittle(5, true)
		rejected.End(OutcomeRefused)
		time.Sleep(time.Millisecond)
		early.RecordBrittle(-1, false)
		early.End(OutcomeAnswered)
		assert.Assert(t, r.IsBrittle("p"))
		assert.Equal(t, len(r.Usable("p", Selection{})), 1)
		later := srv.Begin(0)
		later.RecordBrittle(-1, false)
		later.End(OutcomeAnswered)
		assert.Assert(t, !r.IsBrittle("p"))
		assert.Equal(t, len(r.Usable("p", Selection{})), 2)
	})
}
