package dispatch

import (
	"net/http"
	"strconv"
	"time"

	"github.com/toucanroute/toucanroute/process/quarantine"
	"github.com/toucanroute/toucanroute/request"
)

// crashInterval is the time within which the crashes of one server count as one. An engine keeps its name when it starts
// again, which takes longer.
const crashInterval = 2 * time.Second

// maxCrashes is the number of backend servers that may have crashed under a request until it isn't sent to another after
// an attempt that was lost.
const maxCrashes = 2

// checkQuarantine returns an error if backend servers crash under the request.
func (r *run) checkQuarantine() error {
	if r.d.Quarantine == nil {
		return nil
	}
	refusal, refused := r.d.Quarantine.Check(r.identity)
	if !refused {
		return nil
	}
	return request.ErrResponse{
		Status: http.StatusServiceUnavailable, Code: request.CodeQuarantined, Message: "backend servers crash under this request",
		NotRun: !r.maybeSent, RetryAfter: refusal.RetryAfter,
	}
}

// reportIfCrashed reports an attempt that was lost, if its server may have crashed under the request. beganAt is the time
// at which the answer began; zero if it had not begun.
func (r *run) reportIfCrashed(server, address string, beganAt time.Time, err error) {
	if r.d.Quarantine == nil || !quarantine.IsSuspect(err, beganAt) {
		return
	}
	r.lost++
	r.d.Quarantine.ReportLost(r.sentRequest(server, address))
}

// recordAnswered records that a server answered the request to its end. An answer that ends with its connection may also
// have ended with its server.
func (r *run) recordAnswered(server, address string, framing request.Framing) {
	switch {
	case r.d.Quarantine == nil:
	case framing == request.FramingConnection:
		r.d.Quarantine.ReportUnproven(r.sentRequest(server, address))
	default:
		r.d.Quarantine.RecordAnswered(r.identity)
	}
}

// sentRequest describes the request that was sent to a server.
func (r *run) sentRequest(server, address string) quarantine.SentRequest {
	return quarantine.SentRequest{
		Server: server + "." + strconv.FormatInt(time.Now().UnixMilli()/crashInterval.Milliseconds(), 36), Address: address,
		Pool: r.authorization.Route.Pool, Request: r.identity,
	}
}

// crashesServers reports whether too many servers may have crashed under the request, in its attempts or before.
func (r *run) crashesServers() bool {
	return r.d.Quarantine != nil && r.lost > 0 && r.d.Quarantine.CrashCount(r.identity.Fingerprint)+r.lost >= maxCrashes
}

// identify sets what the completion is known by if engines crash under it.
func (s *stream) identify() {
	s.identity = quarantine.Request{
		Parts:       s.completion.Parts(),
		Fingerprint: quarantine.FingerprintOf(http.MethodPost, s.completion.Path(), s.authorization.Workspace, s.body),
	}
}

// identifyCall sets what a call of a plain service is known by if backend servers crash under it.
func (r *run) identifyCall(call *request.ServiceCall) {
	path := call.Route + " " + call.Path + "?" + call.Query
	r.identity = quarantine.Request{Fingerprint: quarantine.FingerprintOf(call.Method, path, r.authorization.Workspace, call.Body)}
}
