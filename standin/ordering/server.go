package ordering

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// switchTimeout bounds a call to a server's own stand-in.
const switchTimeout = 5 * time.Second

// server is one backend server with its timers. Its own lock comes after that of Server.
type server struct {
	entry Entry

	mu      sync.Mutex
	current wire.ServerStateState
	evictAt time.Time
	// changes counts the changes of state, so that a timer of an earlier state does nothing.
	changes int
	paid    time.Duration
	since   time.Time
}

func newServer(entry Entry) *server {
	srv := &server{entry: entry, current: wire.ServerStateStateRunning, since: time.Now()}
	if entry.Stopped {
		srv.current = wire.ServerStateStateStopped
		srv.power(false)
	}
	return srv
}

func (s *server) isCheap() bool {
	return s.entry.Kind == wire.ServerStateKindCheap
}

func (s *server) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current == wire.ServerStateStateStopped
}

// start brings a stopped server to run after delay.
func (s *server) start(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != wire.ServerStateStateStopped {
		return
	}
	s.set(wire.ServerStateStateStarting)
	s.later(delay, func() {
		s.set(wire.ServerStateStateRunning)
		s.power(true)
	})
}

// stop stops the server at once.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(wire.ServerStateStateStopped)
	s.power(false)
}

// evict takes the server away after notice.
func (s *server) evict(notice time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == wire.ServerStateStateStopped {
		return
	}
	s.set(wire.ServerStateStateEvicting)
	s.evictAt = time.Now().Add(notice)
	s.later(notice, func() {
		s.set(wire.ServerStateStateStopped)
		s.power(false)
	})
}

// set changes the state and adds up the paid time.
func (s *server) set(state wire.ServerStateState) {
	now := time.Now()
	if s.current != wire.ServerStateStateStopped {
		s.paid += now.Sub(s.since)
	}
	s.current = state
	s.since = now
	s.evictAt = time.Time{}
	s.changes++
}

// later calls f after delay unless the state changes before.
func (s *server) later(delay time.Duration, f func()) {
	changes := s.changes
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.changes == changes {
			f()
		}
	})
}

// power tells the server's stand-in to go down or to come back.
func (s *server) power(on bool) {
	if s.entry.Admin == "" {
		return
	}
	body := `{"down":true}`
	if on {
		body = `{"down":false}`
	}
	ctx, cancel := context.WithTimeout(context.Background(), switchTimeout)
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
	paid := s.paid
	if s.current != wire.ServerStateStateStopped {
		paid += time.Since(s.since)
	}
	state := wire.ServerState{
		Server:     s.entry.Server,
		DataCentre: s.entry.DataCentre,
		Kind:       s.entry.Kind,
		State:      s.current,
		PaidMs:     int(paid / time.Millisecond),
	}
	if !s.evictAt.IsZero() {
		state.EvictAtMs = int(s.evictAt.UnixMilli())
	}
	return state
}
