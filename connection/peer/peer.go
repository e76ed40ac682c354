// Package peer implements the JSON-RPC 2.0 links between instances.
//
// A slot is the capacity of a backend server to run one request. The home instance of a pool, which runs the pool's
// scheduler, gives slots to the other instances; a grant is a slot given to one request. To preempt a grant is to ask
// its holder to pause the request's stream, so that the slot becomes free.
//
// A Link is the dialling end and a Server the accepting end. The dialling end sends heartbeats (method "hello") and
// requests grants of slots. The accepting end responds and may notify the dialling end of preemptions. Each end closes
// the connection if no heartbeat succeeds for HeartbeatTimeout.
//
// Lock order: Link.mu and Server.mu are leaves; no function field is called while either is held.
package peer

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
)

// Format is the version of the message format. Instances whose versions differ by at most one work together.
const Format = 1

// Intervals and timeouts of a link.
const (
	// HeartbeatInterval is the time between two heartbeats of a link.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is the time without a heartbeat after which a peer is considered lost.
	HeartbeatTimeout = 2 * time.Second
	// writeTimeout bounds one write, since a peer may not read.
	writeTimeout = time.Second
	// dialTimeout bounds one dial and its TLS handshake.
	dialTimeout = time.Second
	// acceptRetryDelay is the delay after a failure to accept a connection, for example when file descriptors have run
	// out.
	acceptRetryDelay = 50 * time.Millisecond
	// redialDelay is the initial delay between two dials; it grows exponentially.
	redialDelay = 250 * time.Millisecond
	// maxRedialDelay bounds the delay between two dials, apart from its random jitter.
	maxRedialDelay = 2 * time.Second
)

// Names of the JSON-RPC methods.
const (
	methodHello         = "hello"
	methodAsk           = "ask"
	methodCancel        = "cancel"
	methodRelease       = "release"
	methodFirstToken    = "first"
	methodDeclareGrants = "claim"
	methodPreempt       = "preempt"
	methodExchange      = "exchange"
	methodAnnounce      = "announce"
	methodUsage         = "usage"
	methodFleet         = "fleet"
	methodStreams       = "streams"
	methodDemand        = "demand"
	methodQuarantine    = "quarantine"
)

// ErrUnsupportedFormat reports that a peer uses a message format that this instance doesn't support.
type ErrUnsupportedFormat struct {
	// Peer is the peer's instance name.
	Peer string
	// Format is the peer's format version.
	Format int
}

func (e ErrUnsupportedFormat) Error() string {
	return fmt.Sprintf("peer %s speaks format %d, this instance speaks %d", e.Peer, e.Format, Format)
}

// checkFormat returns ErrUnsupportedFormat if the version differs from Format by more than one.
func checkFormat(instance string, format int) error {
	if format < Format-1 || format > Format+1 {
		return ErrUnsupportedFormat{Peer: instance, Format: format}
	}
	return nil
}

// deadlineConn bounds each write by writeTimeout, so that a peer that doesn't read can't block a writer.
type deadlineConn struct {
	net.Conn
}

func (c deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// decode decodes the parameters of req into a value of type P.
func decode[P any](req *jsonrpc2.Request) (P, error) {
	var p P
	if req.Params == nil {
		return p, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*req.Params, &p); err != nil {
		return p, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return p, nil
}

// rpcLogger writes the log lines of the jsonrpc2 library to log.
type rpcLogger struct {
	log *zap.Logger
}

func (l rpcLogger) Printf(format string, v ...any) {
	l.log.Debug("peer_rpc", zap.String("detail", fmt.Sprintf(format, v...)))
}
