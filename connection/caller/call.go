package caller

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/oklog/ulid/v2"

	"github.com/toucanroute/toucanroute/request"
)

// Header names of the HTTP API. Callers may send HeaderClass and HeaderIdempotencyKey; each response has
// HeaderRequestID.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderClass          = "X-Toucan-Class"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	pathModels       = "/v1/models"
	pathServices     = "/v1/services/"
	methodPost       = "POST"
	methodGet        = "GET"
	headerConnection = "Connection"
)

// call holds the state of one running request.
type call struct {
	id string
	// connGuard is the guard of the connection on which the request arrived.
	connGuard *connGuard
	ctx       context.Context
	cancel    context.CancelCauseFunc
	w         *writer
	r         *http.Request
	body      []byte
	arrivedAt time.Time
	// dispatched is true once the request was passed to Server.Dispatcher, which then logs how the request ended.
	dispatched bool

	// deadlineCleared is true once clearDeadline has run; guarded by Server.mu.
	deadlineCleared bool
}

// clearDeadline removes the connection's read deadline. nbhttp sets its idle deadline on a new connection, possibly
// after the first bytes were read, and the deadline would then end the running request.
func (c *call) clearDeadline() {
	if c.deadlineCleared {
		return
	}
	c.deadlineCleared = true
	_ = c.connGuard.conn.SetReadDeadline(time.Time{})
}

// ServeHTTP serves one request and returns when its response is complete.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	g, ok := res.Parser.Processor.(*connGuard)
	if !ok {
		return
	}
	defer g.activeRequests.Add(-1)
	c := s.startCall(g, res, r)
	defer s.endCall(c)
	if err := s.serve(c); err != nil {
		s.sendError(c, err)
	}
	if c.w.unframed != nil {
		c.w.unframed.finish(s.StallTimeout)
	}
}

// startCall registers a request that has arrived completely and returns its state.
func (s *Server) startCall(g *connGuard, res *nbhttp.Response, r *http.Request) *call {
	s.runningRequests.Add(1)
	_ = g.conn.SetReadDeadline(time.Time{})
	c := &call{id: ulid.Make().String(), connGuard: g, r: r, arrivedAt: time.Now()}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.w = &writer{res: res, connGuard: g, server: s}
	c.w.Header().Set(HeaderRequestID, c.id)
	if r.Close || s.draining.Load() {
		// nbhttp would close the connection before a slow reader has received the response. Leave the closing to the
		// caller.
		r.Close = false
		c.w.Header().Set(headerConnection, "close")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c] = struct{}{}
	return c
}

// endCall cancels the request's context and releases what startCall and readBody have reserved.
func (s *Server) endCall(c *call) {
	s.mu.Lock()
	delete(s.calls, c)
	s.mu.Unlock()
	c.cancel(nil)
	s.bufferedBytes.Add(-int64(len(c.body)))
	s.runningRequests.Add(-1)
}

// serve routes a request by its path. An error is sent to the caller by ServeHTTP.
func (s *Server) serve(c *call) error {
	if err := s.checkCapacity(); err != nil {
		return err
	}
	if err := s.readBody(c); err != nil {
		return err
	}
	p := c.r.URL.Path
	switch {
	case p == request.PathChat || p == request.PathCompletions:
		return s.serveCompletion(c, p)
	case p == pathModels || strings.HasPrefix(p, pathModels+"/"):
		return s.serveModels(c, strings.TrimPrefix(p, pathModels))
	case strings.HasPrefix(c.r.URL.EscapedPath(), pathServices):
		return s.serveService(c)
	}
	return errUnknownPath
}

var errUnknownPath error = request.NewRefusal(http.StatusNotFound, request.CodeNotFound, "no such path")

// checkCapacity returns a refusal while the instance drains or runs too many requests.
func (s *Server) checkCapacity() error {
	refusal := request.ErrResponse{Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: time.Second}
	if s.draining.Load() {
		refusal.Code, refusal.Message = request.CodeLeaving, "the instance is shutting down"
		return refusal
	}
	if s.runningRequests.Load() > s.MaxRequests {
		refusal.Code, refusal.Message = request.CodeOverload, "too many requests are running"
		return refusal
	}
	return nil
}

// readBody reads the body into memory and counts it in Server.bufferedBytes.
func (s *Server) readBody(c *call) error {
	body, ok := c.r.Body.(*nbhttp.BodyReader)
	if !ok || body.Left() == 0 {
		return nil
	}
	c.body = make([]byte, body.Left())
	s.bufferedBytes.Add(int64(len(c.body)))
	_, err := io.ReadFull(body, c.body)
	return err
}

// requestMeta returns what the dispatcher needs to know about a request besides its body.
func (s *Server) requestMeta(c *call) *request.Meta {
	return &request.Meta{
		ID:             c.id,
		Key:            request.Key(c.r.Header, c.r.URL),
		Class:          c.r.Header.Get(HeaderClass),
		IdempotencyKey: c.r.Header.Get(HeaderIdempotencyKey),
		ArrivedAt:      c.arrivedAt,
	}
}

func (s *Server) serveCompletion(c *call, endpoint string) error {
	if err := checkMethod(c, methodPost); err != nil {
		return err
	}
	completion, err := request.ParseCompletion(endpoint, c.body)
	if err != nil {
		return err
	}
	if completion.Stream() && !c.r.ProtoAtLeast(1, 1) {
		return errOldProtocol
	}
	c.dispatched = true
	return s.Dispatcher.Complete(c.ctx, c.w, s.requestMeta(c), completion)
}

// serveService forwards a request for /v1/services/NAME/PATH to the service NAME.
func (s *Server) serveService(c *call) error {
	routeAndPath := strings.TrimPrefix(c.r.URL.EscapedPath(), pathServices)
	name, rawPath, _ := strings.Cut(routeAndPath, "/")
	route, err := url.PathUnescape(name)
	if err != nil || route == "" {
		return errUnknownPath
	}
	decodedPath, err := url.PathUnescape(rawPath)
	if err != nil {
		return errUnknownPath
	}
	requestMeta := s.requestMeta(c)
	header := c.r.Header.Clone()
	request.StripHopHeaders(header)
	request.StripKeyHeaders(header, requestMeta.Key)
	header.Del("Host")
	c.dispatched = true
	return s.Dispatcher.Serve(c.ctx, c.w, requestMeta, request.ServiceCall{
		Route:   route,
		Method:  c.r.Method,
		Path:    path.Clean("/" + decodedPath),
		RawPath: "/" + rawPath,
		Query:   request.StripKeyQuery(c.r.URL.RawQuery, requestMeta.Key),
		Header:  header,
		Body:    c.body,
	})
}

var errOldProtocol error = request.NewRefusal(http.StatusBadRequest, request.CodeBadRequest, "a stream needs HTTP/1.1")

func checkMethod(c *call, method string) error {
	if c.r.Method == method {
		return nil
	}
	c.w.Header().Set("Allow", method)
	return request.NewRefusal(http.StatusMethodNotAllowed, request.CodeMethodNotAllowed, "the method must be "+method)
}

// retryAfterSeconds formats d for the Retry-After header: in whole seconds, rounded up.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
