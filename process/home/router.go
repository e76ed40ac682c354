// Package home finds the home instance of a pool, which runs the pool's scheduler, and acquires grants from it.
//
// The home instance of a pool is the first live instance of the data centre in rendezvous order. If that instance
// can't be reached, the next one is asked. If none can be reached, this instance schedules with its own share of the
// slots: the slots of each server divided by the number of live instances.
//
// A grant is the right to use a slot. When the home instance changes, each instance declares its grants: it sends the
// new scheduler the list of the grants that it holds.
//
// Lock order: no scheduler or peer is called, and no other lock is acquired, while Router.mu is held.
package home

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/wire"
)

// maxAskedInstances is the largest number of instances of this data centre that are asked for a slot before this
// instance's own share is used.
const maxAskedInstances = 3

// minTimeLeftShare is the smallest fraction of the target time to first token that must be left for another data centre
// to be asked.
const minTimeLeftShare = 0.5

// Peer calls the scheduler of a pool on another instance, over the connection to it.
type Peer struct {
	// Acquire requests a slot. lateGrant is called with a grant that arrives after the call was cancelled.
	Acquire func(ctx context.Context, ask wire.GrantAsk, lateGrant func(wire.GrantReply)) (wire.GrantReply, error)
	// Release returns a slot.
	Release func(ctx context.Context, r wire.GrantRelease) error
	// ReportFirstToken reports a late first token of a grant.
	ReportFirstToken func(ctx context.Context, f wire.GrantFirst) error
	// DeclareGrants sends the complete list of the grants that this instance holds.
	DeclareGrants func(ctx context.Context, c wire.GrantsHeld) error
}

// Router acquires grants for the requests of this instance. The exported fields must be set before use.
type Router struct {
	// Instance is this instance's name.
	Instance string
	// DataCentre is this instance's data centre.
	DataCentre string
	Log        *zap.Logger
	// HomeCandidates returns the instances of a data centre that may become the home instance of a pool, in order of
	// preference.
	HomeCandidates func(pool, dataCentre string) []string
	// DataCentres returns all data centres of the configuration in force.
	DataCentres func() []string
	// Peer returns the connection to an instance, or false if there is none.
	Peer func(instance string) (Peer, bool)
	// LocalScheduler returns this instance's scheduler of a pool.
	LocalScheduler func(pool string) *pool.Scheduler
	// FallbackScheduler returns this instance's scheduler of a pool that uses only its share of the slots.
	FallbackScheduler func(pool string) *pool.Scheduler
	// FirstTokenTarget returns the target time to first token of a class.
	FirstTokenTarget func(class string) time.Duration
	// DataCentreOf returns the data centre of a backend server, or an empty string if it is unknown.
	DataCentreOf func(server string) string
	// HasServers reports whether a data centre has backend servers of a pool.
	HasServers func(pool, dataCentre string) bool

	mu sync.Mutex
	// held contains the grants that this instance holds.
	held map[grantKey]*held
	// homeByPool contains the home instance of each pool in each data centre as of the last UpdateSchedulers.
	homeByPool map[poolKey]string
}

// grantKey identifies a grant that this instance holds. Each scheduler numbers its grants from a random number, so that
// two schedulers of a pool seldom use the same number.
type grantKey struct {
	pool string
	// number is the number that the scheduler gave the grant.
	number int
}

// poolKey identifies the scheduler of a pool in one data centre.
type poolKey struct {
	pool       string
	dataCentre string
}

// held is a grant that this instance holds, with the request for which it was made.
type held struct {
	grant *pool.Grant
	ask   wire.GrantAsk
	// dataCentre is the data centre of the scheduler that issued the grant.
	dataCentre string
}

// Acquire returns a grant for the request, or a pool.ErrRefused with the retry delay.
func (r *Router) Acquire(ctx context.Context, ask wire.GrantAsk) (*pool.Grant, error) {
	arrived := time.Now().Add(-time.Duration(ask.WaitedMs) * time.Millisecond)
	if ask.Resume != "" {
		return r.acquireResumed(ctx, ask, arrived)
	}
	g, err := r.acquireInDataCentre(ctx, ask, arrived)
	if err == nil || !r.mayUseOtherDataCentre(ask, arrived, err) {
		return g, err
	}
	if other, ok := r.acquireInOtherDataCentre(ctx, ask, arrived); ok {
		return other, nil
	}
	return nil, err
}

// acquireResumed acquires a slot on the backend server that holds a paused stream; it may be in another data centre.
func (r *Router) acquireResumed(ctx context.Context, ask wire.GrantAsk, arrived time.Time) (*pool.Grant, error) {
	dc := r.DataCentreOf(ask.Resume)
	if dc == r.DataCentre {
		return r.acquireInDataCentre(ctx, ask, arrived)
	}
	candidates := r.HomeCandidates(ask.Pool, dc)
	if len(candidates) == 0 {
		return nil, pool.ErrRefused{Reason: pool.ReasonNoServer, RetryAfter: time.Second}
	}
	return r.askScheduler(ctx, candidates[0], dc, ask)
}

