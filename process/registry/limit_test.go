package registry

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

const (
	// contactTime is the platform's contactMs, and limitWindow, limitFactor and limitAllowance are what it allows: so many
	// times the limit, and so many requests more, in each window.
	contactTime    = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
)

// limitFleet is a number of instances in front of one server with a limit.
type limitFleet struct {
	mu        sync.Mutex
	rng       *rand.Rand
	instances []*Registry
	// cutOff holds the instances that exchange nothing with the others, although they know of them.
	cutOff map[*Registry]bool
	// limit is what the server names; negative if it names none.
	limit    float64
	received []time.Time
}

// join adds an instance that knows the given number of other instances.
func (f *limitFleet) join(known func() int, cutOff bool) {
	r := &Registry{Log: zap.NewNop()}
	position := len(f.instances)
	r.Rank = func() (int, int) { return position, max(known(), position+1) }
	r.OnLimitChange = func() { time.AfterFunc(time.Millisecond, func() { f.tell(r) }) }
	r.Reset([]Entry{{ID: "a", Pool: "p", StartedMs: 7}}, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, r)
	f.cutOff[r] = cutOff
}

// tell tells the limits that an instance knows to all others. A tenth of the datagrams gets lost.
func (f *limitFleet) tell(from *Registry) {
	limits := from.Limits()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, to := range f.instances {
		if to != from && !f.cutOff[from] && !f.cutOff[to] && f.rng.IntN(10) > 0 {
			to.MergeLimits("", limits)
		}
	}
}

// request sends a request from an instance if it may, and has the server answer it.
func (f *limitFleet) request(from *Registry) {
	servers := from.Usable("p", Selection{})
	if len(servers) == 0 {
		return
	}
	a, ok := servers[0].TryBegin(0)
	if !ok {
		return
	}
	f.received = append(f.received, time.Now())
	limit := f.limit
	time.AfterFunc(20*time.Millisecond, func() {
		a.RecordLimit(limit)
		a.End(OutcomeAnswered)
	})
}

// run sends requests at random instances at a rate per second for d.
func (f *limitFleet) run(d time.Duration, rate int) {
	lastTold := time.Now()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / time.Duration(rate)) {
		f.mu.Lock()
		from := f.instances[f.rng.IntN(len(f.instances))]
		f.mu.Unlock()
		f.request(from)
		if time.Since(lastTold) >= time.Second {
			lastTold = time.Now()
			for _, r := range f.instances {
				f.tell(r)
			}
		}
	}
}

// mostIn returns the largest number of requests within d that the server got after a time.
func (f *limitFleet) mostIn(d time.Duration, after time.Time) int {
	most, first := 0, 0
	for i, at := range f.received {
		for at.Sub(f.received[first]) > d || !f.received[first].After(after) && first < i {
			first++
		}
		if f.received[first].After(after) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// receivedAfter returns the number of requests that the server got after a time.
func (f *limitFleet) receivedAfter(at time.Time) int {
	n := 0
	for _, t := range f.received {
		if t.After(at) {
			n++
		}
	}
	return n
}

// The sum over all instances keeps the server's limit, and most of the limit is used while there is enough work. One
// instance joins after the limit was named, one is cut off from the others.
func TestLimitHoldsForTheSumOfInstances(t *testing.T) {
	for _, n := range []int{1, 9, 78} {
		for _, limit := range []float64{0, 0.3, 1.1, 6, 40} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%d/%v/%d", n, limit, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := &limitFleet{rng: rand.New(rand.NewPCG(seed, 1)), cutOff: map[*Registry]bool{}, limit: -1}
						known := func() int { return len(f.instances) }
						for range n {
							f.join(known, false)
						}
						f.join(func() int { return n }, true)
						f.run(2*time.Second, 400)
						assert.Assert(t, f.mostIn(time.Second, time.Time{}) > 300)
						f.limit = limit
						named := time.Now()
						f.run(time.Second, 400)
						f.join(known, false)
						f.run(40*time.Second, 400)
						most := f.mostIn(limitWindow, named.Add(contactTime))
						assert.Assert(t, float64(most) <= limitFactor*limit*limitWindow.Seconds()+limitAllowance, "%d requests", most)
						used := f.receivedAfter(named.Add(contactTime))
						assert.Assert(t, float64(used) >= 0.5*limit*38, "%d requests in 38 s", used)

						f.limit = -1
						f.run(30*time.Second, 400)
						assert.Assert(t, f.mostIn(time.Second, time.Now().Add(-2*time.Second)) > 300, "the limit must end")
					})
				})
			}
		}
	}
}

