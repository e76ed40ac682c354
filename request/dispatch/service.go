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

// Serve runs a call of a plain service and writes the service's answer to w. An error is a request.ErrAnswer.
func (d *Dispatcher) Serve(ctx context.Context, w http.ResponseWriter, meta *request.Meta, call request.ServiceCall) error {
	r, err := d.start(ctx, meta, &Ask{
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
	call.Idempotent = r.rights.Idempotent
	answer, err := r.serve(call)
	if err != nil {
		return r.end(err)
	}
	r.out.FirstToken = time.Since(meta.Arrived)
	if d.Count != nil {
		d.Count(r.rights.Workspace, r.rights.Class.Name, 0, 0)
	}
	writeServiceAnswer(w, answer)
	return r.end(nil)
}

func (r *run) serve(call request.ServiceCall) (request.ServiceAnswer, error) {
	claim := r.claimOf(call)
	claimed := false
	for r.attempt = 1; ; r.attempt++ {
		answer, err := r.tryCall(call, claim, &claimed)
		if err == nil {
			return answer, nil
		}
		if r.mayRetry(err) {
			continue
		}
		if claimed && !r.sent && r.d.Unclaim != nil {
			r.d.Unclaim(context.WithoutCancel(r.ctx), *claim)
		}
		return answer, err
	}
}

// claimOf returns the claim that the call needs before it is sent; nil is none.
func (r *run) claimOf(call request.ServiceCall) *ClaimAsk {
	if r.rights.Idempotent || r.meta.IdempotencyKey == "" || r.d.Claim == nil {
		return nil
	}
	h := xxhash.New()
	_, _ = h.WriteString(call.Route + " " + call.Method + " " + call.Path + "?" + call.Query + "\n")
	_, _ = h.Write(call.Body)
	return &ClaimAsk{
		Workspace:   r.rights.Workspace,
		Key:         r.meta.IdempotencyKey,
		Fingerprint: fmt.Sprintf("%016x", h.Sum64()),
		RequestID:   r.meta.ID,
	}
}

// tryCall runs one attempt. The claim is made once, with the slot held, right before the first send.
func (r *run) tryCall(call request.ServiceCall, claim *ClaimAsk, claimed *bool) (request.ServiceAnswer, error) {
	grant, address, err := r.acquire(0, "")
	if err != nil {
		return request.ServiceAnswer{}, err
	}
	release := wire.GrantRelease{Pool: r.rights.Route.Pool}
	defer func() { grant.Release(release) }()
	if claim != nil && !*claimed {
		if err := r.d.Claim(r.ctx, *claim); err != nil {
			return request.ServiceAnswer{}, err
		}
		*claimed = true
	}
	r.out.Attempts++
	ctx, cancel := r.beginAttempt(grant.Server())
	defer r.endAttempt(cancel)
	call.ID, call.Address = r.attemptID(), address
	begin := time.Now()
	answer, err := r.d.Call(ctx, call)
	release.DurationMs = int(time.Since(begin).Milliseconds())
	r.noteSent(err)
	if err != nil {
		release.Failed = r.ctx.Err() == nil
		r.exclude = append(r.exclude, grant.Server())
		return answer, err
	}
	release.FirstTokenMs = max(release.DurationMs, 1)
	return answer, nil
}

func writeServiceAnswer(w http.ResponseWriter, answer request.ServiceAnswer) {
	h := w.Header()
	for name, values := range answer.Header {
		if name != headerRequestID {
			h[name] = values
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

const headerRequestID = "X-Request-Id"
