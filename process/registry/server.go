package registry

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/request/placement"
)

const (
	// reportedLoadMaxAge is the time for which a reported load is used: about the time in which a request in a slot ends.
	reportedLoadMaxAge = time.Second
	// minProbeDelay and maxProbeDelay limit the delay before the connection to an unreachable server is retried. The
	// minimum is a tenth of the time after which the store removes an entry without heartbeats.
	minProbeDelay = 400 * time.Millisecond
	maxProbeDelay = 1600 * time.Millisecond
	// outcomeWeight is the weight of the newest outcome in the moving average of failures.
	outcomeWeight = 0.15
	// failureHalfLife is the time after which the failure rate has decayed to half if there are no new outcomes, so that
	// an avoided server is tried again.
	failureHalfLife = 3 * time.Second
)

// Server holds the state of one backend server.
type Server struct {
	mu    sync.Mutex
	entry Entry
	// position is the relative position, from 0 to 1, of the server among the serving servers of its pool and data centre;
	// see setPositions.
	position float64
	// removed is set when the entry was removed.
	removed bool
	// drainingSince is the time when the server was first observed draining; zero if it isn't draining.
	drainingSince time.Time
	// keptUntil is the time until which the server is kept although its entry is missing after an outage of the store; zero if
	// it isn't missing.
	keptUntil time.Time
	// leaving is set once a response of the server announced its shutdown.
	leaving bool
	// closedUntil is the end of the time for which the server wants no new requests.
	closedUntil time.Time
	// unconfirmedUntil is set for a removed server that an older copy of the store lists again: the time until which it
	// gets no requests unless it writes its entry again.
	unconfirmedUntil time.Time

	// limit is the limit of requests that the server named last. rank and onLimitChange are the fields of Registry.
	limit         limit
	rank          func() (position, count int)
	onLimitChange func()

	// cold is what is known of the server's coldness; coldLimit is the field Cold of Registry.
	cold      coldness
	coldLimit func(pool string) ColdLimit
	// knowsOthers is the field KnowsOthers of Registry.
	knowsOthers func() bool

	// brittle is what is known of the server's brittleness.
	brittle brittleness
	// onUnreachable is called without mu when a request finds the server unreachable.
	onUnreachable func(*Server)

	// running is the number of this instance's requests at the server, and pendingPrefill the number of their prompt
	// tokens that the server hasn't processed yet.
	running        int
	pendingPrefill int
	// reportedOthers is the number of running and queued requests that the server reported last, less this instance's own.
	reportedOthers int
	// reportedSlots is the number of slots that the server reported last; 0 if it reported none.
	reportedSlots int
	// reportedAt is the time of the last report.
	reportedAt time.Time
	// unreadLoadLogged is set once a load report that can't be read was logged.
	unreadLoadLogged bool

	// remoteLoads holds the loads of other instances on this server, by instance.
	remoteLoads map[string]remoteLoad
	// loadChanged is set if running or pendingPrefill changed since LocalLoads last returned them.
	loadChanged bool
	// lastReceived is the time when the server last sent anything.
	lastReceived time.Time

	// heardHere and heardElsewhere are the times when the server last sent something to this instance and to another one.
	heardHere, heardElsewhere time.Time
	// onUnanswered is called without mu when a request, which began at the time, has got nothing from the server.
	onUnanswered func(id string, beganAt time.Time)

	// failureRate is the moving average of the outcomes, with 1 for a failure, at the time lastOutcomeAt.
	failureRate   float64
	lastOutcomeAt time.Time
	// speed is what is known of the server's speed, and untoldWorkTime the work time that it reported to this instance since
	// LocalLoads last returned it; 0 if none.
	speed placement.Speed
	// level is the level of speed by which position was set.
	level          float64
	untoldWorkTime float64

	// addressTaken is set when another server answered at this server's address. A successful connection then doesn't show
	// that this server is reachable, so it gets no requests until its entry changes.
	addressTaken bool
	// suspect is set while the server counts as unreachable and gets no requests. probeDelay is the delay before the
	// connection is retried.
	suspect    bool
	probeDelay time.Duration
	// longestPause is the longest time without a sign of life from the server, here or elsewhere, that ended since it last
	// became suspect.
	longestPause time.Duration
	// moved is set once the requests at the suspect server were moved.
	moved bool
	// unanswered is set while the server is suspect because of this instance's path: only an answer shows that it is reachable.
	unanswered bool
	// checking is set while a test connection to a server that counts as reachable is opened; see check.
	checking bool
	log      *zap.Logger
	// probe opens a test connection to an address; nil disables these tests.
	probe func(address string) error
	// unreachable is closed when the server becomes suspect. Requests that may be repeated are then moved to another
	// server.
	unreachable chan struct{}
}

