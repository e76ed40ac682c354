package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/wire"
)

// Server is the accepting end of the links of other instances. Set its exported fields before Run.
type Server struct {
	// Listen is the IP address and port to listen on.
	Listen string
	// TLS is the configuration for mutual TLS; nil means plain TCP.
	TLS *tls.Config
	// Log receives the events of the links.
	Log *zap.Logger
	// Self returns the content of this instance's replies to heartbeats.
	Self func() wire.Hello
	// OnHello is called for each heartbeat of a peer.
	OnHello func(from wire.Hello)
	// Acquire handles a peer's request for a slot. It may block until ctx ends.
	Acquire func(ctx context.Context, from string, ask wire.GrantAsk) wire.GrantReply
	// Release is called when a peer returns a slot.
	Release func(from string, r wire.GrantRelease)
	// OnFirstToken is called when a peer reports that the first token of a grant's stream was late.
	OnFirstToken func(from string, f wire.GrantFirst)
	// OnDeclareGrants is called with the slots that a peer still holds from an earlier home instance of the pool.
	OnDeclareGrants func(from string, c wire.GrantsHeld)
	// OfferVersions returns the versions of the configuration and keyrings that a peer with the digest lacks.
	OfferVersions func(from string, digest wire.VersionDigest) wire.VersionOffer
	// OnAnnounceVersions is called when a peer announces the digest of its versions.
	OnAnnounceVersions func(from string, digest wire.VersionDigest)
	// TakeOverUsage takes over usage counts of a peer. The reply states which of them are stored.
	TakeOverUsage func(from string, counts wire.UsageHandOver) (wire.UsageHandOverReply, error)
	// Fleet returns this instance's view of the backend servers.
	Fleet func() wire.FleetView
	// StreamCount returns the number of streams that this instance runs on a backend server.
	StreamCount func(server string) int
	// Demand returns the load of a pool at this instance.
	Demand func(pool string) wire.PoolDemand
	// OnQuarantine is called when a peer reports crashes of backend servers, sound prompt parts or quarantines.
	OnQuarantine func(news wire.News)
	// OnPeerLost is called when a peer has had no session for HeartbeatTimeout.
	OnPeerLost func(instance string)

	mu sync.Mutex
	// sessions holds the newest session of each peer by instance name.
	sessions map[string]*session
}

// session is the state of one accepted link.
type session struct {
	server *Server
	conn   *jsonrpc2.Conn
	// raw is the TCP or TLS connection under conn.
	raw net.Conn

	mu sync.Mutex
	// instance is the name of the peer; empty until its first heartbeat.
	instance string
	// pendingAsks holds the cancel function of each unanswered request for a slot, by request id.
	pendingAsks map[string]context.CancelFunc
	// idleTimer closes the connection when no heartbeat has arrived for HeartbeatTimeout.
	idleTimer *time.Timer
}

// Run listens and serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.mu.Lock()
	s.sessions = map[string]*session{}
	s.mu.Unlock()
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return err
	}
	if s.TLS != nil {
		ln = tls.NewListener(ln, s.TLS)
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	s.Log.Info("peers_listening", zap.String("addr", s.Listen), zap.Bool("tls", s.TLS != nil))
	for {
		raw, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.Warn("peer_accept_failed", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serve(ctx, raw)
	}
}

// serve runs one session until its connection closes.
func (s *Server) serve(ctx context.Context, raw net.Conn) {
	if !s.handshake(ctx, raw) {
		return
	}
	sess := &session{server: s, raw: raw, pendingAsks: map[string]context.CancelFunc{}}
	sess.idleTimer = time.AfterFunc(HeartbeatTimeout, func() { _ = raw.Close() })
	stream := jsonrpc2.NewPlainObjectStream(deadlineConn{raw})
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(sess.handle).SuppressErrClosed())
	sess.mu.Lock()
	sess.conn = jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(rpcLogger{s.Log}))
	conn := sess.conn
	sess.mu.Unlock()
	select {
	case <-conn.DisconnectNotify():
	case <-ctx.Done():
		_ = conn.Close()
	}
	sess.finish()
}

// handshake completes the TLS handshake, if any, and reports whether the connection may be served.
func (s *Server) handshake(ctx context.Context, raw net.Conn) bool {
	secure, ok := raw.(*tls.Conn)
	if !ok {
		return true
	}
	handshakeCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := secure.HandshakeContext(handshakeCtx); err != nil {
		s.Log.Warn("peer_rejected", zap.String("addr", raw.RemoteAddr().String()), zap.Error(err))
		_ = raw.Close()
		return false
	}
	return true
}

// Preempt asks a peer to pause the stream of a grant. It returns false if the peer has no session or can't be notified.
func (s *Server) Preempt(instance string, p wire.GrantPreempt) bool {
	s.mu.Lock()
	sess := s.sessions[instance]
	s.mu.Unlock()
	if sess == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return sess.conn.Notify(ctx, methodPreempt, p) == nil
}

// handle handles one request or notification of the peer.
func (s *session) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Method == methodHello {
		return s.hello(req)
	}
	from := s.peerName()
	if from == "" {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "hello comes first"}
	}
	switch req.Method {
	case methodAsk:
		return s.ask(ctx, from, req)
	case methodCancel:
		return s.cancel(req)
	case methodRelease:
		return s.release(from, req)
	case methodFirstToken:
		return s.firstToken(from, req)
	case methodDeclareGrants:
		return s.declareGrants(from, req)
	case methodExchange:
		return s.exchangeVersions(from, req)
	case methodAnnounce:
		return s.announceVersions(from, req)
	case methodUsage:
		return s.takeOverUsage(from, req)
	case methodFleet:
		return s.server.Fleet(), nil
	case methodStreams:
		return s.streamCount(req)
	case methodDemand:
		return s.poolDemand(req)
	case methodQuarantine:
		return s.reportQuarantine(req)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
}

