package pool

import (
	"slices"
	"time"

	"github.com/toucanroute/toucanroute/request/pick"
	"github.com/toucanroute/toucanroute/wire"
)

// ServerState is the state of a backend server; it determines whether the server gets new requests.
type ServerState string

const (
	// ServerServing means that the server gets new requests.
	ServerServing ServerState = "serving"
	// ServerDraining means that the server finishes its streams and gets no new requests. Its paused streams may resume.
	ServerDraining ServerState = "draining"
	// ServerStopped means that the server has stopped or is about to stop.
	ServerStopped ServerState = "stopped"
	// ServerSuspect means that the server doesn't respond. It gets no new requests until it does.
	ServerSuspect ServerState = "suspect"
)

// ServerSpec is a backend server of the pool with its state.
type ServerSpec struct {
	wire.Server
	State ServerState
}

// server is the state of a backend server. It is kept as long as the server is configured or has grants.
type server struct {
	pick.Server
	state ServerState
	// configured is set if the server is in the configuration.
	configured bool
	// releaseRate is the expected number of the server's slots that become free per second.
	releaseRate float64
}

// serving reports whether the server is configured and gets new requests.
func (s *server) serving() bool { return s.configured && s.state == ServerServing }

// draining reports whether the server is configured and only finishes its streams.
func (s *server) draining() bool { return s.configured && s.state == ServerDraining }

// Configure sets the classes, the workspaces and the pool's backend servers in this data centre. It is called for each
// new configuration and each change of a server's state. Servers that aren't listed get no new requests.
func (sched *Scheduler) Configure(classes []wire.Class, workspaces []wire.Workspace, servers []ServerSpec) {
	sched.lock()
	defer sched.unlock()
	sched.setClasses(classes)
	sched.queue.Configure(classes, workspaces)
	sched.rateLimits.Configure(workspaces)
	for _, s := range sched.servers {
		s.configured = false
	}
	for _, spec := range servers {
		sched.setServer(spec)
	}
	for _, s := range slices.Clone(sched.servers) {
		sched.removeUnused(s)
	}
	sched.schedule(time.Now())
}

func (sched *Scheduler) setClasses(classes []wire.Class) {
	for _, c := range classes {
		sched.classes[c.Name] = &classInfo{Class: c, CheapAllowed: c.Idempotent || c.Resumable}
	}
}

// setServer sets the state of a configured server. If the server was restarted, its observed times and cached prefixes
// are forgotten.
func (sched *Scheduler) setServer(spec ServerSpec) {
	s := sched.server(spec.Name)
	restarted := s.state == ServerStopped && spec.State == ServerServing
	s.configured = true
	s.state = spec.State
	s.Cheap = spec.Kind == wire.ServerKindCheap
	divisor := max(sched.SlotDivisor, 1)
	s.Slots = (spec.Slots + divisor - 1) / divisor
	if restarted {
		sched.stragglers.Forget(s.Name)
		sched.prefixes.Forget(s.Name)
		s.FirstToken, s.BetweenTokens, s.IsStraggler = 0, 0, false
	}
	sched.traceServer(s)
}

// server returns the state of the server and creates it if there is none.
func (sched *Scheduler) server(name string) *server {
	s := sched.serversByName[name]
	if s == nil {
		s = &server{Server: pick.Server{Name: name}}
		sched.serversByName[name] = s
		sched.servers = append(sched.servers, s)
	}
	return s
}

// removeUnused removes a server that is neither configured nor used by a grant.
func (sched *Scheduler) removeUnused(s *server) {
	if s.configured {
		return
	}
	sched.traceServer(s)
	if s.Running > 0 {
		return
	}
	delete(sched.serversByName, s.Name)
	sched.servers = slices.DeleteFunc(sched.servers, func(o *server) bool { return o == s })
	sched.stragglers.Forget(s.Name)
	sched.prefixes.Forget(s.Name)
}

// traceServer passes the state of the server to OnEvent.
func (sched *Scheduler) traceServer(s *server) {
	sched.trace(Event{Kind: EventServerChanged, Server: s.Name, Slots: s.Slots, Cheap: s.Cheap, Serving: s.serving(), Draining: s.draining()})
}

// mayServe reports whether the request is allowed on the server, regardless of the server's load and speed. A paused
// stream resumes only on the server where it was paused, even while that server drains.
func (sched *Scheduler) mayServe(s *server, w *waiter) bool {
	if w.ask.Resume != "" {
		return s.Name == w.ask.Resume && (s.serving() || s.draining())
	}
	if !s.serving() || s.Cheap && !w.class.CheapAllowed {
		return false
	}
	return !slices.Contains(w.ask.Exclude, s.Name)
}

// RecordLoad stores a load report of a server unless a more recent one is known.
func (sched *Scheduler) RecordLoad(r wire.LoadReport) {
	sched.lock()
	defer sched.unlock()
	s := sched.serversByName[r.Server]
	if s == nil || r.AtMs < s.Reported.AtMs {
		return
	}
	s.Reported = r
}

// CacheEvents applies the prefix cache events of a server.
func (sched *Scheduler) CacheEvents(server string, events []wire.CacheEvent) {
	sched.lock()
	defer sched.unlock()
	if sched.serversByName[server] == nil {
		return
	}
	sched.prefixes.ApplyEvents(server, events)
}
