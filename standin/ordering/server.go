package ordering

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// adminCallTimeout limits a call to the stand-in that simulates a server.
const adminCallTimeout = 5 * time.Second

// server is the state of one backend server. Lock order: Server.mu is taken before server.mu.
type server struct {
	entry ServerEntry

	mu           sync.Mutex
	currentState wire.ServerStateState
	// evictAt is the time at which an announced eviction stops the server; zero if there is none.
	evictAt time.Time
	// stateChanges counts the state changes, so that a timer that was set in an earlier state has no effect.
	stateChanges int
	// paidTime is the time before stateSince in which the server wasn't stopped.
	paidTime time.Duration
	// stateSince is the time of the last state change.
	stateSince time.Time
}

func newServer(entry ServerEntry) *server {
	srv := &server{entry: entry, currentState: wire.ServerStateStateRunning, stateSince: time.Now()}
	if entry.Stopped {
		srv.currentState = wire.ServerStateStateStopped
		srv.setStandinUp(false)
	}
	return srv
}

func (s *server) isCheap() bool {
	return s.entry.Kind == wire.ServerStateKindCheap
}

func (s *server) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentState == wire.ServerStateStateStopped
}

// start starts a stopped server, which is running after delay.
func (s *server) start(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentState != wire.ServerStateStateStopped {
		return
	}
	s.setState(wire.ServerStateStateStarting)
	s.callAfter(delay, func() {
		s.setState(wire.ServerStateStateRunning)
		s.setStandinUp(true)
	})
}

// stop stops the server at once.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setState(wire.ServerStateStateStopped)
	s.setStandinUp(false)
}

// evict stops the server when the notice period has passed.
func (s *server) evict(notice time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentState == wire.ServerStateStateStopped {
		return
	}
	s.setState(wire.ServerStateStateEvicting)
	s.evictAt = time.Now().Add(notice)
	s.callAfter(notice, func() {
		s.setState(wire.ServerStateStateStopped)
		s.setStandinUp(false)
	})
}

// setState sets the state and adds the time in the previous state to the paid time unless that state was stopped.
func (s *server) setState(state wire.ServerStateState) {
	now := time.Now()
	if s.currentState != wire.ServerStateStateStopped {
		s.paidTime += now.Sub(s.stateSince)
	}
	s.currentState = state
	s.stateSince = now
	s.evictAt = time.Time{}
	s.stateChanges++
}

// callAfter calls f after delay, with mu held, unless the state changes before that.
func (s *server) callAfter(delay time.Duration, f func()) {
	stateChanges := s.stateChanges
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.stateChanges == stateChanges {
			f()
		}
	})
}

// setStandinUp sets or clears the fault down of the stand-in that simulates the server, if there is one.
func (s *server) setStandinUp(isUp bool) {
	if s.entry.Admin == "" {
		return
	}
	body := `{"down":true}`
	if isUp {
		body = `{"down":false}`
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminCallTimeout)
	defer cancel()
	url := "http://" + s.entry.Admin + "/admin/faults"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}

func (s *server) state() wire.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	paidTime := s.paidTime
	if s.currentState != wire.ServerStateStateStopped {
		paidTime += time.Since(s.stateSince)
	}
	state := wire.ServerState{
		Server:     s.entry.Server,
		DataCentre: s.entry.DataCentre,
		Kind:       s.entry.Kind,
		State:      s.currentState,
		PaidMs:     int(paidTime / time.Millisecond),
	}
	if !s.evictAt.IsZero() {
		state.EvictAtMs = int(s.evictAt.UnixMilli())
	}
	return state
}
