package registry

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/wire"
)

// A server in need names the number of requests a second that it takes from all instances together. Time is divided into
// frames, in each of which the server takes a whole number of requests. They are dealt out evenly among all known
// instances, live or not; those that remain go to instances that change from frame to frame. What an instance doesn't
// use lapses. So the sum holds without messages as long as the instances know of each other, whichever of them are late,
// cut off or gone.

const (
	// limitFrame is the length of a frame.
	limitFrame = time.Second
	// minLimit is the lowest limit that is kept, in requests a second. A server that takes nothing gets a request now and
	// then, whose answer shows whether it still has a limit.
	minLimit = 0.1
	// limitNewsAge is the time for which other instances are told that a server names no limit any more.
	limitNewsAge = 30 * time.Second
	// maxLimitAge bounds the ages that are told; it is above those of all limits that are news.
	maxLimitAge = 24 * time.Hour
	// limitTimeError is the error of the times that other instances tell.
	limitTimeError = 50 * time.Millisecond
)

// limit is what is known of the limit of a server.
type limit struct {
	// rate is the number of requests a second that the server takes from all instances together; 0 if it names no limit.
	rate float64
	// observedAt is the time of the answer that told so; zero if there was none yet.
	observedAt time.Time
	// sent counts this instance's requests.
	sent usage
}

// usage counts the requests that this instance sent to a server in the newest frame in which it sent any.
type usage struct {
	frame int64
	n     int
}

// add counts a request in a frame.
func (u *usage) add(frame int64) {
	if frame != u.frame {
		u.frame, u.n = frame, 0
	}
	u.n++
}

// in returns the number of requests in a frame.
func (u usage) in(frame int64) int {
	if frame != u.frame {
		return 0
	}
	return u.n
}

// isNews reports whether the other instances are told of the limit.
func (l *limit) isNews(now time.Time) bool {
	return l.rate > 0 || !l.observedAt.IsZero() && now.Sub(l.observedAt) < limitNewsAge
}

// frameAt returns the number of the frame at a time; length is that of a frame.
func frameAt(t time.Time, length time.Duration) int64 { return t.UnixMilli() / length.Milliseconds() }

// frameRequests returns the number of requests that a server that takes rate a second takes in a frame.
func frameRequests(rate float64, frame int64, length time.Duration) int {
	perFrame := rate * length.Seconds()
	return int(math.Floor(perFrame*float64(frame+1)) - math.Floor(perFrame*float64(frame)))
}

// frameShare returns the number of requests that the instance at a position, of count, may send in a frame to a server
// that takes n. Over all positions the sum is n.
func frameShare(server string, frame int64, n, position, count int) int {
	share, rest := n/count, n%count
	if rest > 0 && (position+frameOffset(server, frame, count))%count < rest {
		share++
	}
	return share
}

// frameOwners returns the positions for which frameShare isn't 0.
func frameOwners(server string, frame int64, n, count int) []int {
	offset := frameOffset(server, frame, count)
	owners := make([]int, min(n, count))
	for i := range owners {
		owners[i] = (i - offset + count) % count
	}
	return owners
}

// frameOffset returns the offset at which the remainder of a frame begins to be dealt out to the positions.
func frameOffset(server string, frame int64, count int) int {
	return int(xxhash.Sum64String(server+"/"+strconv.FormatInt(frame, 10)) % uint64(count))
}

// allowance returns the number of requests that this instance may still send to the server in the present frame. The
// caller holds mu.
func (srv *Server) allowance(now time.Time) int {
	return srv.share(now, srv.limit.rate, limitFrame, srv.limit.sent)
}

// share returns the number of requests that this instance may still send in the frame of a time to a server that takes
// rate a second of all instances together. The caller holds mu.
func (srv *Server) share(at time.Time, rate float64, length time.Duration, sent usage) int {
	position, count := srv.rankOrSingle()
	frame := frameAt(at, length)
	return frameShare(srv.entry.ID, frame, frameRequests(rate, frame, length), position, count) - sent.in(frame)
}

// hasAllowance reports whether the server's limit, and its coldness, permit a request of this instance at a time. The
// caller holds mu.
func (srv *Server) hasAllowance(at time.Time) bool {
	return (srv.limit.rate == 0 || srv.allowance(at) > 0) && srv.coldAllows(at)
}

