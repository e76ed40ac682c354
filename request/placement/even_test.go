package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleet simulates servers and instances that know the servers' loads only as they were 100 to 500 ms ago, apart from
// their own requests since then. An engine prefills one prompt after the other; a server of a plain service runs as many
// requests at once as it has slots.
type fleet struct {
	rng     *rand.Rand
	servers []*fleetServer
	// instances holds what each instance knows of the speed of each server.
	instances []fleetInstance
	engines   bool
	// ignoresReports is set if work times aren't used, as by earlier builds.
	ignoresReports bool
	// deaf is the number of instances, from the first, that hear of no other instance's requests.
	deaf int
	// reportsLost is set while the reports of the first server get lost.
	reportsLost bool
	now         time.Duration
	// waits and firsts are the times until requests began and until they were prefilled, and missed the number of tokens
	// of shared parts that were prefilled because the engine didn't have them.
	waits, firsts []time.Duration
	missed        int
	// errors holds the differences between the expected and the real times until requests were prefilled, and usualErrors
	// the same for times that were expected as if all servers were usual.
	errors, usualErrors []time.Duration
	// idle is a result of idleBesideQueues.
	idle float64
}

type fleetServer struct {
	name string
	// speed is the lasting speed relative to the usual one, and slots the number of requests at once.
	speed float64
	slots int
	// slowFrom and slowUntil are the bounds of the moment in which work takes slowFactor times as long.
	slowFrom, slowUntil time.Duration
	slowFactor          float64
	// report returns the work time that the server states, if it isn't the true one.
	report func(now time.Duration, workTime float64) float64
	jobs   []fleetJob
	freeAt []time.Duration
	cached map[string]bool
	// past holds the loads at intervals of loadTick.
	past []fleetLoad
	// busy holds the time worked in each second, and waits the times until requests began here.
	busy, waits []time.Duration
}

type fleetJob struct {
	instance   int
	sentAt     time.Duration
	start, end time.Duration
	tokens     int
}

type fleetLoad struct {
	running, tokens int
	workTime        float64
}

type fleetInstance struct {
	speeds []Speed
	sent   []fleetSend
}

type fleetSend struct {
	at             time.Duration
	server, tokens int
}

const (
	loadTick = 10 * time.Millisecond
	// reportOdds is the number of choices of an instance for each report of a server.
	reportOdds = 4
)

func newFleet(seed uint64, instances, servers, slots int, engines bool) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 3)), engines: engines}
	for i := range servers {
		s := &fleetServer{name: fmt.Sprint("s", i), speed: 1, slots: slots, freeAt: make([]time.Duration, slots), cached: map[string]bool{}, slowFactor: 2.5}
		if engines {
			s.speed, s.freeAt = []float64{0.6, 1, 1.6}[i%3], make([]time.Duration, 1)
		}
		f.servers = append(f.servers, s)
	}
	for range instances {
		f.instances = append(f.instances, fleetInstance{speeds: make([]Speed, servers)})
	}
	return f
}

func (s *fleetServer) workTime(now time.Duration) float64 {
	if now >= s.slowFrom && now < s.slowUntil {
		return s.slowFactor
	}
	return 1
}

// tick records the loads and begins moments in which a server is slow: 15% of the time, mostly for about half a second.
func (f *fleet) tick() {
	for _, s := range f.servers {
		if f.now >= s.slowUntil && f.rng.Float64() < 0.15*float64(loadTick)/float64(425*time.Millisecond) {
			s.slowFrom, s.slowUntil = f.now, f.now+time.Duration(f.rng.ExpFloat64()*float64(500*time.Millisecond))
		}
		load := fleetLoad{workTime: s.workTime(f.now) / s.speed}
		if s.report != nil {
			load.workTime = s.report(f.now, load.workTime)
		}
		s.jobs = slices.DeleteFunc(s.jobs, func(j fleetJob) bool { return j.end <= f.now })
		for _, j := range s.jobs {
			load.running++
			load.tokens += j.tokens
		}
		s.past = append(s.past, load)
	}
}