// Clocks that differ move the frames of instances, and the limit still holds.
func TestLimitHoldsWithDifferentClocks(t *testing.T) {
	for _, n := range []int{9, 78} {
		for _, limit := range []float64{1.1, 6, 40} {
			start := time.Unix(1_780_000_000, 0)
			var sent []time.Duration
			for position := range n {
				shift := time.Duration(position%3) * 1300 * time.Millisecond
				for at := time.Duration(0); at < time.Minute; at += limitFrame {
					frame := frameAt(start.Add(at+shift), limitFrame)
					for range frameShare("a", frame, frameRequests(limit, frame, limitFrame), position, n) {
						sent = append(sent, at)
					}
				}
			}
			for at := time.Duration(0); at < time.Minute; at += limitFrame {
				count := 0
				for _, s := range sent {
					if s >= at && s <= at+limitWindow {
						count++
					}
				}
				assert.Assert(t, float64(count) <= limitFactor*limit*limitWindow.Seconds()+limitAllowance, "%d of %v at %v", count, limit, at)
			}
		}
	}
}

func TestFrameSharesAddUp(t *testing.T) {
	for _, count := range []int{1, 2, 9, 78} {
		for n := range 200 {
			sum := 0
			for position := range count {
				sum += frameShare("a", int64(n), n, position, count)
			}
			assert.Equal(t, sum, n)
		}
	}
}

// An answer that the server began before it named a limit doesn't end the limit, and a later start of the server has none.
func TestLimitEndsWithLaterAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Registry{Log: zap.NewNop()}
		r.Reset([]Entry{{ID: "a", Pool: "p", StartedMs: 1}}, false)
		old := server(r, "a").Begin(0)
		time.Sleep(time.Second)
		server(r, "a").Begin(0).RecordLimit(0)
		time.Sleep(time.Second)
		old.RecordLimit(-1)
		assert.Equal(t, len(r.Usable("p", Selection{})), 0)
		at, ok := r.NextAllowance("p", Selection{}, 20*time.Second)
		assert.Assert(t, ok)
		time.Sleep(time.Until(at))
		a, ok := server(r, "a").TryBegin(0)
		assert.Assert(t, ok)
		_, ok = server(r, "a").TryBegin(0)
		assert.Assert(t, !ok)

		other := &Registry{Log: zap.NewNop()}
		other.Reset([]Entry{{ID: "a", Pool: "p", StartedMs: 2}}, false)
		other.MergeLimits("x", r.Limits())
		assert.Equal(t, len(other.Limits()), 0, "the limit belongs to an earlier start")
		a.RecordLimit(-1)
		assert.Equal(t, len(r.Usable("p", Selection{})), 1)
		r.Put(Entry{ID: "a", Pool: "p", StartedMs: 2})
		assert.Equal(t, len(r.Limits()), 0)
	})
}

// Where only limits keep servers from taking a request, it isn't sent to servers that can't be reached.
func TestLimitLeavesUnreachableServersAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Registry{Log: zap.NewNop()}
		r.Reset([]Entry{{ID: "limited", Pool: "p"}, {ID: "gone", Pool: "p"}}, false)
		server(r, "gone").Begin(0).End(OutcomeUnreachable)
		server(r, "limited").Begin(0).RecordLimit(0)
		assert.Equal(t, len(r.Usable("p", Selection{})), 0)
		at, ok := r.NextAllowance("p", Selection{}, 2*time.Second)
		assert.Assert(t, ok && time.Until(at) <= 2*time.Second)
		_, ok = r.NextAllowance("p", Selection{Skip: map[string]bool{"limited": true, "gone": true}}, 2*time.Second)
		assert.Assert(t, !ok)
		server(r, "limited").Begin(0).End(OutcomeUnreachable)
		assert.Equal(t, len(r.Usable("p", Selection{})), 1, "if none can be reached, those with an allowance are tried")
	})
}