// acquireInDataCentre acquires a slot in this data centre. If no scheduler can be reached, it uses this instance's
// share.
func (r *Router) acquireInDataCentre(ctx context.Context, ask wire.GrantAsk, arrived time.Time) (*pool.Grant, error) {
	if !r.HasServers(ask.Pool, r.DataCentre) {
		return nil, pool.ErrRefused{Reason: pool.ReasonNoServer, RetryAfter: time.Second}
	}
	candidates := r.HomeCandidates(ask.Pool, r.DataCentre)
	if len(candidates) > maxAskedInstances {
		candidates = candidates[:maxAskedInstances]
	}
	for _, instance := range candidates {
		ask.WaitedMs = int(time.Since(arrived).Milliseconds())
		g, err := r.askScheduler(ctx, instance, r.DataCentre, ask)
		if err == nil || isFinal(err) || ctx.Err() != nil {
			return g, err
		}
		r.Log.Warn("home_unreachable", zap.String("pool", ask.Pool), zap.String("home", instance), zap.Error(err))
	}
	ask.WaitedMs = int(time.Since(arrived).Milliseconds())
	return r.FallbackScheduler(ask.Pool).Acquire(ctx, r.Instance, ask)
}

// isFinal reports whether err is a refusal that the next instance in the order would repeat, so that it isn't asked.
func isFinal(err error) bool {
	var refused pool.ErrRefused
	return errors.As(err, &refused) && refused.Reason != pool.ReasonSchedulerMoved
}

// mayUseOtherDataCentre reports whether another data centre may be asked after err.
func (r *Router) mayUseOtherDataCentre(ask wire.GrantAsk, arrived time.Time, err error) bool {
	var refused pool.ErrRefused
	if !errors.As(err, &refused) || refused.Reason == pool.ReasonRateLimit {
		return false
	}
	timeLeftShare := 1 - float64(time.Since(arrived))/float64(r.FirstTokenTarget(ask.Class))
	return timeLeftShare >= minTimeLeftShare
}

// acquireInOtherDataCentre asks the schedulers of the same pool in the other data centres, starting with the one listed
// after this one.
func (r *Router) acquireInOtherDataCentre(ctx context.Context, ask wire.GrantAsk, arrived time.Time) (*pool.Grant, bool) {
	for _, dc := range rotatedAfter(r.DataCentres(), r.DataCentre) {
		candidates := r.HomeCandidates(ask.Pool, dc)
		if len(candidates) == 0 || !r.HasServers(ask.Pool, dc) {
			continue
		}
		ask.WaitedMs = int(time.Since(arrived).Milliseconds())
		if g, err := r.askScheduler(ctx, candidates[0], dc, ask); err == nil {
			return g, true
		}
		if ctx.Err() != nil {
			return nil, false
		}
	}
	return nil, false
}

// rotatedAfter returns the names without own, starting with the one that follows own and continuing at the first name
// after the last.
func rotatedAfter(names []string, own string) []string {
	for i, n := range names {
		if n == own {
			return append(append([]string{}, names[i+1:]...), names[:i]...)
		}
	}
	return names
}

// askScheduler requests a slot from the scheduler of the pool on one instance.
func (r *Router) askScheduler(ctx context.Context, instance, dataCentre string, ask wire.GrantAsk) (*pool.Grant, error) {
	if instance == r.Instance {
		g, err := r.LocalScheduler(ask.Pool).Acquire(ctx, r.Instance, ask)
		if err == nil {
			r.trackGrant(g, instance, dataCentre, ask)
		}
		return g, err
	}
	peer, ok := r.Peer(instance)
	if !ok {
		return nil, ErrNotConnected{Instance: instance}
	}
	lateGrant := func(reply wire.GrantReply) {
		_ = peer.Release(context.Background(), wire.GrantRelease{Pool: ask.Pool, Grant: reply.Grant})
	}
	reply, err := peer.Acquire(ctx, ask, lateGrant)
	if err != nil {
		return nil, err
	}
	if reply.Grant == 0 {
		return nil, pool.ErrRefused{Reason: reply.Reason, RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond}
	}
	g := pool.NewGrant(reply.Server, instance, reply.Grant, func(wire.GrantRelease) {})
	r.trackGrant(g, instance, dataCentre, ask)
	return g, nil
}

