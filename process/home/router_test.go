package home

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/wire"
)

// errCut is what a peer that can't be reached answers.
var errCut = errors.New("cut")

// bench is a router of instance "a" in "dc" with scripted peers.
type bench struct {
	Router
	homes    map[string][]string
	replies  map[string]wire.GrantReply
	asked    []string
	released map[string][]int
	claims   map[string][]wire.GrantHeld
	firsts   []wire.GrantFirst
	local    *pool.Home
	share    *pool.Home
}

func newBench() *bench {
	b := &bench{
		homes:    map[string][]string{"dc": {"b", "c", "a"}, "far": {"f"}},
		replies:  map[string]wire.GrantReply{},
		released: map[string][]int{},
		claims:   map[string][]wire.GrantHeld{},
	}
	b.local, b.share = newHome(), newHome()
	b.Router = Router{
		Instance:     "a",
		DataCentre:   "dc",
		Log:          zap.NewNop(),
		Homes:        func(_, dc string) []string { return b.homes[dc] },
		DataCentres:  func() []string { return []string{"dc", "far"} },
		Peer:         b.peer,
		Local:        func(string) *pool.Home { return b.local },
		Share:        func(string) *pool.Home { return b.share },
		Target:       func(string) time.Duration { return time.Second },
		DataCentreOf: func(string) string { return "far" },
		Serves:       func(string, string) bool { return true },
	}
	return b
}

func newHome() *pool.Home {
	h := &pool.Home{Pool: "chat", Instance: "a"}
	h.Configure([]wire.Class{{Name: "question", Tier: 1, TtftMs: 1000, Attainment: 0.9}},
		[]wire.Workspace{{Name: "shop"}},
		[]pool.ServerSpec{{Server: wire.Server{Name: "s1", Slots: 4, Kind: wire.ServerKindRegular}, State: pool.ServerServing}})
	return h
}

// peer answers as scripted; an instance without a reply is cut.
func (b *bench) peer(instance string) (Peer, bool) {
	return Peer{
		Ask: func(context.Context, wire.GrantAsk, func(wire.GrantReply)) (wire.GrantReply, error) {
			b.asked = append(b.asked, instance)
			reply, ok := b.replies[instance]
			if !ok {
				return reply, errCut
			}
			return reply, nil
		},
		Release: func(_ context.Context, r wire.GrantRelease) error {
			b.released[instance] = append(b.released[instance], r.Grant)
			return nil
		},
		First: func(_ context.Context, f wire.GrantFirst) error {
			b.firsts = append(b.firsts, f)
			return nil
		},
		Claim: func(_ context.Context, c wire.GrantsHeld) error {
			b.claims[instance] = append(b.claims[instance], c.Grants...)
			return nil
		},
	}, true
}

func (b *bench) acquire(ask wire.GrantAsk) (*pool.Grant, error) {
	ask.RequestID, ask.Pool, ask.Class, ask.Workspace = "r", "chat", "question", "shop"
	return b.Acquire(context.Background(), ask)
}

func TestLostHomeIsReplacedByTheNext(t *testing.T) {
	b := newBench()
	b.replies["c"] = wire.GrantReply{Grant: 7, Server: "s1"}
	g, err := b.acquire(wire.GrantAsk{})
	assert.NilError(t, err)
	assert.Equal(t, g.Home(), "c")
	g.Release(wire.GrantRelease{})
	assert.DeepEqual(t, b.released["c"], []int{7})
}

func TestMovedHomeIsReplacedByTheNext(t *testing.T) {
	b := newBench()
	b.replies["b"] = wire.GrantReply{Reason: pool.ReasonMoved}
	b.replies["c"] = wire.GrantReply{Grant: 8, Server: "s1"}
	g, err := b.acquire(wire.GrantAsk{})
	assert.NilError(t, err)
	assert.Equal(t, g.Home(), "c")
}

func TestWithoutAnyHomeTheShareServes(t *testing.T) {
	b := newBench()
	b.homes["dc"] = []string{"b", "c"}
	g, err := b.acquire(wire.GrantAsk{})
	assert.NilError(t, err)
	assert.Equal(t, g.Server(), "s1")
	_, running, _ := b.share.Status()
	assert.Equal(t, running, 1)
	g.Release(wire.GrantRelease{})
	_, running, _ = b.share.Status()
	assert.Equal(t, running, 0)
}

