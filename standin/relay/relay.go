// Package relay simulates the network between data centres and the platform for tests: it forwards TCP connections and
// can cut, stall or delay them.
package relay

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/toucanroute/toucanroute/standin/web"
)

const (
	// dialTimeout limits the time to connect to a target.
	dialTimeout = 5 * time.Second
	// bufferBytes is the size of the buffer of each direction of a connection.
	bufferBytes = 32 << 10
	// allRoutes stands for all routes in a list of route names.
	allRoutes = "*"
)

// Faults are the settable faults of a relay. Each list holds names of routes, where "*" means all routes.
type Faults struct {
	// Cut lists the routes whose open connections are reset and whose new connections are refused.
	Cut []string `json:"cut"`
	// Stalled lists the routes that forward no data, but keep their connections open and accept new ones.
	Stalled []string `json:"stalled"`
	// DelayMs delays each forwarded chunk of data, in each direction, in milliseconds.
	DelayMs int `json:"delay_ms"`
}

func containsRoute(list []string, name string) bool {
	return slices.Contains(list, name) || slices.Contains(list, allRoutes)
}

// Route forwards the connections that arrive at the address Listen to the address Target.
type Route struct {
	Name   string
	Listen string
	Target string
}

// Stats is the response to GET /admin/stats.
type Stats struct {
	// Open is the number of open connections by route.
	Open map[string]int `json:"open"`
	// Bytes counts the forwarded bytes of both directions by route.
	Bytes map[string]int64 `json:"bytes"`
	// Refused counts by route the connections that were refused because the route was cut.
	Refused map[string]int `json:"refused"`
}

// Server is one relay with several routes. Its exported fields are set before Run is called.
type Server struct {
	// Address is the IP address and port of the stand-in's /admin endpoints.
	Address string
	// OnListen, if set, is called with each bound address; the address of the /admin endpoints is the last one.
	OnListen func(address string)
	// Routes are the forwarded routes, each with a unique name.
	Routes []Route

	faults web.Faults[Faults]

	mu    sync.Mutex
	stats Stats
}

// Run forwards connections until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.stats = Stats{Open: map[string]int{}, Bytes: map[string]int64{}, Refused: map[string]int{}}
	group, ctx := errgroup.WithContext(ctx)
	for _, route := range s.Routes {
		var lc net.ListenConfig
		ln, err := lc.Listen(ctx, "tcp", route.Listen)
		if err != nil {
			return err
		}
		s.notifyReady(ln.Addr().String())
		stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
		defer stop()
		group.Go(func() error { return s.accept(ctx, ln, route) })
	}
	group.Go(func() error { return web.Serve(ctx, s.Address, s.handler(), s.OnListen) })
	return group.Wait()
}

// notifyReady calls OnListen, if it is set, with the bound address of a route.
func (s *Server) notifyReady(address string) {
	if s.OnListen != nil {
		s.OnListen(address)
	}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/admin/faults", &s.faults)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		web.WriteJSON(w, http.StatusOK, s.stats)
	})
	return mux
}

func (s *Server) updateStats(update func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.stats)
}

// accept accepts the connections of a route until ctx ends, which closes its listener.
func (s *Server) accept(ctx context.Context, ln net.Listener, route Route) error {
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if containsRoute(s.faults.Get().Cut, route.Name) {
			s.updateStats(func(stats *Stats) { stats.Refused[route.Name]++ })
			reset(conn)
			continue
		}
		go s.forward(ctx, conn, route)
	}
}

// forward copies data in both directions until both have ended, the route is cut or ctx ends.
func (s *Server) forward(ctx context.Context, conn net.Conn, route Route) {
	defer func() { _ = conn.Close() }()
	s.updateStats(func(stats *Stats) { stats.Open[route.Name]++ })
	defer s.updateStats(func(stats *Stats) { stats.Open[route.Name]-- })
	if !s.waitUntilOpen(ctx, route) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", route.Target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var copies sync.WaitGroup
	copies.Go(func() { s.copy(ctx, target, conn, route) })
	copies.Go(func() { s.copy(ctx, conn, target, route) })
	go func() {
		copies.Wait()
		cancel()
	}()
	if s.waitForCut(ctx, route) {
		reset(conn)
		reset(target)
	}
}

// waitForCut waits until the route is cut, or returns false if ctx ends before that.
func (s *Server) waitForCut(ctx context.Context, route Route) bool {
	for {
		changed := s.faults.Changed()
		if containsRoute(s.faults.Get().Cut, route.Name) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// copy copies data from src to dst until the end of the data, and then closes dst for writing.
func (s *Server) copy(ctx context.Context, dst, src net.Conn, route Route) {
	defer closeWrite(dst)
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if err != nil || !s.waitUntilOpen(ctx, route) {
			return
		}
		web.Sleep(ctx, web.Millis(s.faults.Get().DelayMs))
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
		s.updateStats(func(stats *Stats) { stats.Bytes[route.Name] += int64(n) })
	}
}

// waitUntilOpen waits until the route isn't stalled. It returns false if the route is cut or ctx has ended.
func (s *Server) waitUntilOpen(ctx context.Context, route Route) bool {
	for {
		changed := s.faults.Changed()
		f := s.faults.Get()
		if containsRoute(f.Cut, route.Name) || ctx.Err() != nil {
			return false
		}
		if !containsRoute(f.Stalled, route.Name) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// closeWrite closes a connection for writing, so that the other end reads the end of the data.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// reset closes a connection at once and discards unsent data.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