func newServer(e Entry, log *zap.Logger, probe func(string) error) *Server {
	return &Server{entry: e, log: log, probe: probe, unreachable: make(chan struct{})}
}

// remoteLoad is the load of another instance on the server.
type remoteLoad struct {
	running, pendingPrefill int
	receivedAt              time.Time
}

// remoteLoadMaxAge is the time for which the load of another instance is used: twice the interval at which instances
// send all their loads.
const remoteLoadMaxAge = 2 * time.Second

// Entry returns the server's entry.
func (srv *Server) Entry() Entry {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.entry
}

// IsSuspect reports whether the server counts as unreachable.
func (srv *Server) IsSuspect() bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.suspect
}

// Unreachable returns a channel that is closed when the server becomes unreachable.
func (srv *Server) Unreachable() <-chan struct{} {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.unreachable
}

// Outcome is the result of a request at a server.
type Outcome int

const (
	// OutcomeAnswered means that the server sent a complete response.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means that the server failed the request or sent an invalid or incomplete response.
	OutcomeFailed
	// OutcomeRefused means that the server didn't run the request.
	OutcomeRefused
	// OutcomeUnreachable means that the server couldn't be reached or stopped responding.
	OutcomeUnreachable
	// OutcomeCallerGone means that the caller disconnected, which doesn't affect the state of the server.
	OutcomeCallerGone
	// OutcomeReplaced means that another server answered at the address.
	OutcomeReplaced
	// OutcomeTimedOut means that the server opened no connection, or acknowledged nothing on one, in time. The cause may also
	// be this instance's own link or that one connection.
	OutcomeTimedOut
)

// Attempt tracks one request at a server.
type Attempt struct {
	srv       *Server
	startedAt time.Time
	// pendingPrefill is the number of prompt tokens that the server hasn't processed yet.
	pendingPrefill int
	ended          bool
}

// TryBegin begins a request like Begin, unless this instance has used up its share of the server's limit, or of what the
// cold server stands.
func (srv *Server) TryBegin(pendingPrefill int) (*Attempt, bool) {
	srv.mu.Lock()
	ok := srv.take(time.Now())
	srv.mu.Unlock()
	if !ok {
		return nil, false
	}
	return srv.Begin(pendingPrefill), true
}

// Begin counts a new request with the given number of unprocessed prompt tokens. The caller must call End.
func (srv *Server) Begin(pendingPrefill int) *Attempt {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.running++
	srv.pendingPrefill += pendingPrefill
	srv.loadChanged = true
	return &Attempt{srv: srv, startedAt: time.Now(), pendingPrefill: pendingPrefill}
}

// Server returns the server that processes the request.
func (a *Attempt) Server() *Server { return a.srv }

// MarkPrefilled records that the server has processed (prefilled) the prompt.
func (a *Attempt) MarkPrefilled() {
	a.srv.mu.Lock()
	defer a.srv.mu.Unlock()
	a.srv.pendingPrefill -= a.pendingPrefill
	a.pendingPrefill = 0
	a.srv.loadChanged = true
	a.srv.markHeard(time.Now())
}

// CheckUnresponsive reports whether the server has sent nothing at all, to any request, since this request began. If
// so, it sets the failure rate to 1, so that other requests avoid the server for a while. Without that, a server that
// accepts connections and never responds would look idle.
func (a *Attempt) CheckUnresponsive() bool {
	a.srv.mu.Lock()
	defer a.srv.mu.Unlock()
	if !a.ended {
		a.noteUnanswered()
	}
	if a.ended || !a.srv.lastReceived.Before(a.startedAt) {
		return false
	}
	a.srv.log.Info("server_mute", append(logFields(a.srv.entry), zap.Duration("waited", time.Since(a.startedAt)), zap.Int("running", a.srv.running))...)
	a.srv.failureRate, a.srv.lastOutcomeAt = 1, time.Now()
	// It may also be out of reach.
	go a.srv.check()
	return true
}