func TestOverloadSpillsWhileThereIsTime(t *testing.T) {
	for _, tc := range []struct {
		name   string
		reason string
		waited int
		spills bool
	}{
		{"overload", pool.ReasonOverload, 0, true},
		{"late already", pool.ReasonOverload, 800, false},
		{"rate limit", pool.ReasonRateLimit, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench()
			b.replies["b"] = wire.GrantReply{Reason: tc.reason, RetryAfterMs: 70}
			b.replies["f"] = wire.GrantReply{Grant: 9, Server: "far-1"}
			g, err := b.acquire(wire.GrantAsk{WaitedMs: tc.waited})
			if tc.spills {
				assert.NilError(t, err)
				assert.Equal(t, g.Server(), "far-1")
				return
			}
			assert.DeepEqual(t, err, error(pool.ErrRefused{Reason: tc.reason, RetryAfter: 70 * time.Millisecond}))
		})
	}
}

func TestPausedStreamResumesAtItsOwnDataCentre(t *testing.T) {
	b := newBench()
	b.replies["f"] = wire.GrantReply{Grant: 3, Server: "far-1"}
	g, err := b.acquire(wire.GrantAsk{Resume: "far-1", WaitedMs: 60_000})
	assert.NilError(t, err)
	assert.Equal(t, g.Server(), "far-1")
	assert.DeepEqual(t, b.asked, []string{"f"})
}

func TestGrantsGoOverToANewHome(t *testing.T) {
	b := newBench()
	b.replies["b"] = wire.GrantReply{Grant: 5, Server: "s1"}
	nothing := func(string) {}
	b.Rehome([]string{"chat"}, nothing, nothing)
	g, err := b.acquire(wire.GrantAsk{})
	assert.NilError(t, err)
	b.homes["dc"] = []string{"c", "a"}
	b.Rehome([]string{"chat"}, nothing, nothing)
	assert.Equal(t, g.Home(), "c")
	assert.DeepEqual(t, b.claims["c"], []wire.GrantHeld{{Grant: 5, Server: "s1", Class: "question", Workspace: "shop"}})
	g.Release(wire.GrantRelease{})
	assert.DeepEqual(t, b.released["c"], []int{5})
	assert.Equal(t, len(b.released["b"]), 0)
}

func TestGrantsComeHomeWhereThisInstanceTakesOver(t *testing.T) {
	b := newBench()
	b.replies["b"] = wire.GrantReply{Grant: 6, Server: "s1"}
	var became []string
	b.Rehome([]string{"chat"}, func(string) {}, func(string) {})
	g, err := b.acquire(wire.GrantAsk{})
	assert.NilError(t, err)
	b.homes["dc"] = []string{"a"}
	b.Rehome([]string{"chat"}, func(name string) { became = append(became, name) }, func(string) {})
	assert.DeepEqual(t, became, []string{"chat"})
	_, running, _ := b.local.Status()
	assert.Equal(t, running, 1)
	g.Release(wire.GrantRelease{})
	_, running, _ = b.local.Status()
	assert.Equal(t, running, 0)
}

func TestPreemptReachesTheGrant(t *testing.T) {
	b := newBench()
	b.replies["b"] = wire.GrantReply{Grant: 4, Server: "s1"}
	g, err := b.acquire(wire.GrantAsk{})
	assert.NilError(t, err)
	b.Preempt(wire.GrantPreempt{Pool: "chat", Grant: 4})
	select {
	case <-g.Preempted():
	default:
		t.Fatal("the grant was not preempted")
	}
}

func TestLateFirstTokenReachesTheHome(t *testing.T) {
	b := newBench()
	b.replies["b"] = wire.GrantReply{Grant: 4, Server: "s1"}
	g, err := b.acquire(wire.GrantAsk{})
	assert.NilError(t, err)
	g.FirstToken(900 * time.Millisecond)
	assert.DeepEqual(t, b.firsts, []wire.GrantFirst{{Pool: "chat", Grant: 4, FirstTokenMs: 900}})
}
