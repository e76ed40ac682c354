package caller

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/toucanroute/toucanroute/request"
)

const (
	// maxPipelinedRequests bounds the requests of one connection that wait for their turn or run.
	maxPipelinedRequests = 8
	// maxHeaderLines bounds the header lines of one request.
	maxHeaderLines = 100
	// lingerTime is the time for which a connection stays open after a refusal. Closing it at once would send a reset,
	// and the caller could lose the response.
	lingerTime = time.Second
)

// connGuard sits between one connection and its HTTP parser. It limits the size of a request and the time in which the
// request must arrive, and sends an error response before it closes the connection of a refused request. It also counts
// the response bytes that wait to be written to the socket, so that writer can block while the caller reads too slowly.
//
// A connGuard is installed as the parser's Processor and as the connection's session.
type connGuard struct {
	nbhttp.Processor
	server *Server
	conn   *nbio.Conn
	parser *nbhttp.Parser

	// initialized is set after the fields above. The goroutines of nbio, which read the connection's input and close it,
	// load it before they read those fields: only the kernel orders the accepting goroutine before the poller, and Go's
	// memory model doesn't cover that.
	initialized atomic.Bool
	// inputClosed is true once further input of the connection is ignored.
	inputClosed atomic.Bool
	// activeRequests is the number of requests of the connection that wait or run.
	activeRequests atomic.Int32
	// pendingBytes is the number of response bytes that are not yet written to the socket.
	pendingBytes atomic.Int64
	// heldBytes is the number of request bytes that the connection has added to Server.bufferedBytes.
	heldBytes atomic.Int64
	// writtenBytes is the number of response bytes that were written to the socket.
	writtenBytes atomic.Int64

	// The fields from here to mu are used by the goroutine of nbio's poller only.

	// requestStarted is true from the first byte of a request to its last.
	requestStarted bool
	// inBody is true from the end of the headers to the end of the body.
	inBody bool
	// headerBytes and headerLines count the bytes and lines of the headers of the current request.
	headerBytes int
	headerLines int
	// bodyFraming holds the headers of the current request that state its body's length.
	bodyFraming bodyFraming
	// bodyBytes counts the received bytes of the current body.
	bodyBytes int
	// refusal is the error response to the current request; nil if no parser callback has refused it.
	refusal *request.ErrResponse

	mu sync.Mutex
	// timeoutTimer refuses a request that doesn't arrive in time; nil while no request is arriving.
	timeoutTimer *time.Timer
}

var errRefused = errors.New("request refused")

// UnderlayerConn returns the connection under the parser.
func (g *connGuard) UnderlayerConn() net.Conn {
	if !g.initialized.Load() {
		return nil
	}
	return g.parser.UnderlayerConn()
}

// CloseAndClean closes the parser and releases the connection's buffered bytes.
func (g *connGuard) CloseAndClean(err error) {
	if !g.initialized.Load() {
		return
	}
	g.stopTimer()
	g.parser.CloseAndClean(err)
	g.releaseBuffered()
}

// Close releases what the processor holds. The parser calls it, also when nbio closes the parser without the guard.
func (g *connGuard) Close(parser *nbhttp.Parser, err error) {
	if g.initialized.Load() {
		g.Processor.Close(parser, err)
	}
}

// Clean does the same without an error.
func (g *connGuard) Clean(parser *nbhttp.Parser) {
	if g.initialized.Load() {
		g.Processor.Clean(parser)
	}
}

// Parse passes bytes from the caller to the parser. It handles invalid input itself, by a refusal, and returns no
// error.
func (g *connGuard) Parse(data []byte) error {
	if !g.initialized.Load() || g.inputClosed.Load() {
		return nil
	}
	g.requestStarted = true
	if !g.inBody {
		g.headerBytes += len(data)
	}
	g.addBuffered(int64(len(data)))
	err := g.parser.Parse(data)
	if g.refusal != nil {
		g.refuse(*g.refusal)
		return nil
	}
	if err != nil {
		g.refuse(parseErrorRefusal(err))
		return nil
	}
	if !g.requestStarted {
		g.stopTimer()
		return nil
	}
	if !g.inBody && g.headerBytes > g.server.MaxHeaderBytes {
		g.refuse(errHeadersTooLarge)
		return nil
	}
	if g.server.bufferedBytes.Load() > g.server.MaxBufferedBytes {
		g.refuse(errBuffersFull)
		return nil
	}
	g.startTimer()
	return nil
}