// RecordLoad records the load that the server reported in its response.
func (a *Attempt) RecordLoad(l Load) {
	a.srv.mu.Lock()
	defer a.srv.mu.Unlock()
	a.srv.reportedOthers = max(l.Running+l.Waiting-a.srv.running, 0)
	a.srv.reportedSlots = l.Slots
	a.srv.brittle.waiting = l.Waiting
	a.srv.reportedAt = time.Now()
	a.srv.markHeard(a.srv.reportedAt)
	a.srv.speed.ObserveWorkTime(l.WorkTime, a.srv.reportedAt)
	a.srv.untoldWorkTime = l.WorkTime
}

// maxLoggedReport is the number of bytes of an unreadable load report that are logged.
const maxLoggedReport = 64

// RecordUnreadLoad logs a load report that can't be read, or only in part: the first of each server.
func (a *Attempt) RecordUnreadLoad(text string) {
	a.srv.mu.Lock()
	defer a.srv.mu.Unlock()
	if a.srv.unreadLoadLogged {
		return
	}
	a.srv.unreadLoadLogged = true
	a.srv.log.Warn("load_unreadable", append(logFields(a.srv.entry), zap.String("report", text[:min(len(text), maxLoggedReport)]))...)
}

// RecordStepTime records the duration of one step of the server: the time between two events of a stream.
func (a *Attempt) RecordStepTime(d time.Duration) {
	a.srv.mu.Lock()
	defer a.srv.mu.Unlock()
	a.srv.markHeard(time.Now())
	a.srv.speed.ObserveStep(d)
}

// End records the outcome of the request and removes it from the load. Calls after the first have no effect.
func (a *Attempt) End(o Outcome) {
	a.srv.mu.Lock()
	defer a.srv.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.srv.running--
	a.srv.pendingPrefill -= a.pendingPrefill
	a.srv.loadChanged = true
	now := time.Now()
	switch o {
	case OutcomeAnswered, OutcomeRefused:
		a.srv.markHeard(now)
		a.srv.clearSuspect()
		a.srv.addOutcome(0, now)
	case OutcomeFailed:
		a.srv.addOutcome(1, now)
		a.noteUnanswered()
	case OutcomeUnreachable:
		a.srv.addOutcome(1, now)
		a.srv.foundUnreachable()
	case OutcomeTimedOut:
		a.srv.addOutcome(1, now)
		if now.Sub(a.srv.heardHere) >= heardTime {
			a.srv.foundUnreachable()
		}
	case OutcomeReplaced:
		if !a.srv.addressTaken {
			a.srv.addressTaken = true
			a.srv.log.Info("server_replaced", append(logFields(a.srv.entry), zap.Int("running", a.srv.running))...)
		}
	case OutcomeCallerGone:
	}
}

// foundUnreachable marks the server as unreachable because of a request. The caller holds mu.
func (srv *Server) foundUnreachable() {
	if !srv.suspect && srv.onUnreachable != nil {
		go srv.onUnreachable(srv)
	}
	srv.markSuspect()
}

// addOutcome updates the failure rate; failed is 1 for a failure, otherwise 0. The caller holds mu.
func (srv *Server) addOutcome(failed float64, now time.Time) {
	srv.failureRate = srv.failureRateAt(now)
	srv.failureRate += outcomeWeight * (failed - srv.failureRate)
	srv.lastOutcomeAt = now
}

// failureRateAt returns the failure rate, which decays with the time since the last outcome. The caller holds mu.
func (srv *Server) failureRateAt(now time.Time) float64 {
	if srv.lastOutcomeAt.IsZero() {
		return 0
	}
	age := now.Sub(srv.lastOutcomeAt)
	return srv.failureRate / (1 + float64(age)/float64(failureHalfLife))
}

// markSuspect marks the server as unreachable: it gets no requests until a connection succeeds, and its current
// requests are moved to other servers if they may be repeated. The caller holds mu.
func (srv *Server) markSuspect() {
	srv.suspend()
	if !srv.moved {
		srv.moved = true
		close(srv.unreachable)
		srv.unreachable = make(chan struct{})
	}
}

