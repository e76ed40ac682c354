// Package entry is the listener of forwarded requests, and that of the readiness that a balancer asks for.
//
// It uses net/http's server: the caller's leaving ends a request's context at once, also while the answer is awaited, which
// nbhttp's handlers only learn by polling (docs/DECISIONS.md).
package entry

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Server serves callers. The exported fields are set before Run.
type Server struct {
	// Listen is the IP address and port.
	Listen string
	// Handler runs the requests.
	Handler http.Handler
	Log     *zap.Logger
	// HeaderBytes bounds a request's headers; more gets 431.
	HeaderBytes int
	// HeaderTimeout bounds the time in which a request's headers must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout time.Duration

	draining atomic.Bool
	running  atomic.Int64
	http     *http.Server
}

// Running returns the number of running requests.
func (s *Server) Running() int64 { return s.running.Load() }

// Run serves until ctx ends; it then closes what is left.
func (s *Server) Run(ctx context.Context) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return err
	}
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: s.HeaderTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    s.HeaderBytes,
		ErrorLog:          log.New(logWriter{s.Log}, "", 0),
	}
	s.Log.Info("callers_listening", zap.String("addr", s.Listen))
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// ServeHTTP runs one request. While the server drains, each answer ends its connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	s.Handler.ServeHTTP(w, r)
}

// BeginDrain lets each further answer end its connection, so that callers go elsewhere.
func (s *Server) BeginDrain() { s.draining.Store(true) }

// Drain closes the listener and the idle connections and waits for the running requests or the end of ctx.
func (s *Server) Drain(ctx context.Context) error {
	if s.http == nil {
		return nil
	}
	return s.http.Shutdown(ctx)
}

// logWriter takes the lines of net/http, which tell of faults of single connections.
type logWriter struct {
	log *zap.Logger
}

func (l logWriter) Write(p []byte) (int, error) {
	l.log.Debug("connection_fault", zap.ByteString("detail", p))
	return len(p), nil
}

// Readiness answers a balancer's question.
type Readiness struct {
	// Listen is the IP address and port.
	Listen string
	// Ready tells whether the instance may get requests.
	Ready func() bool
}

// readinessTimeout bounds each part of a balancer's question: it asks once a second.
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
