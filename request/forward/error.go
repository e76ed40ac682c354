package forward

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/request"
)

const (
	// retryAfterFull is the Retry-After value when all servers that were tried are full: about the time in which an
	// engine prefills the prompts of a full queue.
	retryAfterFull = 500 * time.Millisecond
	// retryAfterNoServer is the Retry-After value when another instance or server can probably serve the request at
	// once.
	retryAfterNoServer = 50 * time.Millisecond
	// retryAfterEvacuated is the Retry-After value when no instance can serve the request until an operator ends an
	// evacuation, or changes homes. Callers that repeat it soon only cost work.
	retryAfterEvacuated = 5 * time.Second
	// retryAfterStart is the Retry-After value of an instance that has no configuration yet: the usual time of one list
	// call to the store.
	retryAfterStart = 200 * time.Millisecond
)

func notReadyError() error {
	return request.ErrResponse{
		Status: http.StatusServiceUnavailable, Code: request.CodeNoServer, Message: "the instance has no configuration yet",
		NotRun: true, RetryAfter: retryAfterStart,
	}
}

func badRequestError(cause error) error {
	return request.ErrResponse{
		Status: http.StatusBadRequest, Code: request.CodeBadRequest, Message: "the request's headers are not valid",
		NotRun: true, Cause: cause,
	}
}

// finalError returns the error of a request that is not tried again. It says that the request has not run only if no
// server can have started to run it.
func (c *call) finalError(cause error) error {
	if !c.firstByteAt.IsZero() {
		c.outcome = OutcomeInterrupted
		return cause
	}
	if cause := context.Cause(c.ctx); cause != nil {
		return c.contextError(cause)
	}
	if c.possibleRuns == 0 {
		retryAfter := retryAfterNoServer
		if errors.Is(cause, errRefused) {
			retryAfter = retryAfterFull
		}
		return request.ErrResponse{
			Status: http.StatusServiceUnavailable, Code: request.CodeNoServer, Message: "no backend server took the request",
			NotRun: true, RetryAfter: retryAfter, Cause: cause,
		}
	}
	message := "the backend server's answer was lost"
	if rejection, ok := errors.AsType[errNotStated](cause); ok {
		message = rejection.Error()
	}
	return request.ErrResponse{
		Status: http.StatusBadGateway, Code: request.CodeOutcomeUnknown, Message: message, Cause: cause,
	}
}

// versionIsGone reports whether no server that isn't draining has the software version that began the stream.
func (c *call) versionIsGone() bool {
	if c.origin.Version == "" {
		return false
	}
	return !slices.ContainsFunc(c.f.Registry.Serving(c.pool.Name), func(srv *registry.Server) bool {
		return registry.Selection{Version: c.origin.Version, DataCentres: c.dataCentres}.Admits(srv.Entry())
	})
}

// closedSpread is the share of the time until a server opens again over which the returns of the callers are spread.
const closedSpread = 0.25

// maxAllowanceWait is how far ahead this instance's share of the servers' limits is looked at. Other instances may have
// theirs before.
const maxAllowanceWait = 2 * time.Second

// nextOpening returns the earliest time at which a server takes the request that has closed itself for a while, or whose
// limit is used up; false if there is no such server.
func (c *call) nextOpening() (time.Time, bool) {
	opensAt, closed := c.f.Registry.NextOpening(c.pool.Name, c.selection())
	allowedAt, limited := c.f.Registry.NextAllowance(c.pool.Name, c.selection(), maxAllowanceWait)
	if limited && (!closed || allowedAt.Before(opensAt)) {
		return allowedAt, true
	}
	return opensAt, closed
}

// noServerLeftError returns the error of a request for which no server is left to try. If servers of the pool have only
// closed themselves for a while, have a limit that is used up or are brittle and full, a caller whose request has not run
// is told when the first of them takes requests again.
func (c *call) noServerLeftError() error {
	if c.firstByteAt.IsZero() && c.possibleRuns == 0 && c.versionIsGone() {
		return goneOriginError()
	}
	err := c.finalError(errors.New("no backend server is left"))
	opensAt, ok := c.nextOpening()
	if !ok && c.f.Registry.IsBrittle(c.pool.Name) {
		opensAt, ok = time.Now().Add(retryAfterFull), true
	}
	var response request.ErrResponse
	if !errors.As(err, &response) || !response.NotRun {
		return err
	}
	if !ok && c.isShut() {
		response.Message, response.RetryAfter = "no backend server may take the request", retryAfterEvacuated
		return response
	}
	if !ok {
		return err
	}
	wait := time.Until(opensAt)
	response.Code, response.Message = request.CodeOverload, "the backend servers accept no requests for a while"
	response.RetryAfter = max(response.RetryAfter, wait+time.Duration(closedSpread*rand.Float64()*float64(wait)))
	return response
}

// isShut reports whether operators keep the request from all servers of the pool: by evacuations, or by homes in which
// no server serves.
func (c *call) isShut() bool {
	if c.f.Registry.IsEvacuated(c.pool.Name) {
		return true
	}
	serving := c.f.Registry.Serving(c.pool.Name)
	return c.dataCentres != nil && len(serving) > 0 && !slices.ContainsFunc(serving, func(srv *registry.Server) bool { return c.dataCentres[srv.Entry().DataCentre] })
}

// contextError returns the error of a request whose context was cancelled with the cause.
func (c *call) contextError(cause error) error {
	if errors.Is(cause, errStopping) {
		return c.stoppingError()
	}
	if !errors.Is(cause, errTimeout) {
		return errCallerLeft
	}
	if c.possibleRuns == 0 {
		return request.ErrResponse{
			Status: http.StatusServiceUnavailable, Code: request.CodeDeadline, Message: "no backend server took the request in time",
			NotRun: true, RetryAfter: retryAfterNoServer, Cause: cause,
		}
	}
	return request.ErrResponse{
		Status: http.StatusGatewayTimeout, Code: request.CodeDeadline, Message: "the backend server didn't answer in time", Cause: cause,
	}
}

var errCallerLeft = errors.New("the caller disconnected")

// writeError sends the instance's own error response, unless the caller disconnected or the response has already
// started.
func (c *call) writeError(err error) {
	if c.outcome == OutcomeInterrupted {
		return
	}
	if errors.Is(err, errCallerLeft) {
		c.outcome = OutcomeCallerLeft
		return
	}
	response := request.ResponseOf(err)
	c.outcome, c.status, c.errorCode = OutcomeInstanceError, response.Status, response.Code
	c.f.Log.Info("request_refused",
		zap.String("request_id", c.meta.ID),
		zap.Int("status", response.Status),
		zap.String("code", response.Code),
		zap.Bool("not_run", response.NotRun),
		zap.Duration("retry_after", response.RetryAfter),
		zap.Error(response.Cause),
	)
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	if response.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if c.isRelayed {
		// Without its id, the response would count as another request's on a connection that has carried some.
		h.Set(c.f.Headers.ID, c.meta.ID)
		h.Set(headerRelayError, response.Code)
		h.Set(headerRelaySent, strconv.Itoa(c.sends))
	}
	body, _ := json.Marshal(response.Body(c.meta.ID))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(response.Status)
	_, _ = c.w.Write(body)
}
