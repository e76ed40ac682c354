// Package operator is the HTTP server for the operators of an instance: health, readiness, metrics, status, and the
// request counts from which toucanctl computes how fast error budgets are used up (GET /burn).
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio/nbhttp"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/wire"
)

// Limits and timeouts of the server.
const (
	maxBodyBytes     = 1 << 16
	maxConnections   = 1 << 10
	keepAliveTimeout = 60 * time.Second
	shutdownTimeout  = 2 * time.Second
)

// Server is the HTTP server for operators. Set its exported fields before Run.
type Server struct {
	// Listen is the IP address and port to listen on.
	Listen string
	// TLS, if not nil, is the configuration for mutual TLS.
	TLS *tls.Config
	// Log receives the events of the server.
	Log *zap.Logger
	// Ready reports whether the instance may receive requests.
	Ready func() bool
	// Status returns the status of the instance.
	Status func() wire.Status
	// Burn returns the instance's request counts for GET /burn.
	Burn func() wire.Burn
	// LiftQuarantine lifts the quarantine with the id and reports whether there was one; nil if the instance has none.
	LiftQuarantine func(id string) bool
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	cfg := nbhttp.Config{
		Network:                 "tcp",
		Name:                    "operators",
		Handler:                 s.handler(),
		MaxHTTPBodySize:         maxBodyBytes,
		MaxLoad:                 maxConnections,
		KeepaliveTime:           keepAliveTimeout,
		ReleaseWebsocketPayload: true,
	}
	if s.TLS != nil {
		cfg.AddrsTLS = []string{s.Listen}
		cfg.TLSConfig = s.TLS
	} else {
		cfg.Addrs = []string{s.Listen}
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return err
	}
	// nbhttp's engine doesn't return when it fails to listen, so open the listener here.
	cfg.Listen = func(string, string) (net.Listener, error) { return ln, nil }
	engine := nbhttp.NewEngine(cfg)
	if err := engine.Start(); err != nil {
		return errors.Join(err, ln.Close())
	}
	s.Log.Info("operators_listening", zap.String("addr", s.Listen), zap.Bool("tls", s.TLS != nil))
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return engine.Shutdown(shutdownCtx)
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.handleReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { s.writeJSON(w, s.Status()) })
	mux.HandleFunc("GET /burn", func(w http.ResponseWriter, _ *http.Request) { s.writeJSON(w, s.Burn()) })
	mux.HandleFunc("DELETE /quarantines/{id}", s.handleLift)
	return mux
}

// handleLift lifts a quarantine.
func (s *Server) handleLift(w http.ResponseWriter, r *http.Request) {
	if s.LiftQuarantine == nil || !s.LiftQuarantine(r.PathValue("id")) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeJSON writes v as a JSON response.
func (s *Server) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		s.Log.Warn("operator_answer_failed", zap.Error(err))
	}
}
