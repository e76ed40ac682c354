package pool_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/process/pool/tracecheck"
	"github.com/toucanroute/toucanroute/wire"
)

// step is one drawn step of a script against a home.
type step struct {
	kind, a, b int
	pause      time.Duration
}

const (
	stepAsk = iota
	stepAskMore
	stepServer
	stepDropHolder
	stepReclaim
	stepReport
	stepKinds
)

func drawScript(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.IntRange(0, stepKinds+8).Draw(t, "kind"),
			a:     rapid.IntRange(0, 1<<16).Draw(t, "a"),
			b:     rapid.IntRange(0, 1<<16).Draw(t, "b"),
			pause: time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond,
		}
	}), 1, 250).Draw(t, "script")
}

// world plays a script: holders that ask, hold, pause and release, and servers that come and go.
type world struct {
	home    *pool.Home
	checker *tracecheck.Checker
	rnd     *rand.Rand
	servers []pool.ServerSpec
	wg      sync.WaitGroup
	mu      sync.Mutex
	asked   int
	ended   int
	// slow is a server whose first tokens come late; empty is none.
	slow     string
	declared int
}

func newWorld(seed uint64) *world {
	w := &world{checker: tracecheck.New(), rnd: rand.New(rand.NewPCG(seed, 1))}
	if seed%2 == 0 {
		w.slow = "s1"
	}
	w.home = &pool.Home{Pool: "p", Instance: "i0", Trace: w.checker.Add}
	for i := range 3 {
		kind := wire.ServerKindRegular
		if i == 2 {
			kind = wire.ServerKindCheap
		}
		w.servers = append(w.servers, pool.ServerSpec{
			Server: wire.Server{Name: fmt.Sprintf("s%d", i), Slots: 1 + i, Kind: kind},
			State:  pool.ServerServing,
		})
	}
	w.configure()
	return w
}

func classes() []wire.Class {
	return []wire.Class{
		{Name: "hazard", Tier: 1, TtftMs: 500, TbtMs: 50},
		{Name: "booking", Tier: 1, TtftMs: 1500},
		{Name: "question", Tier: 2, TtftMs: 1000, TbtMs: 60, Idempotent: true, Resumable: true},
		{Name: "batch", Tier: 3, TtftMs: 3000, Idempotent: true, Resumable: true},
		{Name: "any", Tier: 4, Idempotent: true},
	}
}

func (w *world) configure() {
	workspaces := []wire.Workspace{{Name: "a", Weight: 3}, {Name: "b"}, {Name: "c"}}
	w.home.Configure(classes(), workspaces, w.servers)
}

func (w *world) play(s step) {
	switch s.kind {
	case stepServer:
		states := []pool.ServerState{pool.ServerServing, pool.ServerServing, pool.ServerDraining, pool.ServerStopped, pool.ServerSuspect}
		w.servers[s.a%len(w.servers)].State = states[s.b%len(states)]
		w.configure()
	case stepDropHolder:
		w.home.DropHolder(fmt.Sprintf("i%d", s.a%3))
	case stepReclaim:
		w.home.Recover([]string{"i9"}, 300*time.Millisecond)
		if s.b%2 == 0 {
			w.declare(s)
		}
	case stepReport:
		w.home.Report(wire.LoadReport{Server: "s0", Running: s.a % 5, Waiting: s.b % 3})
	default:
		for range 1 + s.b%4 {
			w.ask(s)
		}
	}
	time.Sleep(s.pause)
}

// declare plays an instance that holds a grant of an earlier home and releases it later.
func (w *world) declare(s step) {
	w.declared++
	grant := wire.GrantHeld{Grant: w.declared, Server: fmt.Sprintf("s%d", s.a%4), Class: "batch", Workspace: "a"}
	w.wg.Go(func() {
		time.Sleep(time.Duration(s.a%250) * time.Millisecond)
		w.home.Reclaim("i9", []wire.GrantHeld{grant})
		time.Sleep(200 * time.Millisecond)
		w.home.Release("i9", wire.GrantRelease{Pool: "p", Grant: grant.Grant})
	})
}

func (w *world) ask(s step) {
	w.asked++
	names := classes()
	ask := wire.GrantAsk{
		Pool:      "p",
		Class:     names[s.a%len(names)].Name,
		Workspace: string(rune('a' + s.b%3)),
		Prefix:    fmt.Sprint(s.a % 7),
	}
	if s.a%11 == 0 {
		ask.Exclude = []string{"s0"}
	}
	hold := time.Duration(1+w.rnd.ExpFloat64()*800) * time.Millisecond
	patience := 5 * time.Second
	if s.a%13 == 0 {
		patience = 100 * time.Millisecond
	}
	holder := fmt.Sprintf("i%d", s.b%3)
	w.wg.Go(func() { w.request(holder, ask, hold, patience) })
}

// request asks, holds the slot, and resumes where the stream was paused.
func (w *world) request(holder string, ask wire.GrantAsk, hold, patience time.Duration) {
	defer func() {
		w.mu.Lock()
		w.ended++
		w.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for {
		grant, err := w.home.Ask(ctx, holder, ask)
		if err != nil {
			return
		}
		start := time.Now()
		paused := false
		select {
		case <-time.After(hold):
		case <-grant.Preempted():
			paused = true
		}
		took := time.Since(start)
		first := min(took, 40*time.Millisecond)
		if grant.Server() == w.slow {
			first = took
		}
		grant.Release(wire.GrantRelease{
			Pool: "p", FirstTokenMs: int(first.Milliseconds()), DurationMs: int(took.Milliseconds()),
			Tokens: int(took.Milliseconds() / 20), Paused: paused,
		})
		if !paused {
			return
		}
		hold -= took
		ask.Resume = grant.Server()
	}
}

func (w *world) verdict() error {
	if v := w.checker.Violations(); len(v) > 0 {
		return fmt.Errorf("%d violations, first: %s", len(v), v[0])
	}
	if w.asked != w.ended {
		return fmt.Errorf("%d asks, %d ends", w.asked, w.ended)
	}
	waiting, granted := w.checker.Open()
	homeWaiting, running, _ := w.home.Status()
	if waiting+granted+homeWaiting+running != 0 {
		return fmt.Errorf("left over: %d waiting, %d granted, %d and %d at the home", waiting, granted, homeWaiting, running)
	}
	return nil
}

// TestDefinitionsHoldUnderAnyOrder plays drawn arrivals, lost servers and lost holders, and checks
// the trace against the definitions of docs/POLICY.md.
func TestDefinitionsHoldUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		var err error
		synctest.Test(t, func(*testing.T) {
			w := newWorld(seed)
			for _, s := range script {
				w.play(s)
			}
			w.wg.Wait()
			err = w.verdict()
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}
