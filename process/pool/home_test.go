package pool

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/wire"
)

func testClasses() []wire.Class {
	return []wire.Class{
		{Name: "hazard", Tier: 1, TtftMs: 500, TbtMs: 50},
		{Name: "question", Tier: 2, TtftMs: 2000, TbtMs: 100, Idempotent: true, Resumable: true},
		{Name: "batch", Tier: 3, TtftMs: 20_000, Idempotent: true, Resumable: true},
	}
}

func testServer(name string, slots int) ServerSpec {
	return ServerSpec{Server: wire.Server{Name: name, Slots: slots, Kind: wire.ServerKindRegular}, State: ServerServing}
}

func testHome(servers ...ServerSpec) *Home {
	h := &Home{Pool: "p", Instance: "i1"}
	h.Configure(testClasses(), []wire.Workspace{{Name: "a"}, {Name: "b"}}, servers)
	return h
}

func ask(class, workspace string) wire.GrantAsk {
	return wire.GrantAsk{Pool: "p", Class: class, Workspace: workspace, RequestID: "r"}
}

func TestAskWaitsForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := testHome(testServer("s1", 1))
		first, err := h.Ask(t.Context(), "i1", ask("batch", "a"))
		assert.NilError(t, err)
		assert.Equal(t, first.Server(), "s1")
		go func() {
			time.Sleep(time.Second)
			first.Release(wire.GrantRelease{FirstTokenMs: 50, DurationMs: 1000, Tokens: 100})
		}()
		start := time.Now()
		second, err := h.Ask(t.Context(), "i1", ask("batch", "b"))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), time.Second)
		second.Release(wire.GrantRelease{})
		waiting, running, slots := h.Status()
		assert.DeepEqual(t, []int{waiting, running, slots}, []int{0, 0, 1})
	})
}

func TestAskRefusesAtTheLatestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := testHome(testServer("s1", 4))
		for range 4 {
			_, err := h.Ask(t.Context(), "i1", ask("hazard", "a"))
			assert.NilError(t, err)
		}
		start := time.Now()
		_, err := h.Ask(t.Context(), "i1", ask("hazard", "b"))
		var refused ErrRefused
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Reason, ReasonOverload)
		assert.Assert(t, refused.RetryAfter > 0)
		assert.Assert(t, time.Since(start) <= 501*time.Millisecond)
	})
}

func TestAskReturnsTheSlotWhereTheAskerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := testHome(testServer("s1", 1))
		_, err := h.Ask(t.Context(), "i1", ask("batch", "a"))
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = h.Ask(ctx, "i1", ask("batch", "b"))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		waiting, running, _ := h.Status()
		assert.DeepEqual(t, []int{waiting, running}, []int{0, 1})
	})
}

func TestHigherTierPreemptsResumableWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := testHome(testServer("s1", 1))
		low, err := h.Ask(t.Context(), "i1", ask("batch", "a"))
		assert.NilError(t, err)
		go func() {
			<-low.Preempted()
			low.Release(wire.GrantRelease{Paused: true})
		}()
		high, err := h.Ask(t.Context(), "i1", ask("hazard", "b"))
		assert.NilError(t, err)
		assert.Equal(t, high.Server(), "s1")
	})
}

func TestDropHolderReturnsItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := testHome(testServer("s1", 1))
		_, err := h.Ask(t.Context(), "i2", ask("hazard", "a"))
		assert.NilError(t, err)
		h.DropHolder("i2")
		_, err = h.Ask(t.Context(), "i1", ask("hazard", "a"))
		assert.NilError(t, err)
	})
}

func TestRecoverWaitsForDeclaredGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := testHome(testServer("s1", 1))
		h.Recover([]string{"i2"}, time.Second)
		done := make(chan error)
		go func() {
			_, err := h.Ask(t.Context(), "i1", ask("question", "a"))
			done <- err
		}()
		synctest.Wait()
		h.Reclaim("i2", []wire.GrantHeld{{Grant: 7, Server: "s1", Class: "hazard", Workspace: "b"}})
		synctest.Wait()
		_, running, _ := h.Status()
		assert.Equal(t, running, 1)
		h.Release("i2", wire.GrantRelease{Grant: 7})
		assert.NilError(t, <-done)
	})
}
