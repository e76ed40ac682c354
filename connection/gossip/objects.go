package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/wire"
)

const (
	// methodObjects is the JSON-RPC method that returns all objects of a kind.
	methodObjects = "objects"
	// methodStream is the JSON-RPC method that returns what began a stream.
	methodStream = "stream"
	// codeOutdated is the error code of an instance whose own objects may be out of date.
	codeOutdated = 1
	// codeUnknownStream is the error code of an instance that doesn't know what began a stream.
	codeUnknownStream = 2
	// codeBusy is the error code of an instance that sends as many replies with objects as it may. Older builds take it for
	// any other error and ask another instance.
	codeBusy = 3
	// codeNotNewer is the error code of an instance whose objects aren't newer than the caller's.
	codeNotNewer = 4
	// fetchTimeout bounds one call to a peer. It is much longer than a round trip and much shorter than the time in
	// which a new configuration must take effect.
	fetchTimeout = 500 * time.Millisecond
	// maxReplyBytes bounds what is read of a peer's reply: several objects of the largest size, 1 MB. maxCallsBytes bounds
	// the calls that a peer sends on one connection.
	maxReplyBytes = 8 << 20
	maxCallsBytes = 64 << 10
)

// rpcLog writes what the JSON-RPC library reports of a connection to the log: mostly that the caller has gone.
type rpcLog struct {
	log *zap.Logger
}

// Printf implements jsonrpc2.Logger.
func (l rpcLog) Printf(format string, v ...any) {
	l.log.Debug("peer_call_broken_off", zap.String("error", strings.TrimSpace(fmt.Sprintf(format, v...))))
}

// limitedConn is a connection of which a limited number of bytes can be read. Another process may have taken over the
// address of a peer.
type limitedConn struct {
	net.Conn
	input io.Reader
}

func limitConn(c net.Conn, maxBytes int64) net.Conn {
	return &limitedConn{Conn: c, input: io.LimitReader(c, maxBytes)}
}

// Read reads from the connection. It returns io.EOF after the limit.
func (c *limitedConn) Read(p []byte) (int, error) { return c.input.Read(p) }

// objectsParams are the parameters of methodObjects.
type objectsParams struct {
	Kind string `json:"kind"`
	// Encoding is the encoding of the reply that the caller understands. Older builds neither send nor read it.
	Encoding string `json:"encoding,omitempty"`
	// NewerThan is the version that the caller has; 0 if it has none or wants the objects in any case.
	NewerThan int `json:"newer_than,omitempty"`
}

// Server serves the objects of the platform's store to instances that can't reach the store, and tells other instances
// what began a stream. Connections on which HTTP requests arrive are passed to Requests. Set its exported fields before
// Run.
type Server struct {
	// Listen is the IP address and port to listen on.
	Listen string
	Log    *zap.Logger
	// ListObjects returns the objects of a kind, and false if they may be out of date.
	ListObjects func(kind string) (wire.ObjectList, bool)
	// IsNewer reports whether the objects of a kind are newer than a caller's version; nil means always.
	IsNewer func(kind string, version int) bool
	// FindStream returns what began the stream with the id, and false if that isn't known.
	FindStream func(id string) (wire.NewsStream, bool)
	// OnReply is called with the outcome of each call for objects and the bytes of its reply, which are 0 unless the outcome is
	// ReplySent. The kind is as the caller sent it and may be unknown. It may be nil.
	OnReply func(kind string, outcome ReplyOutcome, bytes int)
	// Requests gets the connections on which other instances send HTTP requests; nil means that they are closed.
	Requests *Listener

	replies replies
	// inFlight is set by Run unless a test has set it.
	inFlight *inFlight
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	if s.inFlight == nil {
		s.inFlight = newInFlight(maxSendTime)
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.Warn("peer_not_accepted", zap.Error(err))
			continue
		}
		go s.dispatch(ctx, conn)
	}
}

// dispatch handles a connection by its first byte: a JSON object or an HTTP request.
func (s *Server) dispatch(ctx context.Context, conn net.Conn) {
	c, first, err := peek(conn)
	switch {
	case err != nil:
		_ = conn.Close()
	case first == '{':
		s.serve(ctx, c)
	case s.Requests == nil || !s.Requests.offer(c):
		_ = conn.Close()
	}
}

