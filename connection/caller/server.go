// Package caller is the HTTP server for callers, the clients that send requests to an instance. It is built on nbhttp.
// It serves the OpenAI completions API and plain services, and answers invalid input with an error response.
//
// Lock order: connGuard.mu and Server.mu are leaves; neither is held while the other is acquired.
package caller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/request/dispatch"
)

// Default values of the fields of Server.
const (
	DefaultMaxBodyBytes      = 4 << 20
	DefaultMaxHeaderBytes    = 32 << 10
	DefaultMaxBufferedBytes  = 64 << 20
	DefaultMaxConnections    = 20_000
	DefaultMaxRequests       = 8_192
	DefaultRequestTimeout    = 20 * time.Second
	DefaultIdleTimeout       = 120 * time.Second
	DefaultStallTimeout      = 20 * time.Second
	DefaultStreamBufferBytes = 64 << 10
)

const (
	// maxWriteBufferBytes bounds the response bytes that nbhttp buffers for one connection. nbhttp closes a connection
	// that exceeds it.
	maxWriteBufferBytes = 16 << 20
	// readBufferBytes is the size of the buffer with which nbhttp reads from connections.
	readBufferBytes = 16 << 10
	// connectionPollInterval is the time between two checks for callers that have disconnected.
	connectionPollInterval = 200 * time.Millisecond
)

// Server is the HTTP server for callers. Set its exported fields before Run. Sizes, counts and times of 0 are replaced
// by the defaults.
type Server struct {
	// Listen is the IP address and port to listen on; port 0 chooses a free port.
	Listen string
	// Certificate, if not nil, enables TLS.
	Certificate *Certificate
	// Dispatcher runs the requests.
	Dispatcher *dispatch.Dispatcher
	// Log receives one line for each refused request; nil disables logging.
	Log *zap.Logger

	// MaxBodyBytes bounds the request body in bytes; a larger one is refused with status 413.
	MaxBodyBytes int
	// MaxHeaderBytes bounds the request line and headers in bytes; larger ones are refused with status 431.
	MaxHeaderBytes int
	// MaxBufferedBytes bounds the buffered bytes of all requests together; beyond it, requests are refused with status 503.
	MaxBufferedBytes int64
	// MaxConnections bounds the open connections; further ones are closed at once.
	MaxConnections int
	// MaxRequests bounds the running requests; further ones are refused with status 503.
	MaxRequests int64
	// RequestTimeout bounds the time in which a request must arrive completely; a slower one is refused with status
	// 408.
	RequestTimeout time.Duration
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout time.Duration
	// StallTimeout bounds the time for which a caller may read nothing of a response that waits for it; after that, the
	// connection is closed.
	StallTimeout time.Duration
	// StreamBufferBytes is the number of response bytes that may wait for a slowly reading caller before writes block.
	StreamBufferBytes int64

	httpServer      *nbhttp.Server
	workerPool      *workerPool
	address         string
	draining        atomic.Bool
	runningRequests atomic.Int64
	// bufferedBytes is the number of request bytes in memory, of arriving and running requests.
	bufferedBytes atomic.Int64
	started       chan struct{}
	startedOnce   sync.Once

	mu sync.Mutex
	// calls holds the running requests, so that watchConnections can check all their connections in one goroutine.
	calls map[*call]struct{}
}

func (s *Server) setDefaults() {
	setDefault(&s.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&s.MaxBufferedBytes, DefaultMaxBufferedBytes)
	setDefault(&s.MaxConnections, DefaultMaxConnections)
	setDefault(&s.MaxRequests, DefaultMaxRequests)
	setDefault(&s.RequestTimeout, DefaultRequestTimeout)
	setDefault(&s.IdleTimeout, DefaultIdleTimeout)
	setDefault(&s.StallTimeout, DefaultStallTimeout)
	setDefault(&s.StreamBufferBytes, DefaultStreamBufferBytes)
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
}

// setDefault sets a field to its default value if it is 0.
func setDefault[T int | int64 | time.Duration](field *T, defaultValue T) {
	if *field == 0 {
		*field = defaultValue
	}
}

// startedChan returns the channel of Started, which it creates at the first call.
func (s *Server) startedChan() chan struct{} {
	s.startedOnce.Do(func() { s.started = make(chan struct{}) })
	return s.started
}

// Started returns a channel that is closed once the listener is open.
func (s *Server) Started() <-chan struct{} { return s.startedChan() }

// Address returns the listener's address. Call it only after the channel of Started is closed.
func (s *Server) Address() string { return s.address }

