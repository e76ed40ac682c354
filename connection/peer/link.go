package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/wire"
)

// ErrPeerDown reports that there is no live connection to a peer.
type ErrPeerDown struct {
	// Peer is the peer's instance name.
	Peer string
}

func (e ErrPeerDown) Error() string { return fmt.Sprintf("peer %s is down", e.Peer) }

// Link is the dialling end of the connection to one peer. Set its exported fields before Run.
type Link struct {
	// Peer is the peer's instance name.
	Peer string
	// Address is the peer's IP address and port.
	Address string
	// TLS is the configuration for mutual TLS; nil means plain TCP.
	TLS *tls.Config
	// Log receives the events of the link.
	Log *zap.Logger
	// Self returns the content of this instance's heartbeats.
	Self func() wire.Hello
	// OnHello is called with the peer's response to each heartbeat.
	OnHello func(from wire.Hello)
	// OnDown is called each time a live link is lost.
	OnDown func()
	// OnPreempt is called when the peer asks this instance to pause the stream of a grant.
	OnPreempt func(p wire.GrantPreempt)

	mu sync.Mutex
	// conn is nil while the link is down.
	conn *jsonrpc2.Conn
}

// Run keeps the link connected until ctx ends. It dials a peer that doesn't respond with exponential backoff.
func (l *Link) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = redialDelay
	retry.MaxInterval = maxRedialDelay
	for ctx.Err() == nil {
		if l.runSession(ctx) {
			retry.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
}

// runSession dials and sends heartbeats until one fails. It reports whether the link was up.
func (l *Link) runSession(ctx context.Context) bool {
	raw, err := l.dial(ctx)
	if err != nil {
		return false
	}
	stream := jsonrpc2.NewPlainObjectStream(deadlineConn{raw})
	handler := jsonrpc2.HandlerWithError(l.handle).SuppressErrClosed()
	conn := jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(rpcLogger{l.Log}))
	defer func() { _ = conn.Close() }()
	if err := l.heartbeat(ctx, conn); err != nil {
		l.Log.Warn("peer_hello_failed", zap.String("peer", l.Peer), zap.Error(err))
		return false
	}
	l.setConn(conn)
	l.Log.Info("peer_up", zap.String("peer", l.Peer))
	err = l.sendHeartbeats(ctx, conn)
	l.setConn(nil)
	l.Log.Info("peer_down", zap.String("peer", l.Peer), zap.Error(err))
	l.OnDown()
	return true
}

// dial connects to the peer and, if TLS is set, authenticates it.
func (l *Link) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if l.TLS != nil {
		d := tls.Dialer{Config: l.TLS}
		return d.DialContext(ctx, "tcp", l.Address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", l.Address)
}

// sendHeartbeats sends heartbeats until one fails, the connection closes or ctx ends.
func (l *Link) sendHeartbeats(ctx context.Context, conn *jsonrpc2.Conn) error {
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-conn.DisconnectNotify():
			return jsonrpc2.ErrClosed
		case <-tick.C:
		}
		if err := l.heartbeat(ctx, conn); err != nil {
			return err
		}
	}
}

// heartbeat sends one heartbeat and waits for the response.
func (l *Link) heartbeat(ctx context.Context, conn *jsonrpc2.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, HeartbeatTimeout-HeartbeatInterval)
	defer cancel()
	var reply wire.Hello
	if err := conn.Call(ctx, methodHello, l.Self(), &reply); err != nil {
		return err
	}
	if err := checkFormat(reply.Instance, reply.Format); err != nil {
		return err
	}
	l.OnHello(reply)
	return nil
}

// handle handles the notifications of the accepting end.
func (l *Link) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Method != methodPreempt {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	p, err := decode[wire.GrantPreempt](req)
	if err != nil {
		return nil, err
	}
	l.OnPreempt(p)
	return nil, nil
}

func (l *Link) setConn(conn *jsonrpc2.Conn) {
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
}

func (l *Link) activeConn() (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil, ErrPeerDown{Peer: l.Peer}
	}
	return l.conn, nil
}

// IsUp reports whether the link is connected.
func (l *Link) IsUp() bool {
	_, err := l.activeConn()
	return err == nil
}