// serve handles the calls of one peer until the peer closes the connection or ctx ends.
func (s *Server) serve(ctx context.Context, conn *peekedConn) {
	held := &hold{inFlight: s.inFlight, conn: conn.TCPConn}
	defer held.release()
	handler := jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (reply any, err error) {
		// A panic fails this call only.
		defer func() {
			if r := recover(); r != nil {
				s.Log.Error("peer_call_failed", zap.Any("panic", r), zap.String("method", req.Method), zap.Stack("stack"))
				reply, err = nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "internal error"}
			}
		}()
		switch req.Method {
		case methodObjects:
			params, err := readObjectsParams(req.Params)
			if err != nil {
				return nil, err
			}
			reply, outcome, err := s.serveObjects(held, params)
			if s.OnReply != nil {
				s.OnReply(params.Kind, outcome, len(reply))
			}
			if err != nil {
				return nil, err
			}
			return reply, nil
		case methodStream:
			return s.serveStream(req.Params)
		}
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}
	})
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(limitConn(conn, maxCallsBytes)), handler, jsonrpc2.SetLogger(rpcLog{s.Log}))
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = rpc.Close()
	}
}

func readObjectsParams(data *json.RawMessage) (params objectsParams, err error) {
	if data == nil || json.Unmarshal(*data, &params) != nil {
		return params, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "want a kind"}
	}
	return params, nil
}

// serveObjects returns the reply to a call for objects, or the error that the caller gets instead.
func (s *Server) serveObjects(held *hold, params objectsParams) (json.RawMessage, ReplyOutcome, error) {
	if params.NewerThan > 0 && s.IsNewer != nil && !s.IsNewer(params.Kind, params.NewerThan) {
		return nil, ReplyNotNewer, &jsonrpc2.Error{Code: codeNotNewer, Message: "there is nothing newer here"}
	}
	list, current := s.ListObjects(params.Kind)
	if !current {
		return nil, ReplyOutdated, &jsonrpc2.Error{Code: codeOutdated, Message: "the store is out of reach here too"}
	}
	reply, err := s.replies.encode(params.Kind, params.Encoding, list)
	switch {
	case err != nil:
		return nil, ReplyFailed, err
	case callerIsGone(held.conn):
		return nil, ReplyCallerGone, &jsonrpc2.Error{Code: codeBusy, Message: "the caller has gone"}
	case !held.add(len(reply)):
		return nil, ReplyBusy, &jsonrpc2.Error{Code: codeBusy, Message: "other replies are being sent"}
	}
	return reply, ReplySent, nil
}

func (s *Server) serveStream(data *json.RawMessage) (any, error) {
	var ask wire.StreamAsk
	if data == nil || json.Unmarshal(*data, &ask) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "want the id of a request"}
	}
	stream, ok := s.FindStream(ask.I)
	if !ok {
		return nil, &jsonrpc2.Error{Code: codeUnknownStream, Message: "what began the stream isn't known here"}
	}
	return stream, nil
}

// FetchObjects requests all objects of a kind from a peer, if they are newer than a version of which the peer can tell, or in
// any case if that is 0. It returns ErrRefused if the peer has nothing newer or may send the objects soon.
func FetchObjects(ctx context.Context, address, kind string, newerThan int) (wire.ObjectList, error) {
	var data json.RawMessage
	if err := call(ctx, address, methodObjects, objectsParams{Kind: kind, Encoding: encodingGzip, NewerThan: newerThan}, &data); err != nil {
		var refusal *jsonrpc2.Error
		if errors.As(err, &refusal) && (refusal.Code == codeBusy || refusal.Code == codeNotNewer) {
			err = ErrRefused{Address: address, Reason: refusal.Message}
		}
		return wire.ObjectList{}, err
	}
	return decodeObjects(data)
}

// FetchStream asks a peer what began the stream with the id.
func FetchStream(ctx context.Context, address, id string) (wire.NewsStream, error) {
	var stream wire.NewsStream
	err := call(ctx, address, methodStream, wire.StreamAsk{I: id}, &stream)
	return stream, err
}

// call sends one call to a peer on a connection of its own and decodes the result into result.
func call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	ignoreRequests := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return nil, nil })
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(limitConn(conn, maxReplyBytes)), ignoreRequests)
	defer func() { _ = rpc.Close() }()
	return rpc.Call(ctx, method, params, result)
}
