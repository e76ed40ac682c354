// Package relay stands in for the network between two places: it forwards TCP connections and can cut, stall or slow
// them, so that data centres lose each other and the platform.
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
	// dialTimeout bounds the dial of a target.
	dialTimeout = 5 * time.Second
	// bufferBytes is the size of the pieces that are forwarded.
	bufferBytes = 32 << 10
	// allRoutes stands for all routes in a list of faults.
	allRoutes = "*"
)

// Faults are the settable faults; each list holds names of routes, where "*" is all.
type Faults struct {
	// Cut routes close their connections and refuse new ones.
	Cut []string `json:"cut"`
	// Stalled routes keep their connections and take new ones, but forward nothing.
	Stalled []string `json:"stalled"`
	// DelayMs delays each piece that is forwarded, one way, in milliseconds.
	DelayMs int `json:"delay_ms"`
}

func has(list []string, name string) bool {
	return slices.Contains(list, name) || slices.Contains(list, allRoutes)
}

// Route forwards the connections to Listen on to Target.
type Route struct {
	Name   string
	Listen string
	Target string
}

// Stats are the figures of GET /admin/stats.
type Stats struct {
	// Open is the number of connections by route.
	Open map[string]int `json:"open"`
	// Bytes counts the forwarded bytes, both ways, by route.
	Bytes map[string]int64 `json:"bytes"`
	// Refused counts the connections that a cut refused, by route.
	Refused map[string]int `json:"refused"`
}

// Server is one relay of several routes. Its exported fields are set before Run.
type Server struct {
	// Address is the IP number and port of the stand-in's own interface.
	Address string
	// Ready, if set, gets each bound address, that of the own interface last.
	Ready func(address string)
	// Routes have unlike names.
	Routes []Route

	faults web.Faults[Faults]

	mu    sync.Mutex
	stats Stats
}

// Run forwards until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.stats = Stats{Open: map[string]int{}, Bytes: map[string]int64{}, Refused: map[string]int{}}
	group, ctx := errgroup.WithContext(ctx)
	for _, route := range s.Routes {
		var lc net.ListenConfig
		ln, err := lc.Listen(ctx, "tcp", route.Listen)
		if err != nil {
			return err
		}
		s.ready(ln.Addr().String())
		stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
		defer stop()
		group.Go(func() error { return s.accept(ctx, ln, route) })
	}
	group.Go(func() error { return web.Serve(ctx, s.Address, s.handler(), s.Ready) })
	return group.Wait()
}

func (s *Server) ready(address string) {
	if s.Ready != nil {
		s.Ready(address)
	}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/admin/faults", &s.faults)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		web.Write(w, http.StatusOK, s.stats)
	})
	return mux
}

func (s *Server) count(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// accept takes the connections of a route until its listener closes.
func (s *Server) accept(ctx context.Context, ln net.Listener, route Route) error {
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if has(s.faults.Get().Cut, route.Name) {
			s.count(func(stats *Stats) { stats.Refused[route.Name]++ })
			reset(conn)
			continue
		}
		go s.forward(ctx, conn, route)
	}
}

// forward copies both ways until both have ended, the route is cut or ctx ends.
func (s *Server) forward(ctx context.Context, conn net.Conn, route Route) {
	defer func() { _ = conn.Close() }()
	s.count(func(stats *Stats) { stats.Open[route.Name]++ })
	defer s.count(func(stats *Stats) { stats.Open[route.Name]-- })
	if !s.passable(ctx, route) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", route.Target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	ctx, end := context.WithCancel(ctx)
	defer end()
	var ways sync.WaitGroup
	ways.Go(func() { s.copy(ctx, target, conn, route) })
	ways.Go(func() { s.copy(ctx, conn, target, route) })
	go func() {
		ways.Wait()
		end()
	}()
	if s.isCutBefore(ctx, route) {
		reset(conn)
		reset(target)
	}
}

// isCutBefore waits until the route is cut or ctx ends and tells whether it was cut.
func (s *Server) isCutBefore(ctx context.Context, route Route) bool {
	for {
		changed := s.faults.Changed()
		if has(s.faults.Get().Cut, route.Name) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// copy forwards from one connection to the other and passes on the end of the data.
func (s *Server) copy(ctx context.Context, to, from net.Conn, route Route) {
	defer closeWrite(to)
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if err != nil || !s.passable(ctx, route) {
			return
		}
		web.Sleep(ctx, web.Millis(s.faults.Get().DelayMs))
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
		s.count(func(stats *Stats) { stats.Bytes[route.Name] += int64(n) })
	}
}

// passable waits while the route is stalled and tells whether it is neither cut nor ended then.
func (s *Server) passable(ctx context.Context, route Route) bool {
	for {
		changed := s.faults.Changed()
		f := s.faults.Get()
		if has(f.Cut, route.Name) || ctx.Err() != nil {
			return false
		}
		if !has(f.Stalled, route.Name) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// closeWrite tells the other end that no more data comes.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// reset closes a connection without waiting for what is unsent.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