// Acquire requests a slot from the peer and waits for the reply. If ctx ends first, it cancels the request; onLateGrant
// is then called with a grant that the peer gave before it received the cancellation.
func (l *Link) Acquire(ctx context.Context, request wire.GrantAsk, onLateGrant func(wire.GrantReply)) (wire.GrantReply, error) {
	conn, err := l.activeConn()
	if err != nil {
		return wire.GrantReply{}, err
	}
	waiter, err := conn.DispatchCall(ctx, methodAsk, request)
	if err != nil {
		return wire.GrantReply{}, ErrPeerDown{Peer: l.Peer}
	}
	var reply wire.GrantReply
	err = waiter.Wait(ctx, &reply)
	if err == nil {
		return reply, nil
	}
	if ctx.Err() == nil {
		return wire.GrantReply{}, ErrPeerDown{Peer: l.Peer}
	}
	go l.cancel(conn, request, waiter, onLateGrant)
	return wire.GrantReply{}, ctx.Err()
}

// cancel cancels a request for a slot. If the peer has granted the slot in the meantime, it calls onLateGrant.
func (l *Link) cancel(conn *jsonrpc2.Conn, request wire.GrantAsk, waiter jsonrpc2.Waiter, onLateGrant func(wire.GrantReply)) {
	ctx, cancel := context.WithTimeout(context.Background(), HeartbeatTimeout)
	defer cancel()
	_ = conn.Notify(ctx, methodCancel, wire.GrantCancel{Pool: request.Pool, RequestID: request.RequestID})
	var reply wire.GrantReply
	if err := waiter.Wait(ctx, &reply); err == nil && reply.Grant != 0 {
		onLateGrant(reply)
	}
}

// Release returns a slot to the peer.
func (l *Link) Release(ctx context.Context, r wire.GrantRelease) error {
	return l.notify(ctx, methodRelease, r)
}

// ReportFirstToken notifies the peer that the first token of a grant's stream was late.
func (l *Link) ReportFirstToken(ctx context.Context, f wire.GrantFirst) error {
	return l.notify(ctx, methodFirstToken, f)
}

// DeclareGrants notifies the peer, which has become the home instance of a pool, of the slots that this instance still
// holds from an earlier home instance.
func (l *Link) DeclareGrants(ctx context.Context, c wire.GrantsHeld) error {
	return l.notify(ctx, methodDeclareGrants, c)
}

// ExchangeVersions sends a digest of the versions of the configuration and keyrings that this instance has, and returns
// the peer's versions that this instance lacks.
func (l *Link) ExchangeVersions(ctx context.Context, digest wire.VersionDigest) (wire.VersionOffer, error) {
	var offer wire.VersionOffer
	err := l.call(ctx, methodExchange, digest, &offer)
	return offer, err
}

// AnnounceVersions notifies the peer of the versions of the configuration and keyrings that this instance has.
func (l *Link) AnnounceVersions(ctx context.Context, digest wire.VersionDigest) error {
	return l.notify(ctx, methodAnnounce, digest)
}

// ReportQuarantine notifies the peer of crashes of backend servers, sound prompt parts and quarantines.
func (l *Link) ReportQuarantine(ctx context.Context, news wire.News) error {
	return l.notify(ctx, methodQuarantine, news)
}

// HandOverUsage hands usage counts over to the peer. The reply states which counts the peer has stored. After an error,
// the counts remain with the sender.
func (l *Link) HandOverUsage(ctx context.Context, counts wire.UsageHandOver) (wire.UsageHandOverReply, error) {
	var reply wire.UsageHandOverReply
	err := l.call(ctx, methodUsage, counts, &reply)
	return reply, err
}

// Fleet requests the peer's view of the backend servers of its data centre.
func (l *Link) Fleet(ctx context.Context) (wire.FleetView, error) {
	var view wire.FleetView
	err := l.call(ctx, methodFleet, nil, &view)
	return view, err
}

// StreamCount requests the number of streams that the peer runs on a backend server.
func (l *Link) StreamCount(ctx context.Context, server string) (int, error) {
	var reply wire.ServerStreams
	err := l.call(ctx, methodStreams, wire.ServerStreams{Server: server}, &reply)
	return reply.Running, err
}

// Demand requests the load of a pool at the peer.
func (l *Link) Demand(ctx context.Context, pool string) (wire.PoolDemand, error) {
	var reply wire.PoolDemand
	err := l.call(ctx, methodDemand, wire.PoolDemand{Pool: pool}, &reply)
	return reply, err
}

func (l *Link) notify(ctx context.Context, method string, params any) error {
	conn, err := l.activeConn()
	if err != nil {
		return err
	}
	return conn.Notify(ctx, method, params)
}

func (l *Link) call(ctx context.Context, method string, params, result any) error {
	conn, err := l.activeConn()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, HeartbeatTimeout)
	defer cancel()
	return conn.Call(ctx, method, params, result)
}