// candidates returns the servers as an instance knows them.
func (f *fleet) candidates(instance int) []Candidate {
	inst := &f.instances[instance]
	age := 100*time.Millisecond + time.Duration(f.rng.Int64N(int64(400*time.Millisecond)))
	known := f.now - age
	list, stepMs := make([]Candidate, len(f.servers)), make([]float64, len(f.servers))
	base := time.Unix(0, 0)
	for i, s := range f.servers {
		list[i] = Candidate{Name: s.name, Slots: s.slots, SameDataCentre: true}
		if tick := int(known / loadTick); tick >= 0 && tick < len(s.past) {
			if instance >= f.deaf {
				list[i].Running, list[i].PendingPrefill = s.past[tick].running, s.past[tick].tokens
			}
			isLost := f.ignoresReports || f.reportsLost && i == 0
			if !isLost && f.rng.IntN(reportOdds) == 0 {
				inst.speeds[i].ObserveWorkTime(s.past[tick].workTime, base.Add(known))
			}
		}
		list[i].Speed, list[i].WorkTime, stepMs[i] = inst.speeds[i].Lasting(), inst.speeds[i].WorkTime(base.Add(f.now)), inst.speeds[i].StepMs()
	}
	inst.sent = slices.DeleteFunc(inst.sent, func(s fleetSend) bool { return s.at <= known })
	for _, s := range inst.sent {
		list[s.server].Running++
		list[s.server].PendingPrefill += s.tokens
	}
	SetSpeeds(list, stepMs)
	return list
}

// send runs a request on a server; work is in prefill tokens.
func (f *fleet) send(instance, server, work int) time.Duration {
	s := f.servers[server]
	lane := 0
	for l := range s.freeAt {
		if s.freeAt[l] < s.freeAt[lane] {
			lane = l
		}
	}
	start := max(f.now, s.freeAt[lane])
	duration := time.Duration(float64(work) / NominalPrefillRate / s.speed * s.workTime(start) * float64(time.Millisecond))
	s.freeAt[lane] = start + duration
	s.jobs = append(s.jobs, fleetJob{instance, f.now, start, start + duration, work})
	for at := start; at < start+duration; {
		second := int(at / time.Second)
		next := min(time.Duration(second+1)*time.Second, start+duration)
		for len(s.busy) <= second {
			s.busy = append(s.busy, 0)
		}
		s.busy[second] += next - at
		at = next
	}
	s.waits = append(s.waits, start-f.now)
	f.waits, f.firsts = append(f.waits, start-f.now), append(f.firsts, start+duration-f.now)
	inst := &f.instances[instance]
	inst.sent = append(inst.sent, fleetSend{f.now, server, work})
	if f.engines {
		for range 5 {
			stretch := 1 + 2*f.rng.Float64()
			inst.speeds[server].ObserveStep(time.Duration(25 * stretch / s.speed * s.workTime(start) * float64(time.Millisecond)))
		}
	}
	return start - f.now
}

// run sends requests for a number of seconds, at twice the mean rate for half a second in each second and a half.
func (f *fleet) run(seconds, perSecond float64, choose func(p *Prompt, list []Candidate) int) {
	end, nextTick := f.now+time.Duration(seconds*float64(time.Second)), f.now
	for f.now < end {
		rate := perSecond * 0.5
		if f.now%(1500*time.Millisecond) < 500*time.Millisecond {
			rate = 2 * perSecond
		}
		arrival := f.now + time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second))
		for nextTick <= arrival {
			f.now = nextTick
			f.tick()
			nextTick += loadTick
		}
		f.now = arrival
		p, id := f.prompt()
		instance := f.rng.IntN(len(f.instances))
		list := f.candidates(instance)
		if !f.engines {
			f.send(instance, choose(&Prompt{Parts: []Part{{ID: id}}}, list), int(1200*(0.5+f.rng.ExpFloat64()/2)))
			continue
		}
		i := choose(p, list)
		work := p.Tokens - p.SharedTokens()
		for _, part := range p.Parts[:len(p.Parts)-1] {
			if !f.servers[i].cached[part.ID] {
				f.servers[i].cached[part.ID] = true
				work += part.Tokens
				f.missed += part.Tokens
			}
		}
		f.send(instance, i, work)
		first := f.firsts[len(f.firsts)-1]
		usual := time.Duration(float64(list[i].PendingPrefill+work) / NominalPrefillRate * float64(time.Millisecond))
		expected := time.Duration(float64(usual) * list[i].slowness())
		f.errors, f.usualErrors = append(f.errors, (first-expected).Abs()), append(f.usualErrors, (first-usual).Abs())
	}
}

// prompt returns one of three kinds of prompts and an id.
func (f *fleet) prompt() (*Prompt, string) {
	id := fmt.Sprint(f.rng.Uint64())
	key := func(kind string, n int) string { return kind + fmt.Sprint(f.rng.IntN(n)) }
	switch n := f.rng.Float64(); {
	case n < 0.45:
		return &Prompt{Parts: []Part{{key("b", 4), 2520}, {key("l", 1963), 3780}, {id, 2890}}, Tokens: 9190, MaxOutput: 100, FirstEventTarget: 1200 * time.Millisecond}, id
	case n < 0.87:
		return &Prompt{Parts: []Part{{key("m", 16), 341}, {key("k", 1068), 227}, {id, 1800}}, Tokens: 2368, MaxOutput: 50, FirstEventTarget: 800 * time.Millisecond}, id
	default:
		return &Prompt{Parts: []Part{{key("h", 40), 103}, {key("c", 345), 69}, {id, 543}}, Tokens: 715, MaxOutput: 500, FirstEventTarget: time.Second}, id
	}
}

