package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/request"
)

// errStopping is the cause with which the running requests are cancelled when the instance stops.
var errStopping = errors.New("the instance is stopping")

// EndRequests cancels the running requests and all later ones. Each of them is answered that it may have run, or that it
// hasn't, and a response that has begun is broken off.
func (f *Forwarder) EndRequests() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	for c := range f.running {
		c.cancel(errStopping)
	}
}

// Refuse answers a request that arrives when the instance takes none any more, because it stops.
func (f *Forwarder) Refuse(w http.ResponseWriter, r *http.Request) { f.refuse(w, r, false) }

// RefuseRelayed does the same for a request that another instance relayed, so that this one tries a further instance.
func (f *Forwarder) RefuseRelayed(w http.ResponseWriter, r *http.Request) { f.refuse(w, r, true) }

func (f *Forwarder) refuse(w http.ResponseWriter, r *http.Request, isRelayed bool) {
	c := &call{f: f, w: w, r: r, arrivedAt: time.Now(), ctx: r.Context(), isRelayed: isRelayed}
	// A request with invalid headers is refused too, without its id.
	c.meta, _ = f.Headers.ReadRequest(r.Header)
	c.writeError(c.stoppingError())
	c.logRequest()
}

// addRunning and removeRunning keep the running requests.
func (f *Forwarder) addRunning(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		c.cancel(errStopping)
		return
	}
	if f.running == nil {
		f.running = map[*call]struct{}{}
	}
	f.running[c] = struct{}{}
}

func (f *Forwarder) removeRunning(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, c)
}

// isStopping reports whether the request was cancelled because the instance stops.
func (c *call) isStopping() bool { return errors.Is(context.Cause(c.ctx), errStopping) }

// stoppingError returns the error of a request that the instance ends, or doesn't take, because it stops.
func (c *call) stoppingError() error {
	if c.possibleRuns > 0 {
		return request.ErrResponse{
			Status: http.StatusBadGateway, Code: request.CodeOutcomeUnknown, Message: "the instance stopped before the backend server's answer arrived", Cause: errStopping,
		}
	}
	code := request.CodeLeaving
	if c.isRelayed {
		// The instance that relayed the request tries another one only after this code.
		code = request.CodeNoServer
	}
	return request.ErrResponse{
		Status: http.StatusServiceUnavailable, Code: code, Message: "the instance is stopping", NotRun: true, RetryAfter: retryAfterNoServer, Cause: errStopping,
	}
}

// logEnded writes that the request was ended because the instance stops.
func (c *call) logEnded() {
	c.f.Log.Info("request_ended",
		zap.String("request_id", c.meta.ID),
		zap.String("cause", "instance stopping"),
		zap.Int("status", c.status),
		zap.Int("possible_runs", c.possibleRuns),
		zap.Bool("begun", !c.firstByteAt.IsZero()),
		zap.Bool("relayed", c.isRelayed),
		zap.Duration("total", time.Since(c.arrivedAt)),
	)
}
