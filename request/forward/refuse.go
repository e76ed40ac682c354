package forward

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/request"
)

const (
	// retryFull is when to come back where all servers that were asked are full: about the time in which an engine reads
	// what stands in a full line.
	retryFull = 500 * time.Millisecond
	// retrySoon is when to come back where another instance or server can serve the request at once.
	retrySoon = 50 * time.Millisecond
	// retryStarting is when to come back to an instance that has no configuration yet: the usual time of one list call.
	retryStarting = 200 * time.Millisecond
)

func notReady() error {
	return request.ErrAnswer{
		Status: http.StatusServiceUnavailable, Code: request.CodeNoServer, Message: "the instance has no configuration yet",
		NotRun: true, RetryAfter: retryStarting,
	}
}

func badRequest(cause error) error {
	return request.ErrAnswer{
		Status: http.StatusBadRequest, Code: request.CodeBadRequest, Message: "the request's headers are not valid",
		NotRun: true, Cause: cause,
	}
}

// giveUp returns the answer of a request that can't be served any more. It says that the request hasn't run only where no
// server can have begun with it.
func (c *call) giveUp(cause error) error {
	if !c.firstAt.IsZero() {
		c.outcome = OutcomeBroken
		return cause
	}
	if cause := context.Cause(c.ctx); cause != nil {
		return c.ended(cause)
	}
	if c.ran == 0 {
		retryAfter := retrySoon
		if errors.Is(cause, errRefused) {
			retryAfter = retryFull
		}
		return request.ErrAnswer{
			Status: http.StatusServiceUnavailable, Code: request.CodeNoServer, Message: "no backend server took the request",
			NotRun: true, RetryAfter: retryAfter, Cause: cause,
		}
	}
	return request.ErrAnswer{
		Status: http.StatusBadGateway, Code: request.CodeOutcomeUnknown, Message: "the backend server's answer was lost", Cause: cause,
	}
}

// ended returns the answer of a request whose context ended.
func (c *call) ended(cause error) error {
	if !errors.Is(cause, errTimeout) {
		return errCallerLeft
	}
	if c.ran == 0 {
		return request.ErrAnswer{
			Status: http.StatusServiceUnavailable, Code: request.CodeDeadline, Message: "no backend server took the request in time",
			NotRun: true, RetryAfter: retrySoon, Cause: cause,
		}
	}
	return request.ErrAnswer{
		Status: http.StatusGatewayTimeout, Code: request.CodeDeadline, Message: "the backend server didn't answer in time", Cause: cause,
	}
}

var errCallerLeft = errors.New("the caller left")

// fail ends a request with the instance's own answer.
func (c *call) fail(err error) {
	if c.outcome == OutcomeBroken {
		return
	}
	if errors.Is(err, errCallerLeft) {
		c.outcome = OutcomeLeft
		return
	}
	answer := request.AnswerOf(err)
	c.outcome, c.status, c.code = OutcomeOwn, answer.Status, answer.Code
	c.f.Log.Info("request_refused",
		zap.String("request_id", c.ask.ID),
		zap.Int("status", answer.Status),
		zap.String("code", answer.Code),
		zap.Bool("not_run", answer.NotRun),
		zap.Duration("retry_after", answer.RetryAfter),
		zap.Error(answer.Cause),
	)
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	if answer.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body, _ := json.Marshal(answer.Body(c.ask.ID))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(answer.Status)
	_, _ = c.w.Write(body)
}