func (s *session) peerName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance
}

// hello handles a heartbeat. The first one of a session identifies the peer.
func (s *session) hello(req *jsonrpc2.Request) (any, error) {
	hello, err := decode[wire.Hello](req)
	if err != nil {
		return nil, err
	}
	if err := checkFormat(hello.Instance, hello.Format); err != nil {
		s.server.Log.Warn("peer_refused", zap.String("peer", hello.Instance), zap.Error(err))
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()}
	}
	if err := s.authenticate(hello.Instance); err != nil {
		s.server.Log.Warn("peer_refused", zap.String("peer", hello.Instance), zap.Error(err))
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()}
	}
	s.idleTimer.Reset(HeartbeatTimeout)
	s.register(hello.Instance)
	s.server.OnHello(hello)
	return s.server.Self(), nil
}

// authenticate checks that the peer's certificate is valid for the instance name that it sent.
func (s *session) authenticate(instance string) error {
	secure, ok := s.raw.(*tls.Conn)
	if !ok {
		return nil
	}
	return secure.ConnectionState().PeerCertificates[0].VerifyHostname(instance)
}

// register stores the session as the newest one of its peer.
func (s *session) register(instance string) {
	s.mu.Lock()
	registered := s.instance != ""
	s.instance = instance
	s.mu.Unlock()
	if registered {
		return
	}
	s.server.mu.Lock()
	s.server.sessions[instance] = s
	s.server.mu.Unlock()
	s.server.Log.Info("peer_joined", zap.String("peer", instance))
}

// ask handles a request for a slot. It blocks until the request is answered or cancelled.
func (s *session) ask(ctx context.Context, from string, req *jsonrpc2.Request) (any, error) {
	ask, err := decode[wire.GrantAsk](req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.pendingAsks[ask.RequestID] = cancel
	s.mu.Unlock()
	defer s.removePending(ask.RequestID, cancel)
	return s.server.Acquire(ctx, from, ask), nil
}

func (s *session) removePending(id string, cancel context.CancelFunc) {
	s.mu.Lock()
	delete(s.pendingAsks, id)
	s.mu.Unlock()
	cancel()
}

// cancel handles the cancellation of a pending request for a slot.
func (s *session) cancel(req *jsonrpc2.Request) (any, error) {
	c, err := decode[wire.GrantCancel](req)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	cancel := s.pendingAsks[c.RequestID]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	return nil, nil
}

func (s *session) release(from string, req *jsonrpc2.Request) (any, error) {
	r, err := decode[wire.GrantRelease](req)
	if err != nil {
		return nil, err
	}
	s.server.Release(from, r)
	return nil, nil
}

func (s *session) firstToken(from string, req *jsonrpc2.Request) (any, error) {
	f, err := decode[wire.GrantFirst](req)
	if err != nil {
		return nil, err
	}
	s.server.OnFirstToken(from, f)
	return nil, nil
}

func (s *session) declareGrants(from string, req *jsonrpc2.Request) (any, error) {
	c, err := decode[wire.GrantsHeld](req)
	if err != nil {
		return nil, err
	}
	s.server.OnDeclareGrants(from, c)
	return nil, nil
}

func (s *session) exchangeVersions(from string, req *jsonrpc2.Request) (any, error) {
	digest, err := decode[wire.VersionDigest](req)
	if err != nil {
		return nil, err
	}
	return s.server.OfferVersions(from, digest), nil
}

func (s *session) announceVersions(from string, req *jsonrpc2.Request) (any, error) {
	digest, err := decode[wire.VersionDigest](req)
	if err != nil {
		return nil, err
	}
	s.server.OnAnnounceVersions(from, digest)
	return nil, nil
}

func (s *session) reportQuarantine(req *jsonrpc2.Request) (any, error) {
	news, err := decode[wire.News](req)
	if err != nil {
		return nil, err
	}
	s.server.OnQuarantine(news)
	return nil, nil
}

func (s *session) takeOverUsage(from string, req *jsonrpc2.Request) (any, error) {
	counts, err := decode[wire.UsageHandOver](req)
	if err != nil {
		return nil, err
	}
	return s.server.TakeOverUsage(from, counts)
}

func (s *session) streamCount(req *jsonrpc2.Request) (any, error) {
	q, err := decode[wire.ServerStreams](req)
	if err != nil {
		return nil, err
	}
	q.Running = s.server.StreamCount(q.Server)
	return q, nil
}

func (s *session) poolDemand(req *jsonrpc2.Request) (any, error) {
	q, err := decode[wire.PoolDemand](req)
	if err != nil {
		return nil, err
	}
	return s.server.Demand(q.Pool), nil
}

// finish cancels the session's pending requests and reports the peer as lost unless it reconnects within
// HeartbeatTimeout.
func (s *session) finish() {
	s.idleTimer.Stop()
	_ = s.raw.Close()
	s.mu.Lock()
	instance := s.instance
	for _, cancel := range s.pendingAsks {
		cancel()
	}
	s.mu.Unlock()
	if instance == "" {
		return
	}
	time.AfterFunc(HeartbeatTimeout, func() { s.server.reportLost(instance, s) })
}

// reportLost reports the peer as lost unless a newer session has replaced the ended one.
func (s *Server) reportLost(instance string, ended *session) {
	s.mu.Lock()
	if s.sessions[instance] != ended {
		s.mu.Unlock()
		return
	}
	delete(s.sessions, instance)
	s.mu.Unlock()
	s.Log.Warn("peer_lost", zap.String("peer", instance))
	s.OnPeerLost(instance)
}
