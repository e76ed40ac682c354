package forward

import (
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/streamorigin"
	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/version/hostroute"
)

// findOrigin finds out what began the stream that the caller takes up, so that only that pool and software version go on
// with it. It returns an error if that isn't known while it makes a difference. That holds for all streams, since servers go
// on after the event that a caller names on any route.
func (c *call) findOrigin() error {
	if c.route.Kind != hostroute.Stream || c.meta.LastEventID == "" && c.meta.Resumes == "" {
		return nil
	}
	if _, ok := eventNumber(c.meta.LastEventID); !ok && c.meta.LastEventID != "" {
		c.observeTakeUp(takeUpRefused)
		return notComparableError()
	}
	origin, known := c.knownOrigin()
	answer := streamorigin.NotKnown
	if !known && c.meta.LastEventID != "" {
		origin, answer = c.f.OnlyOrigin(c.ctx, c.route.Host, c.route.Prefix)
	}
	inferred := answer == streamorigin.Single
	c.f.Log.Info("stream_taken_up",
		zap.String("request_id", c.meta.ID),
		zap.String("resumes", c.meta.Resumes),
		zap.String("last_event", c.meta.LastEventID),
		zap.Bool("known", known),
		zap.Bool("inferred", inferred),
		zap.String("pool", origin.Pool),
		zap.String("version", origin.Version),
	)
	switch {
	case known:
		return c.goOn(origin, takeUpKnown)
	case c.meta.LastEventID == "":
		// The caller has no event that the new stream would have to fit.
		c.observeTakeUp(takeUpAnew)
		return nil
	case inferred:
		c.rememberOrigin(origin)
		return c.goOn(origin, takeUpInferred)
	}
	c.observeTakeUp(takeUpRefused)
	if answer == streamorigin.Several {
		return severalOriginsError()
	}
	return unknownOriginError()
}

// Results of streams that callers take up, as Forwarder.ObserveTakeUp gets them: an instance knows what began the stream,
// only one software may have begun it, the caller has no event yet, or the stream is refused.
const (
	takeUpKnown    = "known"
	takeUpInferred = "inferred"
	takeUpAnew     = "anew"
	takeUpRefused  = "refused"
)

func (c *call) observeTakeUp(result string) {
	if c.f.ObserveTakeUp != nil {
		c.f.ObserveTakeUp(result)
	}
}

// knownOrigin returns what began the stream that the caller takes up, if the caller names the request that brought the
// first event and an instance remembers that.
func (c *call) knownOrigin() (streamorigin.Origin, bool) {
	if c.meta.Resumes == "" {
		return streamorigin.Origin{}, false
	}
	return c.f.FindStream(c.ctx, c.meta.Resumes)
}

// rememberOrigin remembers what began the stream, which may not be certain any more when the caller takes it up once more.
func (c *call) rememberOrigin(origin streamorigin.Origin) { c.f.BeginStream(c.beganBy(), origin) }

// beganBy returns the id of the request that brought the stream's first event, as far as the caller tells of an earlier one.
func (c *call) beganBy() string {
	if c.meta.Resumes != "" {
		return c.meta.Resumes
	}
	return c.meta.ID
}

// goOn has the stream go on at the origin, and counts the result.
func (c *call) goOn(origin streamorigin.Origin, result string) error {
	err := c.restrictTo(origin)
	if err != nil {
		result = takeUpRefused
	}
	c.observeTakeUp(result)
	return err
}

// restrictTo lets only servers of the origin's pool and version serve the request. It returns an error if the
// configuration doesn't lead the route to that pool any more.
func (c *call) restrictTo(origin streamorigin.Origin) error {
	leads := slices.ContainsFunc(c.route.Shares, func(s hostroute.Share) bool { return s.Pool == origin.Pool })
	pool, ok := c.config.Pool(origin.Pool)
	if !leads || !ok {
		return goneOriginError()
	}
	c.pool, c.origin = pool, origin
	return nil
}

// retryAfterUnknownOrigin is the Retry-After value while this instance doesn't know what it has to: about the time until an
// instance that has just started does, and a part of the gap of two seconds after which callers give a stream up.
const retryAfterUnknownOrigin = 500 * time.Millisecond

// unknownOriginError is the error of a stream of which no instance that answers knows what began it, while this one lacks
// some of what it has to know. Another instance may know, or this one later.
func unknownOriginError() error {
	return request.ErrResponse{
		Status: http.StatusServiceUnavailable, Code: request.CodeNotResumable, Message: "what began the stream isn't known here",
		NotRun: true, RetryAfter: retryAfterUnknownOrigin,
	}
}

// severalOriginsError is the error of a stream that several pools or software versions may have begun, which no instance
// remembers. It names no time to come back, since nothing more will be known while a caller waits.
func severalOriginsError() error {
	return request.ErrResponse{
		Status: http.StatusServiceUnavailable, Code: request.CodeNotResumable, Message: "it isn't known which software began the stream",
		NotRun: true,
	}
}

// goneOriginError is the error of a stream whose pool or software version serves no more. It names no time to come back,
// since a new stream is the caller's only way.
func goneOriginError() error {
	return request.ErrResponse{
		Status: http.StatusServiceUnavailable, Code: request.CodeNotResumable, Message: "no server of the software that began the stream is left",
		NotRun: true,
	}
}

// notComparableError is the error of a stream whose caller names an event by no number, so that it wouldn't show whether a
// server goes on from there.
func notComparableError() error {
	return request.ErrResponse{
		Status: http.StatusServiceUnavailable, Code: request.CodeNotResumable, Message: "the last event's id is no number",
		NotRun: true,
	}
}
