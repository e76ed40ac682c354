package registry

import (
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
)

// A brittle server falls over when it has to turn away more than a number of requests within a second for want of room.
// While a server of a pool says that it is brittle, the slots of each server of the pool are dealt out among all known
// instances, so that no request has to wait there whatever the others do. An instance without a slot relays its requests
// to one that has some. After a request that was turned away all the same, an instance pauses for so long that all
// instances together stay below the number.

const (
	// brittleAge is the time after its last answer for which a server counts as brittle.
	brittleAge = 10 * time.Second
	// minRejections is the lowest number of rejections a second that is taken from a server.
	minRejections = 0.1
	// rejectionMargin is the factor by which all instances together stay below the number of rejections.
	rejectionMargin = 2
	// maxBrittlePause bounds the pause of an instance after a rejection.
	maxBrittlePause = 30 * time.Second
	// fullNewsAge is the time for which the other instances are told that a server turned a request away, and fullPause the
	// time for which they pause.
	fullNewsAge, fullPause = 300 * time.Millisecond, 500 * time.Millisecond
	// pauseSpread is the share of a pause by which it may be longer, so that the instances don't return together.
	pauseSpread = 0.5
)

// brittleness is what is known of the brittleness of a server.
type brittleness struct {
	// rejections is the number of requests a second that the server may have to turn away; 0 if it isn't brittle. It was
	// stated at statedAt.
	rejections float64
	statedAt   time.Time
	// waiting is the number of requests that waited there at the last report.
	waiting int
	// rejectedAt is the time at which the server last turned a request of this instance away, and pausedUntil the end of the
	// pause after that, or after a rejection of another instance.
	rejectedAt, pausedUntil time.Time
}

func (b *brittleness) isStated(now time.Time) bool {
	return b.rejections > 0 && now.Sub(b.statedAt) < brittleAge
}

// RecordBrittle records the number of requests a second that the server can turn away, as it stated in its answer; negative
// if it isn't brittle. rejected is set if the answer was such a rejection. The answer to a request that was sent before the
// last statement doesn't withdraw that.
func (a *Attempt) RecordBrittle(rejections float64, rejected bool) {
	srv, now := a.srv, time.Now()
	srv.mu.Lock()
	defer srv.mu.Unlock()
	b := &srv.brittle
	if rejections < 0 && a.startedAt.Before(b.statedAt) {
		// The server may have begun this answer before it said that it is brittle.
		return
	}
	if wasStated := b.isStated(now); wasStated != (rejections >= 0) {
		srv.log.Info("server_brittle", append(logFields(srv.entry), zap.Bool("brittle", rejections >= 0), zap.Float64("rejections", rejections))...)
	}
	if rejections < 0 {
		b.rejections, b.pausedUntil = 0, time.Time{}
		return
	}
	b.rejections, b.statedAt = max(rejections, minRejections), now
	if !rejected {
		return
	}
	_, count := srv.rankOrSingle()
	pause := time.Duration(min(rejectionMargin*float64(count)/b.rejections*float64(time.Second), float64(maxBrittlePause)))
	b.rejectedAt, srv.loadChanged = now, true
	b.pause(now, pause)
	srv.log.Info("server_full", append(logFields(srv.entry), zap.Float64("rejections", b.rejections), zap.Duration("pause", pause), zap.Int("running", srv.running))...)
}

// pause keeps requests away for a time, and some of them longer.
func (b *brittleness) pause(now time.Time, d time.Duration) {
	until := now.Add(d + time.Duration(pauseSpread*rand.Float64()*float64(d)))
	if until.After(b.pausedUntil) {
		b.pausedUntil = until
	}
}

// rankOrSingle returns the position of this instance among all known ones, and their number.
func (srv *Server) rankOrSingle() (position, count int) {
	if srv.rank == nil {
		return 0, 1
	}
	return srv.rank()
}

// slotShare returns the number of the server's slots that are this instance's while it is brittle. The caller holds mu.
func (srv *Server) slotShare() int {
	position, count := srv.rankOrSingle()
	return frameShare(srv.entry.ID, 0, srv.slots(), position, count)
}

// hasRoom reports whether this instance has a free slot at the server while that is brittle. The caller holds mu.
func (srv *Server) hasRoom(now time.Time) bool {
	if srv.brittle.pausedUntil.After(now) || srv.brittle.waiting > 0 && now.Sub(srv.reportedAt) < fullPause {
		return false
	}
	return srv.running < srv.slotShare()
}

// isBrittle reports whether one of a pool's servers says that it is brittle, which then holds for all of them.
func isBrittle(servers []*Server, now time.Time) bool {
	for _, srv := range servers {
		srv.mu.Lock()
		ok := srv.brittle.isStated(now)
		srv.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// SlotOwners returns the positions of the instances among which the slots of a pool's brittle servers are dealt out, in
// order, if this instance has none of them; otherwise, or if the pool isn't brittle, it returns nil.
func (r *Registry) SlotOwners(pool string) []int {
	servers, now := r.Serving(pool), time.Now()
	if !isBrittle(servers, now) {
		return nil
	}
	var owners []int
	for _, srv := range servers {
		srv.mu.Lock()
		share, slots := srv.slotShare(), srv.slots()
		_, count := srv.rankOrSingle()
		srv.mu.Unlock()
		if share > 0 {
			return nil
		}
		owners = append(owners, frameOwners(srv.entry.ID, 0, slots, count)...)
	}
	slices.Sort(owners)
	return slices.Compact(owners)
}

// IsBrittle reports whether a server of the pool says that it is brittle.
func (r *Registry) IsBrittle(pool string) bool { return isBrittle(r.Serving(pool), time.Now()) }
