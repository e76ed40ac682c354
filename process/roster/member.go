package roster

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// loadAge is how long a reported load is believed: about the time in which a slot's request ends.
	loadAge = time.Second
	// suspectMin and suspectMax bound the time until a server that couldn't be reached is tried again. The first is a
	// tenth of the time in which an entry without heartbeats goes.
	suspectMin = 400 * time.Millisecond
	suspectMax = 1600 * time.Millisecond
	// weightOfOutcome is the weight of the newest outcome in the share of failures.
	weightOfOutcome = 0.15
	// weightOfPace is the weight of the newest observation in the pace.
	weightOfPace = 0.1
	// failingAge is the time in which a share of failures that isn't renewed loses half of its weight, so that a server
	// that was avoided is tried again.
	failingAge = 3 * time.Second
)

// Member is one backend server.
type Member struct {
	mu    sync.Mutex
	entry Entry
	// position is the server's place among the serving ones of its pool and data centre, 0 to 1, in a fixed order.
	position float64
	// gone is set when the entry is away.
	gone bool
	// drainingSince is when the server was first seen to drain; zero is not draining.
	drainingSince time.Time
	// lapsed is when the entry was missed after an outage of the store; zero is not missed.
	lapsed time.Time

	// running and unread count this instance's requests at the server and the prompt tokens still to be read for them.
	running int
	unread  int
	// reported is the load that the server told last, less this instance's own requests then.
	reported int
	// slots is the number of slots that the server told last.
	slots      int
	reportedAt time.Time

	// remote holds the loads that other instances told of.
	remote map[string]remoteLoad
	// changed tells that running or unread changed since the load was told to other instances.
	changed bool
	// heardAt is when the server last sent anything.
	heardAt time.Time

	// failing is the mean of the last outcomes, 1 for a failure, as of failedAt.
	failing  float64
	failedAt time.Time
	// pace is the mean time of the server's steps in milliseconds; 0 is unknown.
	pace float64

	// replaced is set when another server answered at the address. Connecting proves nothing then: the server gets no requests
	// until its entry changes.
	replaced bool
	// suspect is true while the server is believed to be unreachable; it then gets no requests. suspectFor is the time
	// until it is tried again.
	suspect    bool
	suspectFor time.Duration
	log        *zap.Logger
	// reach connects to an address; nil tries nothing.
	reach func(address string) error
	// cut ends when the server is believed to be unreachable; requests that may move then leave it.
	cut chan struct{}
}

func newMember(e Entry, log *zap.Logger, reach func(string) error) *Member {
	return &Member{entry: e, log: log, reach: reach, cut: make(chan struct{})}
}

// remoteLoad is the load that another instance has put on the server.
type remoteLoad struct {
	running, unread int
	at              time.Time
}

// remoteAge is how long a told load is believed: twice the interval at which all loads are told.
const remoteAge = 2 * time.Second

// Entry returns what the server says of itself.
func (m *Member) Entry() Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entry
}

// Cut is closed when the server can't be reached any more.
func (m *Member) Cut() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

// Outcome tells how a visit ended.
type Outcome int

const (
	// Answered is a whole answer.
	Answered Outcome = iota
	// Failed is a failure of the server's own, or an answer that was spoiled.
	Failed
	// Refused is that the server didn't run the request.
	Refused
	// Unreached is that the server couldn't be reached or fell silent.
	Unreached
	// Left is that the caller left, which says nothing of the server.
	Left
	// Replaced is that another server answered at the address.
	Replaced
)

// Visit is one request at a server.
type Visit struct {
	m      *Member
	began  time.Time
	unread int
	ended  bool
}

// Begin counts a request with that many prompt tokens to be read.
func (m *Member) Begin(unread int) *Visit {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running++
	m.unread += unread
	m.changed = true
	return &Visit{m: m, began: time.Now(), unread: unread}
}

// Member returns the server.
func (v *Visit) Member() *Member { return v.m }

// Read tells that the prompt was read.
func (v *Visit) Read() {
	v.m.mu.Lock()
	defer v.m.mu.Unlock()
	v.m.unread -= v.unread
	v.unread = 0
	v.m.changed = true
	v.m.heardAt = time.Now()
}

// Mute tells whether the server has sent nothing at all since the visit began. Others then avoid it for a while: a server that
// takes connections and never answers looks idle.
func (v *Visit) Mute() bool {
	v.m.mu.Lock()
	defer v.m.mu.Unlock()
	if v.ended || !v.m.heardAt.Before(v.began) {
		return false
	}
	v.m.log.Info("server_mute", append(fields(v.m.entry), zap.Duration("waited", time.Since(v.began)), zap.Int("running", v.m.running))...)
	v.m.failing, v.m.failedAt = 1, time.Now()
	return true
}

