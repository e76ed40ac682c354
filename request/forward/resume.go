package forward

import (
	"net/http"
	"slices"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/streamorigin"
	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/version/hostroute"
)

// findOrigin finds out what began the stream that the caller takes up, so that only that pool and software version go on
// with it. It returns an error if that isn't known while it makes a difference.
func (c *call) findOrigin() error {
	if c.route.Kind != hostroute.Stream || c.meta.LastEventID == "" && c.meta.Resumes == "" {
		return nil
	}
	origin, known := c.knownOrigin()
	c.f.Log.Info("stream_taken_up",
		zap.String("request_id", c.meta.ID),
		zap.String("resumes", c.meta.Resumes),
		zap.String("last_event", c.meta.LastEventID),
		zap.Bool("known", known),
		zap.String("pool", origin.Pool),
		zap.String("version", origin.Version),
	)
	switch {
	case known:
		return c.restrictTo(origin)
	case c.meta.LastEventID == "":
		// The caller has no event that the new stream would have to fit.
		return nil
	}
	return unknownOriginError()
}

// knownOrigin returns what began the stream that the caller takes up. A caller that names no request may go on if the
// pool's servers have had one version only.
func (c *call) knownOrigin() (streamorigin.Origin, bool) {
	if c.meta.Resumes != "" {
		return c.f.FindStream(c.ctx, c.meta.Resumes)
	}
	version, ok := c.f.Registry.OnlyVersion(c.pool.Name)
	return streamorigin.Origin{Pool: c.pool.Name, Version: version}, ok
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

// unknownOriginError is the error of a stream of which no instance that answers knows what began it. Another instance
// may know.
func unknownOriginError() error {
	return request.ErrResponse{
		Status: http.StatusServiceUnavailable, Code: request.CodeNotResumable, Message: "what began the stream isn't known here",
		NotRun: true, RetryAfter: retryAfterNoServer,
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
