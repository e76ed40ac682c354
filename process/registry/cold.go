package registry

import (
	"time"

	"go.uber.org/zap"
)

// A cold server falls over under more than a number of requests a second. It is cold for a while after its start and may
// become cold at any moment; its entry and its answers say so, but late, or not at all while the store is out of reach. So
// a server that comes back after it was out of reach, or in a data centre that was evacuated, counts as cold too. While a
// server counts as cold, its requests are dealt out among the instances like those of a server with a limit, in frames so
// short that a second holds little more than the number even where frames overlap its ends and clocks differ.

const (
	// coldFrame is the length of a frame for cold servers. Requests that arrive up to two frames late, by clocks that differ
	// or on new connections, then leave a second with at most one and three quarters of the number, and the parts of the
	// whole numbers of the frames. Above 20 requests a second that can exceed one and a half times the number and 5 more, if
	// the shares of late instances lie on the worst frames.
	coldFrame = 250 * time.Millisecond
	// minColdRate and maxColdRate bound the number of requests a second that is kept. A server that stands none gets one now
	// and then, which any server stands; a higher number is beyond what all instances send.
	minColdRate, maxColdRate = 1, 1e5
	// maxColdTime bounds the time for which one statement makes a server cold. A server that stays cold for longer states
	// that again at its next heartbeats.
	maxColdTime = time.Minute
	// minRestartTime is the shortest time without a sign of life in which a server may have restarted.
	minRestartTime = 500 * time.Millisecond
)

// ColdLimit is what the cold servers of a pool stand. The zero value means that they need no care.
type ColdLimit struct {
	// Rate is the number of requests a second from all instances together.
	Rate float64
	// StartTime is the time after its start for which a server is cold.
	StartTime time.Duration
}

// rate returns the rate that is kept; 0 if there is none.
func (l ColdLimit) rate() float64 {
	if !(l.Rate > 0) || l.Rate > maxColdRate {
		return 0
	}
	return max(l.Rate, minColdRate)
}

// startTime returns the time after a start that is kept.
func (l ColdLimit) startTime() time.Duration { return min(max(l.StartTime, 0), maxColdTime) }

// coldness is what is known of the coldness of a server.
type coldness struct {
	// listedUntil is the end of the coldness by the server's entry, statedUntil that by its answers to this instance, and
	// toldUntil that by its answers to others, which told so. What was told isn't told on, so that no time grows on the way.
	listedUntil, statedUntil, toldUntil time.Time
	// startedAt is the server's start, not later than it became known; presumedAt is the time of its last return, after
	// which it may be cold.
	startedAt, presumedAt time.Time
	// sent counts this instance's requests.
	sent usage
	// boundedLogged is set once a stated time out of bounds was logged.
	boundedLogged bool
}

// until returns the end of the coldness under a limit.
func (c *coldness) until(l ColdLimit) time.Time {
	end := c.listedUntil
	for _, t := range []time.Time{c.statedUntil, c.toldUntil, c.startedAt.Add(l.startTime()), c.presumedAt.Add(l.startTime())} {
		if t.After(end) {
			end = t
		}
	}
	return end
}

// coldRate returns the number of requests a second that the server stands if it counts as cold at a time; otherwise 0. The
// caller holds mu.
func (srv *Server) coldRate(at time.Time) float64 {
	if srv.coldLimit == nil {
		return 0
	}
	if l := srv.coldLimit(srv.entry.Pool); l.rate() > 0 && at.Before(srv.cold.until(l)) {
		return l.rate()
	}
	return 0
}

// coldAllows reports whether the server isn't cold at a time, or this instance may send it a request in the frame of that
// time. An instance that has just started, and doesn't know yet among how many the requests are dealt out, has no share. The
// caller holds mu.
func (srv *Server) coldAllows(at time.Time) bool {
	rate := srv.coldRate(at)
	if rate > 0 && srv.knowsOthers != nil && !srv.knowsOthers() {
		return false
	}
	return rate == 0 || srv.share(at, rate, coldFrame, srv.cold.sent) > 0
}

// IsCold reports whether the server counts as cold.
func (srv *Server) IsCold() bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return srv.coldRate(time.Now()) > 0
}