// Told notes the load that the server told in the answer to the visit.
func (v *Visit) Told(l Load) {
	v.m.mu.Lock()
	defer v.m.mu.Unlock()
	v.m.reported = max(l.Running+l.Waiting-v.m.running, 0)
	v.m.slots = l.Slots
	v.m.reportedAt = time.Now()
	v.m.heardAt = v.m.reportedAt
}

// Paced notes the time of a step of the server's work.
func (v *Visit) Paced(d time.Duration) {
	v.m.mu.Lock()
	defer v.m.mu.Unlock()
	v.m.heardAt = time.Now()
	ms := float64(d) / float64(time.Millisecond)
	if v.m.pace == 0 {
		v.m.pace = ms
		return
	}
	v.m.pace += weightOfPace * (ms - v.m.pace)
}

// End counts the visit out; only the first call does something.
func (v *Visit) End(o Outcome) {
	v.m.mu.Lock()
	defer v.m.mu.Unlock()
	if v.ended {
		return
	}
	v.ended = true
	v.m.running--
	v.m.unread -= v.unread
	v.m.changed = true
	now := time.Now()
	switch o {
	case Answered, Refused:
		v.m.heardAt = now
		v.m.trust()
		v.m.outcome(0, now)
	case Failed:
		v.m.outcome(1, now)
	case Unreached:
		v.m.outcome(1, now)
		v.m.doubt()
	case Replaced:
		if !v.m.replaced {
			v.m.replaced = true
			v.m.log.Info("server_replaced", append(fields(v.m.entry), zap.Int("running", v.m.running))...)
		}
	case Left:
	}
}

func (m *Member) outcome(failed float64, now time.Time) {
	m.failing = m.failingAt(now)
	m.failing += weightOfOutcome * (failed - m.failing)
	m.failedAt = now
}

// failingAt returns the share of failures, faded since the last outcome.
func (m *Member) failingAt(now time.Time) float64 {
	if m.failedAt.IsZero() {
		return 0
	}
	age := now.Sub(m.failedAt)
	return m.failing / (1 + float64(age)/float64(failingAge))
}

// doubt keeps requests away until the server was reached again, and ends those that wait there and may move. The lock is
// held.
func (m *Member) doubt() {
	if m.suspect {
		return
	}
	m.suspect = true
	m.suspectFor = suspectMin
	m.log.Info("server_suspected", append(fields(m.entry), zap.Int("running", m.running), zap.Time("heard", m.heardAt))...)
	close(m.cut)
	m.cut = make(chan struct{})
	if m.reach != nil {
		time.AfterFunc(m.suspectFor, m.try)
	}
}

// trust ends a suspicion; the lock is held.
func (m *Member) trust() {
	if m.suspect {
		m.log.Info("server_trusted", fields(m.entry)...)
	}
	m.suspect, m.suspectFor = false, 0
}

// try connects to a suspected server, so that no request is lost on one that is still gone.
func (m *Member) try() {
	m.mu.Lock()
	address, due := m.entry.Address, m.suspect && !m.gone
	m.mu.Unlock()
	if !due {
		return
	}
	err := m.reach(address)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.suspect || m.gone {
		return
	}
	if err == nil {
		m.trust()
		return
	}
	m.suspectFor = min(2*m.suspectFor, suspectMax)
	time.AfterFunc(m.suspectFor, m.try)
}

// State is what is known of a server at one moment.
type State struct {
	// Running is the number of requests that the server runs or holds in line, as far as known.
	Running int
	// Own is the number of this instance's requests among them.
	Own    int
	Slots  int
	Unread int
	// Position is the server's place among the serving ones of its pool and data centre, 0 to 1.
	Position float64
	Failing  float64
	// Pace is the mean time of a step in milliseconds; 0 is unknown.
	Pace float64
	// Suspect tells that the server is believed to be unreachable.
	Suspect bool
}

// State returns what is known of the server now.
func (m *Member) State(now time.Time) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := State{Own: m.running, Running: m.running, Slots: m.entry.Slots, Unread: m.unread, Position: m.position, Failing: m.failingAt(now), Pace: m.pace, Suspect: m.suspect}
	others := 0
	for _, l := range m.remote {
		if now.Sub(l.at) < remoteAge {
			others += l.running
			s.Unread += l.unread
		}
	}
	if now.Sub(m.reportedAt) < loadAge {
		others = max(others, m.reported)
	}
	s.Running += others
	if m.slots > 0 {
		s.Slots = m.slots
	}
	return s
}