// evenness returns the mean over all whole seconds but the first three of the highest over the mean busy time of a
// server.
func (f *fleet) evenness() float64 {
	sum, n := 0.0, 0
	for second := 3; second < int(f.now/time.Second); second++ {
		highest, total := time.Duration(0), time.Duration(0)
		for _, s := range f.servers {
			if len(s.busy) > second {
				highest, total = max(highest, s.busy[second]), total+s.busy[second]
			}
		}
		sum += float64(highest) * float64(len(f.servers)) / float64(max(total, 1))
		n++
	}
	return sum / float64(n)
}

// meanAndTail returns the mean of the times after the first quarter of the requests, and the 99th percentile over it.
func meanAndTail(times []time.Duration) (mean time.Duration, ratio float64) {
	sum := time.Duration(0)
	waits := slices.Sorted(slices.Values(times[len(times)/4:]))
	for _, w := range waits {
		sum += w
	}
	mean = sum / time.Duration(len(waits))
	return mean, float64(waits[len(waits)*99/100]) / float64(max(mean, 1))
}

// idleBesideQueues returns the part of the servers' time that they have nothing to do while requests wait elsewhere.
func (f *fleet) idleBesideQueues() float64 {
	idle, n := 0, 0
	for tick := range f.servers[0].past {
		queued, idleNow := false, 0
		for _, s := range f.servers {
			queued = queued || s.past[tick].running > len(s.freeAt)
			if s.past[tick].running == 0 {
				idleNow++
			}
		}
		n += len(f.servers)
		if queued {
			idle += idleNow
		}
	}
	return float64(idle) / float64(max(n, 1))
}

func chooseEngine(p *Prompt, list []Candidate) int { return ChooseEngine(p, list).Index }

func chooseServer(p *Prompt, list []Candidate) int { return ChooseServer(p.Parts[0].ID, list).Index }

// engineSeeds and plainSeeds are the numbers of seeds over which the tests of even load take means.
const engineSeeds, plainSeeds = 1, 20

// meanEvenness returns the mean of the evenness over the fleets of several seeds, and logs the other figures.
func meanEvenness(t *testing.T, instances, servers, slots int, engines, ignoresReports bool) float64 {
	t.Helper()
	sum, seeds := 0.0, plainSeeds
	if engines {
		seeds = engineSeeds
	}
	var all fleet
	for seed := range uint64(seeds) {
		f := newFleet(seed+1, instances, servers, slots, engines)
		f.ignoresReports = ignoresReports
		if engines {
			f.run(8, 700, chooseEngine)
		} else {
			f.run(12, 700, chooseServer)
		}
		sum += f.evenness() / float64(seeds)
		all.waits, all.firsts = append(all.waits, f.waits...), append(all.firsts, f.firsts...)
		all.missed += f.missed
		all.idle += f.idleBesideQueues() / float64(seeds)
	}
	wait, waitTail := meanAndTail(all.waits)
	first, firstTail := meanAndTail(all.firsts)
	t.Logf("reports ignored %v: mean wait %v, 99th percentile %.1f times that; first event %v, %.1f; idle beside queues %.3f; highest over mean busy time %.3f; shared tokens read %d", ignoresReports,
		wait.Round(100*time.Microsecond), waitTail, first.Round(100*time.Microsecond), firstTail, all.idle, sum, all.missed)
	return sum
}

// Engines of three speeds on shared machines, whose loads are known late: the load per second gets at least a third
// closer to even than by the choice of earlier builds, which take all engines for the same.
func TestEvenLoadOfUnequalEngines(t *testing.T) {
	for _, instances := range []int{9, 78, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			before, now := meanEvenness(t, instances, 60, 64, true, true), meanEvenness(t, instances, 60, 64, true, false)
			assert.Assert(t, now-1 <= (before-1)*2/3, "%.3f, before %.3f", now, before)
		})
	}
}

// The same for a plain service with 4 servers of 6 slots.
func TestEvenLoadOfPlainServers(t *testing.T) {
	for _, instances := range []int{9, 78, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			before, now := meanEvenness(t, instances, 4, 6, false, true), meanEvenness(t, instances, 4, 6, false, false)
			assert.Assert(t, now-1 <= (before-1)*2/3, "%.3f, before %.3f", now, before)
		})
	}
}

func logFleets(t *testing.T, before, now *fleet) {
	t.Helper()
	for _, f := range []*fleet{before, now} {
		wait, tail := meanAndTail(f.waits)
		t.Logf("reports ignored %v: mean wait %v, 99th percentile %.1f times that", f.ignoresReports, wait.Round(100*time.Microsecond), tail)
	}
}