// trackGrant records a grant until it is released.
func (r *Router) trackGrant(g *pool.Grant, home, dataCentre string, ask wire.GrantAsk) {
	key := grantKey{pool: ask.Pool, number: g.Number()}
	r.mu.Lock()
	if r.held == nil {
		r.held = map[grantKey]*held{}
	}
	r.held[key] = &held{grant: g, ask: ask, dataCentre: dataCentre}
	r.mu.Unlock()
	g.Reassign(home, r.releaseFunc(key, home))
	g.SetFirstTokenCallback(func(home string, f wire.GrantFirst) { r.reportFirstToken(key.pool, home, f) })
}

// reportFirstToken reports a late first token to the home instance of the pool.
func (r *Router) reportFirstToken(poolName, home string, f wire.GrantFirst) {
	f.Pool = poolName
	if home == r.Instance {
		r.LocalScheduler(poolName).RecordFirstToken(r.Instance, f)
		return
	}
	if peer, ok := r.Peer(home); ok {
		_ = peer.ReportFirstToken(context.Background(), f)
	}
}

// releaseFunc returns the release callback of a grant with the given home instance.
func (r *Router) releaseFunc(key grantKey, home string) func(wire.GrantRelease) {
	return func(rel wire.GrantRelease) {
		rel.Pool = key.pool
		r.mu.Lock()
		delete(r.held, key)
		r.mu.Unlock()
		if home == r.Instance {
			r.LocalScheduler(key.pool).Release(r.Instance, rel)
			return
		}
		if peer, ok := r.Peer(home); ok {
			_ = peer.Release(context.Background(), rel)
		}
	}
}

// Preempt asks the attempt that holds a grant to pause, at the request of the grant's scheduler.
func (r *Router) Preempt(p wire.GrantPreempt) {
	r.mu.Lock()
	entry := r.held[grantKey{pool: p.Pool, number: p.Grant}]
	r.mu.Unlock()
	if entry != nil {
		entry.grant.Preempt()
	}
}

// UpdateSchedulers determines the home instance of each pool again. If the home instance has changed, it moves the held
// grants to the new scheduler and declares them there. Before that, it calls onLost if this instance was the old home
// instance, and onGained if it is the new one.
func (r *Router) UpdateSchedulers(pools []string, onGained, onLost func(pool string)) {
	for _, dc := range r.DataCentres() {
		for _, name := range pools {
			candidates := r.HomeCandidates(name, dc)
			if len(candidates) == 0 {
				continue
			}
			r.updateHome(poolKey{pool: name, dataCentre: dc}, candidates[0], onGained, onLost)
		}
	}
}

// DeclareGrants sends the scheduler of each pool the list of the held grants, so that it can free slots whose release
// was lost.
func (r *Router) DeclareGrants() {
	r.mu.Lock()
	homeByPool := maps.Clone(r.homeByPool)
	r.mu.Unlock()
	for key, home := range homeByPool {
		if home != r.Instance {
			r.declareTo(key, home)
		}
	}
}

// updateHome records the home instance of a pool and moves the held grants if it has changed.
func (r *Router) updateHome(key poolKey, home string, onGained, onLost func(pool string)) {
	r.mu.Lock()
	if r.homeByPool == nil {
		r.homeByPool = map[poolKey]string{}
	}
	old := r.homeByPool[key]
	r.homeByPool[key] = home
	r.mu.Unlock()
	if old == home {
		return
	}
	if old == r.Instance {
		onLost(key.pool)
	}
	if home == r.Instance {
		onGained(key.pool)
	}
	r.declareTo(key, home)
}

// declareTo moves the held grants of a pool to the scheduler on the given home instance and sends it their list, even
// if the list is empty.
func (r *Router) declareTo(key poolKey, home string) {
	r.mu.Lock()
	grants := map[grantKey]*held{}
	for k, entry := range r.held {
		if k.pool == key.pool && entry.dataCentre == key.dataCentre {
			grants[k] = entry
		}
	}
	r.mu.Unlock()
	declaration := wire.GrantsHeld{Pool: key.pool, Grants: []wire.GrantHeld{}}
	for k, entry := range grants {
		if !entry.grant.Reassign(home, r.releaseFunc(k, home)) {
			continue
		}
		declaration.Grants = append(declaration.Grants, wire.GrantHeld{
			Grant:     k.number,
			Server:    entry.grant.Server(),
			Class:     entry.ask.Class,
			Workspace: entry.ask.Workspace,
		})
	}
	if home == r.Instance {
		r.LocalScheduler(key.pool).ReconcileGrants(r.Instance, declaration.Grants)
		return
	}
	if peer, ok := r.Peer(home); ok {
		_ = peer.DeclareGrants(context.Background(), declaration)
	}
}

// ErrNotConnected is returned when this instance has no connection to the home instance of a pool.
type ErrNotConnected struct {
	// Instance is the instance that couldn't be asked.
	Instance string
}

func (e ErrNotConnected) Error() string { return "no connection to instance " + e.Instance }
