package registry

import (
	"time"

	"go.uber.org/zap"
)

// maxClosedTime bounds the time for which a server can close itself by one response. A server that wants nothing for
// longer says so again in its next response.
const maxClosedTime = time.Minute

// MarkLeaving records that a response of the server announced its shutdown. The server gets no new requests until it
// starts again, whatever its stored entry says.
func (a *Attempt) MarkLeaving() {
	srv := a.srv
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.leaving {
		return
	}
	srv.leaving = true
	if srv.drainingSince.IsZero() {
		srv.drainingSince = time.Now()
	}
	srv.log.Info("server_leaving", append(logFields(srv.entry), zap.Bool("draining", srv.entry.Draining), zap.Int("running", srv.running))...)
}

// CloseFor records that the server rejected the request and wants no more for the duration d, at most maxClosedTime.
// The argument header is the value that the server sent.
func (a *Attempt) CloseFor(d time.Duration, header string) {
	srv, now := a.srv, time.Now()
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if !srv.closedUntil.After(now) {
		srv.log.Info("server_closed", append(logFields(srv.entry), zap.Duration("for", min(d, maxClosedTime)), zap.String("header", header))...)
	}
	srv.closeUntil(now.Add(min(d, maxClosedTime)))
}

// closeUntil keeps new requests away from the server until a time. The caller holds mu.
func (srv *Server) closeUntil(t time.Time) {
	if t.After(srv.closedUntil) {
		srv.closedUntil = t
	}
}

// accepts reports whether the server may get new requests, reachable or not. The caller holds mu.
func (srv *Server) accepts(now time.Time) bool {
	return !srv.addressTaken && !srv.leaving && !srv.closedUntil.After(now) && !srv.unconfirmedUntil.After(now)
}

// NextOpening returns the earliest time at which a selected server of the pool that closed itself for a while accepts
// requests again; false if no such server did.
func (r *Registry) NextOpening(pool string, selection Selection) (time.Time, bool) {
	var earliest time.Time
	now := time.Now()
	for _, srv := range r.Serving(pool) {
		srv.mu.Lock()
		closed := srv.closedUntil.After(now) && srv.accepts(srv.closedUntil) && selection.admits(&srv.entry)
		if closed && (earliest.IsZero() || srv.closedUntil.Before(earliest)) {
			earliest = srv.closedUntil
		}
		srv.mu.Unlock()
	}
	return earliest, !earliest.IsZero()
}