// take takes a request from the instance's shares of what the server takes, if there is one left. The caller holds mu.
func (srv *Server) take(now time.Time) bool {
	if !srv.hasAllowance(now) {
		return false
	}
	srv.limit.sent.add(frameAt(now, limitFrame))
	srv.cold.sent.add(frameAt(now, coldFrame))
	return true
}

// RecordLimit records the limit that the server named in its answer, in requests a second of all instances together;
// negative if it named none.
func (a *Attempt) RecordLimit(rate float64) {
	srv := a.srv
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if rate < 0 && (srv.limit.rate == 0 || a.startedAt.Before(srv.limit.observedAt)) {
		// An answer that the server began before it named the limit says nothing of it.
		return
	}
	if srv.setLimit(rate, time.Now(), "") && srv.onLimitChange != nil {
		srv.onLimitChange()
	}
}

// setLimit sets the limit that was observed at a time, by the named instance or by this one if it is empty. It reports
// whether the limit changed. The caller holds mu.
func (srv *Server) setLimit(rate float64, at time.Time, instance string) bool {
	previous := srv.limit.rate
	srv.limit.rate, srv.limit.observedAt = 0, at
	if rate >= 0 {
		srv.limit.rate = max(rate, minLimit)
	}
	if srv.limit.rate == previous {
		return false
	}
	if srv.limit.rate > 0 {
		srv.log.Info("server_limited", append(logFields(srv.entry), zap.Float64("rate", rate), zap.Float64("previous", previous), zap.String("peer", instance))...)
	} else {
		srv.log.Info("server_unlimited", append(logFields(srv.entry), zap.Float64("previous", previous), zap.String("peer", instance))...)
	}
	return true
}

// limitKey identifies the start of a server in the limits that instances tell each other.
func limitKey(e *Entry) int { return hashID(e.ID + "." + strconv.FormatInt(e.StartedMs, 36)) }

// Limits returns the limits that servers named, and those that ended lately.
func (r *Registry) Limits() []wire.NewsLimit {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []wire.NewsLimit
	for _, srv := range r.servers {
		srv.mu.Lock()
		cold := srv.toldCold(now)
		if srv.limit.isNews(now) || cold > 0 {
			l := wire.NewsLimit{Server: limitKey(&srv.entry), Rate: -1, ColdMs: cold}
			if age := now.Sub(srv.limit.observedAt); age < maxLimitAge {
				l.AgeMs = int(age.Milliseconds())
			} else {
				l.AgeMs = int(maxLimitAge.Milliseconds())
			}
			if srv.limit.rate > 0 {
				l.Rate = srv.limit.rate
			}
			list = append(list, l)
		}
		srv.mu.Unlock()
	}
	return list
}

// MergeLimits records the limits that another instance told. The newest answer of a server holds.
func (r *Registry) MergeLimits(instance string, limits []wire.NewsLimit) {
	if len(limits) == 0 {
		return
	}
	now := time.Now()
	byKey := make(map[int]wire.NewsLimit, len(limits))
	for _, l := range limits {
		byKey[l.Server] = l
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, srv := range r.servers {
		srv.mu.Lock()
		if l, ok := byKey[limitKey(&srv.entry)]; ok {
			srv.mergeCold(l.ColdMs, now)
			at := now.Add(-time.Duration(max(l.AgeMs, 0)) * time.Millisecond)
			if at.Sub(srv.limit.observedAt) > limitTimeError {
				srv.setLimit(l.Rate, at, instance)
			}
		}
		srv.mu.Unlock()
	}
}

// NextAllowance returns the earliest time at which this instance may send a request to a selected server of the pool that
// has a limit or is cold, or maxWait from now if that is earlier; false if there is no such server.
func (r *Registry) NextAllowance(pool string, selection Selection, maxWait time.Duration) (time.Time, bool) {
	now := time.Now()
	var servers []*Server
	for _, srv := range r.Serving(pool) {
		srv.mu.Lock()
		if (srv.limit.rate > 0 || srv.coldRate(now) > 0) && srv.accepts(now) && selection.admits(&srv.entry) {
			servers = append(servers, srv)
		}
		srv.mu.Unlock()
	}
	if len(servers) == 0 {
		return time.Time{}, false
	}
	for at := now.Truncate(coldFrame).Add(coldFrame); at.Sub(now) <= maxWait; at = at.Add(coldFrame) {
		for _, srv := range servers {
			srv.mu.Lock()
			ok := srv.hasAllowance(at)
			srv.mu.Unlock()
			if ok {
				return at, true
			}
		}
	}
	return now.Add(maxWait), true
}
