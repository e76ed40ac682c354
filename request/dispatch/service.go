package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/wire"
)

// Serve runs a call of a plain service and writes the service's response to w. An error is of type request.ErrResponse;
// then nothing was written to w.
func (d *Dispatcher) Serve(ctx context.Context, w http.ResponseWriter, meta *request.Meta, call request.ServiceCall) error {
	r, err := d.start(ctx, meta, &AuthRequest{
		Key:    meta.Key,
		Kind:   wire.RouteKindService,
		Route:  call.Route,
		Class:  meta.Class,
		Method: call.Method,
		Path:   call.Path,
	})
	if err != nil {
		return r.end(err)
	}
	defer r.withDeadline()()
	call.Idempotent = r.authorization.Idempotent
	response, err := r.serve(call)
	if err != nil {
		return r.end(err)
	}
	if response.Release != nil {
		defer response.Release()
	}
	r.summary.FirstToken = time.Since(meta.ArrivedAt)
	if d.CountUsage != nil {
		d.CountUsage(r.authorization.Workspace, r.authorization.Class.Name, 0, 0)
	}
	writeServiceResponse(w, response)
	return r.end(nil)
}

// serve sends the call to one backend server after the other until one responds or no retry is allowed. It releases the
// claim if no byte was sent.
func (r *run) serve(call request.ServiceCall) (request.ServiceResponse, error) {
	r.identifyCall(&call)
	claim := r.claimFor(call)
	claimed := false
	for r.attempt = 1; ; r.attempt++ {
		response, err := r.tryCall(call, claim, &claimed)
		if err == nil {
			return response, nil
		}
		if r.mayRetry(err) {
			continue
		}
		if claimed && !r.maybeSent && r.d.ReleaseClaim != nil {
			r.d.ReleaseClaim(context.WithoutCancel(r.ctx), *claim)
		}
		return response, err
	}
}

// claimFor returns the claim that must be made before the call is sent; nil if the call needs none.
func (r *run) claimFor(call request.ServiceCall) *ClaimRequest {
	if r.authorization.Idempotent || r.meta.IdempotencyKey == "" || r.d.Claim == nil {
		return nil
	}
	h := xxhash.New()
	_, _ = h.WriteString(call.Route + " " + call.Method + " " + call.Path + "?" + call.Query + "\n")
	_, _ = h.Write(call.Body)
	return &ClaimRequest{
		Workspace:   r.authorization.Workspace,
		Key:         r.meta.IdempotencyKey,
		Fingerprint: fmt.Sprintf("%016x", h.Sum64()),
		RequestID:   r.meta.ID,
	}
}

// tryCall runs one attempt. The claim is made only once, right before the first send, after the slot was granted; then
// *claimed is set.
func (r *run) tryCall(call request.ServiceCall, claim *ClaimRequest, claimed *bool) (request.ServiceResponse, error) {
	if err := r.checkQuarantine(); err != nil {
		return request.ServiceResponse{}, err
	}
	grant, address, err := r.acquire(0, "")
	if err != nil {
		return request.ServiceResponse{}, err
	}
	release := wire.GrantRelease{Pool: r.authorization.Route.Pool}
	defer func() { grant.Release(release) }()
	if claim != nil && !*claimed {
		if err := r.d.Claim(r.ctx, *claim); err != nil {
			return request.ServiceResponse{}, err
		}
		*claimed = true
	}
	r.summary.Attempts++
	ctx, cancel := r.beginAttempt(grant.Server())
	defer r.endAttempt(cancel)
	call.ID, call.Address = r.attemptID(), address
	start := time.Now()
	response, err := r.d.Call(ctx, call)
	release.DurationMs = int(time.Since(start).Milliseconds())
	r.recordSent(err)
	if err != nil {
		r.reportIfCrashed(grant.Server(), address, time.Time{}, err)
		release.Failed = r.ctx.Err() == nil
		r.excludedServers = append(r.excludedServers, grant.Server())
		return response, err
	}
	if isSuccess(response.Status) {
		r.recordAnswered(grant.Server(), address, response.Framing)
	}
	release.FirstTokenMs = max(release.DurationMs, 1)
	return response, nil
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// writeServiceResponse writes the response of a service. If it ended with its connection, so does the caller's: a length
// would vouch for its completeness. As in net/http, the transfer encoding "identity" stands for that.
func writeServiceResponse(w http.ResponseWriter, response request.ServiceResponse) {
	h := w.Header()
	for name, values := range response.Header {
		if name != headerRequestID {
			h[name] = values
		}
	}
	if response.Framing == request.FramingConnection {
		h.Set("Transfer-Encoding", "identity")
	} else {
		h.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

const headerRequestID = "X-Request-Id"
