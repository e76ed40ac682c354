package forward

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/memory"
	"github.com/toucanroute/toucanroute/request"
)

const (
	// requestBytes is the memory that a running request takes beside its body, its response and a long head: the buffers and
	// goroutines of the caller's and the server's connection, and a head of the usual length.
	requestBytes = 24 << 10
	// headCopies is the number of copies of a head that a running request holds: as it was read, parsed, sent on, and the parts
	// of the prompt.
	headCopies = 4
	// bodyStallTimeout is the time in which some of a body must arrive. A caller that sends it byte by byte is served as
	// long as its timeout and the route's last.
	bodyStallTimeout = 10 * time.Second
	// refusalReadTimeout is the time for which the rest of a body is read and dropped before its request is refused for
	// lack of memory: a caller that still sends may not read the refusal.
	refusalReadTimeout = 100 * time.Millisecond
	// memoryRetryAfter and memoryRetrySpread are the shortest Retry-After and its random part if there is no memory for a
	// request: another instance probably serves it at once, and the callers mustn't return together.
	memoryRetryAfter, memoryRetrySpread = retryAfterNoServer, 200 * time.Millisecond
)

// takeMemory takes the memory of a request, or refuses it.
func (c *call) takeMemory() error {
	size := int64(requestBytes + headCopies*headBytes(c.r))
	if !c.f.Memory.TryTake(size, memory.NewRequest(c.rank)) {
		return c.memoryError(int(size))
	}
	c.memory = size
	return nil
}

// headBytes returns the length of the target and the headers of a request.
func headBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return n
}

// returnMemory returns the memory of a request, its body and the head of its response.
func (c *call) returnMemory() {
	c.returnHeadMemory()
	c.requestBody.reset()
	c.f.Memory.Return(c.memory)
	c.memory = 0
}

// memoryError returns the error of a request for which there is no memory. What arrives of its body is dropped.
func (c *call) memoryError(wanted int) error {
	stats := c.f.Memory.Stats()
	if c.r.Body != nil && c.r.ContentLength != 0 {
		body := patientReader{body: c.r.Body, rc: http.NewResponseController(c.w)}
		body.discard(refusalReadTimeout)
	}
	c.f.Log.Info("request_without_memory", zap.String("request_id", c.meta.ID), zap.Int("rank", c.rank),
		zap.Int("wanted", wanted), zap.Int64("taken", stats.Taken), zap.Int64("size", stats.Size))
	return request.ErrResponse{
		Status: http.StatusServiceUnavailable, Code: request.CodeOverload, Message: "the instance has no memory left for the request",
		NotRun: true, RetryAfter: memoryRetryAfter + rand.N(memoryRetrySpread),
	}
}

// errBodyTooLarge is the refusal of a request whose body is too large.
func errBodyTooLarge() error {
	return request.NewRefusal(http.StatusRequestEntityTooLarge, request.CodeBodyTooLarge, "the request's body is too large")
}

// readBody buffers the body, so that it can be sent again to another server. Its memory is taken as it arrives.
func (c *call) readBody() error {
	limit := c.config.Limits().BodyBytes
	if limit > 0 && c.r.ContentLength > int64(limit) {
		return errBodyTooLarge()
	}
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return nil
	}
	// One byte more than the body lets its end be read.
	c.requestBody = buffer{budget: c.f.Memory, use: memory.NewRequest(c.rank), maxBytes: math.MaxInt}
	switch {
	case c.r.ContentLength > 0:
		c.requestBody.maxBytes = int(c.r.ContentLength) + 1
	case limit > 0:
		c.requestBody.maxBytes = limit + 1
	}
	body := patientReader{body: c.r.Body, rc: http.NewResponseController(c.w), ctx: c.ctx, until: c.callerLimit()}
	stop := context.AfterFunc(c.ctx, body.interrupt)
	err := c.requestBody.readAll(&body)
	stop()
	switch size := len(c.requestBody.data); {
	case limit > 0 && size > limit:
		return errBodyTooLarge()
	case errors.Is(err, errBufferFull):
		c.requestBody.reset()
		return c.memoryError(bufferGrowth * size)
	case err != nil:
		return c.bodyError(err, &body)
	}
	body.setDeadline(time.Time{})
	c.body = c.requestBody.data
	return nil
}

// bodyError returns the error of a request whose body could not be read.
func (c *call) bodyError(err error, body *patientReader) error {
	if c.isStopping() {
		return c.stoppingError()
	}
	response := request.ErrResponse{Status: http.StatusBadRequest, Code: request.CodeBadRequest, Message: "the request's body didn't arrive whole", NotRun: true, Cause: err}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		response.Status = http.StatusRequestTimeout
		if !body.until.IsZero() && !time.Now().Before(body.until) {
			response.Status, response.Code, response.RetryAfter = http.StatusServiceUnavailable, request.CodeDeadline, retryAfterNoServer
		}
	}
	return response
}

// callerLimit returns the time at which the request's time is over; zero if it has no limit.
func (c *call) callerLimit() time.Time {
	limit := c.responseLimit()
	if limit == 0 {
		return time.Time{}
	}
	return c.arrivedAt.Add(limit)
}

// patientReader reads a request's body as long as some of it keeps arriving and the request's time isn't over.
type patientReader struct {
	body io.Reader
	rc   *http.ResponseController
	// ctx ends the read; see interrupt. It is nil if nothing does.
	ctx context.Context
	// until is the time at which the request's time is over; zero if there is no limit.
	until time.Time
}

// Read reads from the body. It returns an os.ErrDeadlineExceeded if nothing arrives or the read is interrupted.
func (r *patientReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(bodyStallTimeout)
	if !r.until.IsZero() && r.until.Before(deadline) {
		deadline = r.until
	}
	r.setDeadline(deadline)
	if r.ctx != nil && r.ctx.Err() != nil {
		return 0, os.ErrDeadlineExceeded
	}
	return r.body.Read(p)
}

// interrupt ends a pending read once ctx has ended.
func (r *patientReader) interrupt() { r.setDeadline(time.Unix(1, 0)) }

// setDeadline sets the time until which the next read waits. A response writer without deadlines isn't a connection.
func (r *patientReader) setDeadline(t time.Time) { _ = r.rc.SetReadDeadline(t) }

// discard drops what arrives of the body for a time. The connection closes after the response if more is left. Otherwise
// net/http already waits for the next request, and takes a deadline in the past for the caller's leaving.
func (r *patientReader) discard(d time.Duration) {
	r.setDeadline(time.Now().Add(d))
	next := time.Time{}
	if _, err := io.Copy(io.Discard, r.body); err != nil {
		next = time.Unix(1, 0)
	}
	r.setDeadline(next)
}
