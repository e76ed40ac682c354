// Package entry provides the HTTP server that accepts the requests which an instance forwards to backend servers, and
// the HTTP server for a load balancer's readiness checks.
//
// It uses net/http's server, which cancels a request's context as soon as the caller disconnects, even while the
// handler waits for a backend server; handlers of nbhttp have to poll for that (docs/DECISIONS.md).
package entry

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/memory"
)

// Server is the HTTP server for callers. Set its exported fields before Run.
type Server struct {
	// Listen is the IP address and port to listen on.
	Listen string
	// Handler serves the requests.
	Handler http.Handler
	// Refuse answers the requests that arrive once Drain was called. It must not pass them on, since their connections may
	// be closing. nil closes their connections.
	Refuse http.Handler
	// KeepOpen is set if connections are still accepted, and idle ones kept, while the server drains, so that the requests
	// on them are refused with an answer.
	KeepOpen bool
	Log      *zap.Logger
	// HeaderBytes bounds the headers of a request in bytes; larger ones are refused with status 431.
	HeaderBytes int
	// HeaderTimeout bounds the time in which the headers of a request must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout time.Duration
	// Budget is the memory in which responses are held for callers that read slowly; nil lets these delay the backend
	// servers.
	Budget *memory.Budget
	// StallTimeout is the time in which a caller must accept something of a response that is held for it; 0 means 30 s.
	StallTimeout time.Duration

	draining atomic.Bool
	// closed is set by Drain, before the idle connections are closed: a request that finds it unset has an open connection.
	closed  atomic.Bool
	running atomic.Int64
	heldMu  sync.Mutex
	// held contains the connections for which a response is held.
	held   map[*heldConn]struct{}
	connMu sync.Mutex
	// active contains the connections with a request, until its response was written.
	active map[net.Conn]struct{}
	// http and listener are nil until Serve has begun; listener is set before http.
	http     atomic.Pointer[http.Server]
	listener net.Listener
}

// Accepts reports whether Serve has begun, and with it the listener is open.
func (s *Server) Accepts() bool { return s.http.Load() != nil }

// Running returns the number of running requests.
func (s *Server) Running() int64 { return s.running.Load() }

// Run opens a listener and serves until ctx ends. Then it closes the listener and all connections.
func (s *Server) Run(ctx context.Context) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return err
	}
	s.Log.Info("callers_listening", zap.String("addr", s.Listen))
	return s.Serve(ctx, ln)
}

// Serve serves the connections of a listener until ctx ends, and then closes it and all connections.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    s.HeaderBytes,
		ConnContext:       WithConn,
		ConnState:         s.trackConn,
		ErrorLog:          log.New(logWriter{s.Log}, "", 0),
	}
	s.listener = ln
	s.http.Store(server)
	if s.closed.Load() {
		s.stopAccepting(server)
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if s.Budget != nil {
		ln = heldListener{ln, s}
		defer func() {
			for _, c := range s.heldConns() {
				c.abort()
			}
		}()
	}
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !s.closed.Load() {
		return err
	}
	<-ctx.Done()
	return nil
}

// trackConn keeps the connections with a request. It is a ConnState of net/http's server.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	if state != http.StateActive {
		delete(s.active, c)
		return
	}
	if s.active == nil {
		s.active = map[net.Conn]struct{}{}
	}
	s.active[c] = struct{}{}
}

// activeConns returns the number of connections with a request.
func (s *Server) activeConns() int {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	return len(s.active)
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// WithConn returns a context for the requests of a connection, for ResetOnClose. It is a ConnContext of net/http's
// server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// errNoLinger reports that a request's connection is unknown or has no linger option.
var errNoLinger = errors.New("the connection has no linger option")

// ResetOnClose sets whether the connection of the request with the context ctx is reset when it closes, also by the end
// of the process, instead of being ended properly.
func ResetOnClose(ctx context.Context, reset bool) error {
	c, ok := ctx.Value(connKey{}).(interface{ SetLinger(sec int) error })
	if !ok {
		return errNoLinger
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	return c.SetLinger(seconds)
}

// ServeHTTP serves one request. While the server drains, it sets "Connection: close" on each response. Once Drain was
// called, it refuses the request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.closed.Load() {
		s.refuse(w, r)
		return
	}
	s.Handler.ServeHTTP(w, r)
}

// refuse answers a request that arrived after Drain was called.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request) {
	if s.Refuse == nil {
		panic(http.ErrAbortHandler)
	}
	s.Refuse.ServeHTTP(w, r)
}

// BeginDrain closes each connection after its next response, so that callers connect to other instances.
func (s *Server) BeginDrain() { s.draining.Store(true) }

// drainPollInterval is the interval at which Drain looks whether requests still run or responses are still written.
const drainPollInterval = 10 * time.Millisecond

// Drain has later requests refused, and waits until the running requests have finished and slow callers have their
// responses, or ctx ends. Unless KeepOpen is set, it closes the listener and the idle connections.
//
// net/http's Shutdown isn't used: it closes the connections of requests that arrive meanwhile without an answer.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.closed.Store(true)
	server := s.http.Load()
	if server == nil {
		return nil
	}
	s.stopAccepting(server)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.activeConns() > 0 || s.SlowCallers() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// stopAccepting closes the listener and the idle connections, and has the others closed after their responses, unless
// KeepOpen is set.
func (s *Server) stopAccepting(server *http.Server) {
	if s.KeepOpen {
		return
	}
	// An error means that it is already closed.
	_ = s.listener.Close()
	server.SetKeepAlivesEnabled(false)
}

// logWriter logs the lines of net/http's server, which describe failures of single connections.
type logWriter struct {
	log *zap.Logger
}

func (l logWriter) Write(p []byte) (int, error) {
	l.log.Debug("connection_fault", zap.ByteString("detail", p))
	return len(p), nil
}

// Readiness is the HTTP server of GET /readyz, the readiness check of a load balancer.
type Readiness struct {
	// Listen is the IP address and port to listen on.
	Listen string
	// Ready reports whether the instance may receive requests.
	Ready func() bool
}

// readinessTimeout bounds the time in which the headers of a readiness check must arrive. A balancer checks once a
// second.
const readinessTimeout = time.Second

// Run serves until ctx ends.
func (s *Readiness) Run(ctx context.Context) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readinessTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