// answerTime bounds the time in which the requests that the end of Run cancels get their answers.
const answerTime = 500 * time.Millisecond

// awaitAnswers waits until the cancelled requests were answered.
func (s *Server) awaitAnswers() {
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	if err := s.Drain(ctx); err != nil {
		s.Log.Warn("requests_not_answered", zap.Error(err), zap.Int64("running", s.Running()))
	}
}

// Run serves until ctx ends, and then cancels the running requests and answers them. Call Drain first to let them finish.
func (s *Server) Run(ctx context.Context) error {
	s.setDefaults()
	s.calls = make(map[*call]struct{})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// nbhttp's engine doesn't return when it fails to listen, so open the listener here.
	ln, err := s.listen(ctx)
	if err != nil {
		return oops.In("caller").With("listen", s.Listen).Wrap(err)
	}
	s.workerPool = newWorkerPool()
	defer s.workerPool.stop()
	cfg := s.config()
	cfg.Listen = func(string, string) (net.Listener, error) { return ln, nil }
	s.httpServer = nbhttp.NewServer(cfg)
	s.httpServer.Engine.Engine.OnOpen(s.onOpen)
	s.httpServer.OnWrittenSize(onWritten)
	if err := s.httpServer.Start(); err != nil {
		return oops.In("caller").With("listen", s.Listen).Wrap(err)
	}
	close(s.startedChan())
	s.watchConnections(ctx)
	s.awaitAnswers()
	stopCtx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	_ = s.httpServer.Shutdown(stopCtx)
	return nil
}

// config returns the configuration of nbhttp for the server's fields.
func (s *Server) config() nbhttp.Config {
	cfg := nbhttp.Config{
		Name:               "callers",
		Network:            "tcp",
		Handler:            s,
		MaxLoad:            s.MaxConnections,
		ReadLimit:          s.MaxBodyBytes + s.MaxHeaderBytes + readBufferBytes,
		ReadBufferSize:     readBufferBytes,
		MaxWriteBufferSize: maxWriteBufferBytes,
		KeepaliveTime:      s.IdleTimeout,
		SupportServerOnly:  true,
		ServerExecutor:     s.workerPool.run,
	}
	if s.Certificate == nil {
		cfg.Addrs = []string{s.Listen}
		return cfg
	}
	cfg.AddrsTLS = []string{s.Listen}
	// llib's TLS returns a record's buffer to the allocator while the record is still read from the buffer, so don't
	// use a pooled allocator.
	cfg.TLSAllocator = mempool.NewSTD()
	cfg.TLSConfig = s.Certificate.config()
	return cfg
}

// listen opens the listener and stores its address.
func (s *Server) listen(ctx context.Context) (net.Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.Listen)
	if err == nil {
		s.address = ln.Addr().String()
	}
	return ln, err
}

// Drain refuses new requests and waits until the running requests have finished or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	ticker := time.NewTicker(connectionPollInterval / 10)
	defer ticker.Stop()
	for s.runningRequests.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Draining reports whether Drain was called.
func (s *Server) Draining() bool { return s.draining.Load() }

// Running returns the number of running requests.
func (s *Server) Running() int64 { return s.runningRequests.Load() }

// watchConnections cancels the requests whose caller has disconnected, until ctx ends; then it cancels all requests.
func (s *Server) watchConnections(ctx context.Context) {
	ticker := time.NewTicker(connectionPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.draining.Store(true)
			s.cancelAll()
			return
		case <-ticker.C:
			s.cancelDisconnected()
		}
	}
}

func (s *Server) cancelDisconnected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.calls {
		if c.connGuard.isClosed() {
			c.cancel(dispatch.ErrCallerGone{})
			continue
		}
		c.clearDeadline()
	}
}

func (s *Server) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.calls {
		c.cancel(context.Canceled)
	}
}

// onOpen installs a guard between a new connection and its parser, before the first byte is read.
func (s *Server) onOpen(conn *nbio.Conn) {
	parser, ok := conn.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	g := new(connGuard)
	g.Processor, g.server, g.conn, g.parser = parser.Processor, s, conn, parser
	parser.Processor = g
	g.initialized.Store(true)
	conn.SetSession(g)
}

// onWritten passes the number of bytes written to a connection on to its guard.
func onWritten(conn *nbio.Conn, _ []byte, n int) {
	if g, ok := conn.Session().(*connGuard); ok {
		g.onBytesWritten(int64(n))
	}
}