// suspend keeps new requests away from the server until a connection succeeds. Its current requests go on: it may only be
// silent for a while. The caller holds mu.
func (srv *Server) suspend() {
	if srv.suspect {
		return
	}
	srv.suspect, srv.longestPause = true, 0
	srv.probeDelay = minProbeDelay
	srv.log.Info("server_suspected", append(logFields(srv.entry), zap.Int("running", srv.running), zap.Time("heard", srv.lastReceived))...)
	if srv.probe != nil {
		time.AfterFunc(srv.probeDelay, srv.retryProbe)
	}
}

// clearSuspect marks the server as reachable. The caller holds mu.
func (srv *Server) clearSuspect() {
	if srv.suspect {
		srv.log.Info("server_trusted", logFields(srv.entry)...)
		if srv.mayHaveRestarted(time.Now()) {
			srv.presumeCold("back")
		}
	}
	srv.suspect, srv.moved, srv.unanswered, srv.probeDelay = false, false, false, 0
}

// retryProbe opens a test connection to a suspect server, so that no request is lost on a server that is still
// unreachable.
func (srv *Server) retryProbe() {
	srv.mu.Lock()
	address, due := srv.entry.Address, srv.suspect && !srv.unanswered && !srv.removed
	srv.mu.Unlock()
	if !due {
		return
	}
	err := srv.probe(address)
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if !srv.suspect || srv.unanswered || srv.removed {
		return
	}
	if err == nil {
		srv.clearSuspect()
		return
	}
	srv.probeDelay = min(2*srv.probeDelay, maxProbeDelay)
	time.AfterFunc(srv.probeDelay, srv.retryProbe)
}

// State is a snapshot of a server's load and health.
type State struct {
	// Running is the estimated number of running and queued requests at the server.
	Running int
	// OwnRunning is the number of this instance's requests at the server.
	OwnRunning int
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// PendingPrefill is the number of prompt tokens of all instances' requests that the server hasn't processed yet.
	PendingPrefill int
	// Position is the relative position, from 0 to 1, of the server among the serving servers of its pool and data centre;
	// see setPositions.
	Position float64
	// FailureRate is the decaying average of failed requests, from 0 to 1.
	FailureRate float64
	// StepMs is the step time in milliseconds; 0 if unknown. See placement.Speed.
	StepMs float64
	// Speed is the lasting speed relative to the usual server, and WorkTime how long work takes at this moment, relative to
	// the lasting time; both are 0 if the server doesn't report work times.
	Speed, WorkTime float64
	// LoadAge is the time since the server reported its load to this instance, or its work time to another one that told
	// so; negative if neither happened.
	LoadAge time.Duration
	// Suspect is set if the server counts as unreachable.
	Suspect bool
	// Brittle is the number of requests a second that the server can turn away before it falls over; 0 if it isn't brittle.
	Brittle float64
	// Limit is the number of requests a second that the server takes from all instances together; 0 if it names none.
	Limit float64
}

// State returns the server's load and health at the given time.
func (srv *Server) State(now time.Time) State {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	s := State{
		OwnRunning: srv.running, Running: srv.running, Slots: srv.slots(), PendingPrefill: srv.pendingPrefill,
		Position: srv.position, FailureRate: srv.failureRateAt(now), StepMs: srv.speed.StepMs(), Speed: srv.speed.Lasting(),
		WorkTime: srv.speed.WorkTime(now), LoadAge: -1, Suspect: srv.suspect, Limit: srv.limit.rate,
	}
	if srv.brittle.isStated(now) {
		s.Brittle = srv.brittle.rejections
	}
	if at := srv.speed.ReportedAt(); at.After(srv.reportedAt) {
		s.LoadAge = max(now.Sub(at), 0)
	} else if !srv.reportedAt.IsZero() {
		s.LoadAge = max(now.Sub(srv.reportedAt), 0)
	}
	runningOthers := 0
	for _, l := range srv.remoteLoads {
		if now.Sub(l.receivedAt) < remoteLoadMaxAge {
			runningOthers += l.running
			s.PendingPrefill += l.pendingPrefill
		}
	}
	if now.Sub(srv.reportedAt) < reportedLoadMaxAge {
		runningOthers = max(runningOthers, srv.reportedOthers)
	}
	s.Running += runningOthers
	return s
}

// slots returns the number of requests that the server runs concurrently. The caller holds mu.
func (srv *Server) slots() int {
	if srv.reportedSlots > 0 {
		return srv.reportedSlots
	}
	return srv.entry.Slots
}