// listCold records how long the server stays cold by an entry that has just arrived, also if it was written a while ago. An
// entry that arrived before says nothing new, and one of a store that has just come back from an older copy doesn't end a
// coldness that was known. The caller holds mu.
func (srv *Server) listCold(e Entry, rewound bool) {
	now := time.Now()
	if srv.cold.startedAt.IsZero() {
		srv.cold.startedAt = now.Add(-maxColdTime)
		if started := time.UnixMilli(e.StartedMs); e.StartedMs > 0 && started.After(srv.cold.startedAt) {
			srv.cold.startedAt = started
		}
		if srv.cold.startedAt.After(now) {
			srv.cold.startedAt = now
		}
	} else if e.Revision != 0 && e.Revision == srv.entry.Revision {
		return
	}
	srv.setCold("entry", e.WarmupTime, func(until time.Time) {
		if !rewound || until.After(srv.cold.listedUntil) {
			srv.cold.listedUntil = until
		}
	})
}

// setCold has set store the end of a time for which the server was stated to be cold, and logs a change. The caller holds
// mu.
func (srv *Server) setCold(source string, d time.Duration, set func(until time.Time)) {
	now := time.Now()
	wasCold := srv.coldRate(now) > 0
	bounded := min(max(d, 0), maxColdTime)
	set(now.Add(bounded))
	if d != bounded && !srv.cold.boundedLogged && srv.coldLimit != nil && srv.coldLimit(srv.entry.Pool).rate() > 0 {
		srv.cold.boundedLogged = true
		srv.log.Warn("server_cold_bounded", append(logFields(srv.entry), zap.String("source", source), zap.Duration("stated", d), zap.Duration("kept", bounded))...)
	}
	if rate := srv.coldRate(now); !wasCold && rate > 0 {
		srv.log.Info("server_cold", append(logFields(srv.entry), zap.String("source", source), zap.Duration("for", srv.cold.until(srv.coldLimit(srv.entry.Pool)).Sub(now)), zap.Float64("rate", rate))...)
	}
}

// MarkCold records that an answer of the server stated how long it stays cold.
func (a *Attempt) MarkCold(d time.Duration) {
	a.srv.mu.Lock()
	defer a.srv.mu.Unlock()
	a.srv.stateCold(d)
}

// stateCold records that the server itself stated how long it stays cold, and has the other instances told if it wasn't
// known to be cold. The caller holds mu.
func (srv *Server) stateCold(d time.Duration) {
	wasCold := srv.coldRate(time.Now()) > 0
	srv.setCold("answer", d, func(until time.Time) { srv.cold.statedUntil = until })
	if !wasCold && srv.coldRate(time.Now()) > 0 && srv.onLimitChange != nil {
		srv.onLimitChange()
	}
}

// toldCold returns the time for which the server stays cold by its answers, in milliseconds, as other instances are told;
// 0 if it doesn't. The caller holds mu.
func (srv *Server) toldCold(now time.Time) int {
	if srv.coldRate(now) == 0 || !now.Before(srv.cold.statedUntil) {
		return 0
	}
	return int(srv.cold.statedUntil.Sub(now).Milliseconds())
}

// mergeCold records for how many milliseconds the server stays cold, as another instance told. A shorter time than known
// says nothing: that instance may have heard of the coldness earlier. The caller holds mu.
func (srv *Server) mergeCold(ms int, now time.Time) {
	d := time.Duration(min(ms, int(maxColdTime.Milliseconds()))) * time.Millisecond
	if d <= 0 || !now.Add(d).After(srv.cold.toldUntil) {
		return
	}
	srv.setCold("peer", d, func(until time.Time) { srv.cold.toldUntil = until })
}

// mayHaveRestarted reports whether a suspect server has been without a sign of life, here and elsewhere, for so long that it
// may have restarted. The time counts from the last sign of life, as a failure is noticed later than it happens; a server
// that answered others meanwhile was only out of reach of this instance. The caller holds mu.
func (srv *Server) mayHaveRestarted(now time.Time) bool {
	return max(srv.longestPause, now.Sub(srv.lastReceived)) >= minRestartTime
}

// presumeCold has a server that is back count as cold, as after a start. The caller holds mu.
func (srv *Server) presumeCold(source string) {
	now := time.Now()
	wasCold := srv.coldRate(now) > 0
	srv.cold.presumedAt = now
	if rate := srv.coldRate(now); !wasCold && rate > 0 {
		srv.log.Info("server_cold", append(logFields(srv.entry), zap.String("source", source), zap.Duration("for", srv.cold.until(srv.coldLimit(srv.entry.Pool)).Sub(now)), zap.Float64("rate", rate))...)
	}
}
