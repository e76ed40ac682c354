package registry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// Of the load reports that can't be read, one line is written for each server, and no more of the text than it needs.
func TestUnreadLoadIsLoggedOnce(t *testing.T) {
	core, lines := observer.New(zap.WarnLevel)
	r := &Registry{Log: zap.New(core)}
	for _, id := range []string{"a", "b"} {
		r.Put(Entry{ID: id, Pool: "p"})
	}
	for range 3 {
		for _, srv := range r.Servers() {
			srv.Begin(0).RecordUnreadLoad(strings.Repeat("7,", 1000))
		}
	}
	assert.Equal(t, lines.FilterMessage("load_unreadable").Len(), 2)
	assert.Equal(t, len(lines.All()[0].ContextMap()["report"].(string)), maxLoggedReport)
}

// A work time that a server reported to one instance is told to others once, and counts there like an own report.
func TestWorkTimesAreTold(t *testing.T) {
	here, there := &Registry{Log: zap.NewNop()}, &Registry{Log: zap.NewNop()}
	for _, r := range []*Registry{here, there} {
		r.Put(Entry{ID: "a", Pool: "p"})
	}
	here.Servers()[0].Begin(0).RecordLoad(Load{Slots: 4, WorkTime: 1.6})
	told := here.LocalLoads(false)
	assert.Equal(t, told[0].W, 160)
	assert.Equal(t, here.LocalLoads(true)[0].W, 0)
	there.UpdateRemoteLoads("here", told)
	state := there.Servers()[0].State(time.Now())
	assert.Equal(t, state.Speed, 1/1.6)
	assert.Equal(t, state.WorkTime, 1.0)
	assert.Assert(t, state.LoadAge >= 0)
}

// The servers are split by their speeds: the slow ones serve delay-tolerant requests, and the groups have their parts of
// the speed of all. Without reports the order is that of the hashed ids, each server with the same room.
func TestPositionsFollowSpeed(t *testing.T) {
	r := &Registry{Log: zap.NewNop()}
	for i := range 6 {
		r.Put(Entry{ID: fmt.Sprint("s", i), Pool: "p"})
	}
	positions := func() []float64 {
		var list []float64
		for _, srv := range r.Servers() {
			list = append(list, srv.State(time.Now()).Position)
		}
		slices.Sort(list)
		return list
	}
	even := positions()
	assert.DeepEqual(t, even, []float64{0.5 / 6, 1.5 / 6, 2.5 / 6, 3.5 / 6, 4.5 / 6, 5.5 / 6})
	r.LocalLoads(true)
	assert.DeepEqual(t, positions(), even)
	for i, srv := range r.Servers() {
		srv.Begin(0).RecordLoad(Load{Slots: 4, WorkTime: []float64{0.6, 1.6}[i%2]})
	}
	r.LocalLoads(true)
	for _, srv := range r.Servers() {
		state := srv.State(time.Now())
		assert.Equal(t, state.Speed > 1, state.Position > 0.3, "speed %.2f at %.2f", state.Speed, state.Position)
	}
}