var (
	errHeadersTooLarge = request.NewRefusal(http.StatusRequestHeaderFieldsTooLarge, request.CodeHeadersTooLarge, "the request's headers are too large")
	errBodyTooLarge    = request.NewRefusal(http.StatusRequestEntityTooLarge, request.CodeBodyTooLarge, "the request's body is too large")
	errRequestTimeout  = request.NewRefusal(http.StatusRequestTimeout, request.CodeRequestTimeout, "the request didn't arrive in time")
	errMalformed       = request.NewRefusal(http.StatusBadRequest, request.CodeBadRequest, "the request is not valid HTTP/1.1")
	errBuffersFull     = request.ErrResponse{
		Status:     http.StatusServiceUnavailable,
		Code:       request.CodeOverload,
		Message:    "too many bodies are being received",
		NotRun:     true,
		RetryAfter: time.Second,
	}
)

// parseErrorRefusal returns the error response for input that the parser has rejected with err.
func parseErrorRefusal(err error) request.ErrResponse {
	if errors.Is(err, nbhttp.ErrTooLong) {
		return errBodyTooLarge
	}
	return errMalformed
}

// addBuffered counts n more received bytes of the request that is arriving.
func (g *connGuard) addBuffered(n int64) {
	g.heldBytes.Add(n)
	g.server.bufferedBytes.Add(n)
}

// releaseBuffered removes the connection's bytes from Server.bufferedBytes.
func (g *connGuard) releaseBuffered() {
	g.server.bufferedBytes.Add(-g.heldBytes.Swap(0))
}

// OnHeader refuses requests with too many header lines or an ambiguous body length.
func (g *connGuard) OnHeader(parser *nbhttp.Parser, key, value string) {
	g.headerLines++
	if g.headerLines > maxHeaderLines && g.refusal == nil {
		g.refusal = &errHeadersTooLarge
	}
	if g.refusal == nil && !g.bodyFraming.add(key, value) {
		g.refusal = &errMalformed
	}
	if g.refusal == nil {
		g.Processor.OnHeader(parser, key, value)
	}
}

// OnContentLength is called by the parser at the end of the headers. It refuses a body that is declared too large.
func (g *connGuard) OnContentLength(parser *nbhttp.Parser, n int) {
	g.inBody = true
	if n > g.server.MaxBodyBytes && g.refusal == nil {
		g.refusal = &errBodyTooLarge
	}
	g.Processor.OnContentLength(parser, n)
}

// OnBody passes a part of the body on. It refuses a body that grows too large.
func (g *connGuard) OnBody(parser *nbhttp.Parser, data []byte) error {
	g.bodyBytes += len(data)
	if g.bodyBytes > g.server.MaxBodyBytes {
		g.refusal = &errBodyTooLarge
	}
	if g.refusal != nil {
		return errRefused
	}
	return g.Processor.OnBody(parser, data)
}

// OnComplete passes a complete request on to the handler, unless it was refused.
func (g *connGuard) OnComplete(parser *nbhttp.Parser) {
	g.requestStarted, g.inBody = false, false
	g.headerBytes, g.headerLines, g.bodyBytes = 0, 0, 0
	g.bodyFraming = bodyFraming{}
	g.releaseBuffered()
	if g.refusal != nil {
		return
	}
	if g.activeRequests.Add(1) > maxPipelinedRequests {
		g.refusal = &errMalformed
		return
	}
	g.Processor.OnComplete(parser)
}

// refuse ignores further input and sends an error response after the responses to the connection's running requests. It
// closes the connection after lingerTime.
func (g *connGuard) refuse(refusal request.ErrResponse) {
	if g.inputClosed.Swap(true) {
		g.releaseBuffered()
		return
	}
	g.CloseAndClean(errRefused)
	g.conn.Execute(func() {
		g.server.writeRefusal(g.parser.Conn, refusal)
		g.closeAfterLinger()
	})
}

// closeAfterLinger ignores further input and closes the connection once the caller has had time to read the response.
func (g *connGuard) closeAfterLinger() {
	g.inputClosed.Store(true)
	time.AfterFunc(lingerTime, func() { _ = g.conn.Close() })
}

// startTimer starts timeoutTimer unless it runs already.
func (g *connGuard) startTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timeoutTimer == nil {
		g.timeoutTimer = time.AfterFunc(g.server.RequestTimeout, func() { g.refuse(errRequestTimeout) })
	}
}

func (g *connGuard) stopTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timeoutTimer != nil {
		g.timeoutTimer.Stop()
		g.timeoutTimer = nil
	}
}

func (g *connGuard) isClosed() bool {
	closed, _ := g.conn.IsClosed()
	return closed
}

// onBytesWritten counts n response bytes as written. It is called with the connection's lock held.
func (g *connGuard) onBytesWritten(n int64) {
	g.writtenBytes.Add(n)
	if g.pendingBytes.Add(-n) < 0 {
		g.pendingBytes.Store(0)
	}
}
