// Package home finds the scheduling home of a pool and gets grants from it, on this instance or on a peer.
//
// The home of a pool is the first live instance of the data centre in rendezvous order. Where it can't be reached
// the next one is asked; where none can, this instance serves with a share of the slots.
//
// Lock order: Router.mu is a leaf; it is never held while a home or a link is called.
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

// maxHomes is the number of homes that one request asks in its own data centre before it is served by share.
const maxHomes = 3

// spillBudget is the smallest rest of a class's target, as a share, with which another data centre is asked.
const spillBudget = 0.5

// Peer asks a pool's home on another instance.
type Peer struct {
	// Ask asks for a slot; late gets a grant whose answer crossed the cancellation.
	Ask func(ctx context.Context, ask wire.GrantAsk, late func(wire.GrantReply)) (wire.GrantReply, error)
	// Release returns a slot.
	Release func(ctx context.Context, r wire.GrantRelease) error
	// First tells that the first token of a grant came late.
	First func(ctx context.Context, f wire.GrantFirst) error
	// Claim tells which slots this instance holds from an earlier home.
	Claim func(ctx context.Context, c wire.GrantsHeld) error
}

// Router gets grants for the requests of this instance. Set the fields before use.
type Router struct {
	// Instance is this instance's name.
	Instance string
	// DataCentre is this instance's data centre.
	DataCentre string
	// Log gets one line for each event.
	Log *zap.Logger
	// Homes returns the candidates for a pool's home in a data centre, best first.
	Homes func(pool, dataCentre string) []string
	// DataCentres returns all data centres of the configuration in force.
	DataCentres func() []string
	// Peer returns the link to an instance; false where there is none.
	Peer func(instance string) (Peer, bool)
	// Local returns this instance's home of a pool.
	Local func(pool string) *pool.Home
	// Share returns this instance's home of a pool with its share of the slots only.
	Share func(pool string) *pool.Home
	// Target returns the target for the first token of a class.
	Target func(class string) time.Duration
	// DataCentreOf returns the data centre of a backend server; empty is unknown.
	DataCentreOf func(server string) string
	// Serves tells whether a data centre has backend servers of a pool.
	Serves func(pool, dataCentre string) bool

	mu sync.Mutex
	// held has each grant that this instance holds.
	held map[heldKey]*held
	// homes has the home of each pool as of the last Rehome.
	homes map[poolKey]string
}

// heldKey names a grant of this instance: homes draw their numbers so that those of two seldom meet.
type heldKey struct {
	pool   string
	number int
}

// poolKey names the part of a pool that one home schedules.
type poolKey struct {
	pool       string
	dataCentre string
}

// held is a grant with the ask that it answered.
type held struct {
	grant      *pool.Grant
	ask        wire.GrantAsk
	dataCentre string
}

// Acquire returns a slot for ask, or pool.ErrRefused with the time to come back.
func (r *Router) Acquire(ctx context.Context, ask wire.GrantAsk) (*pool.Grant, error) {
	arrived := time.Now().Add(-time.Duration(ask.WaitedMs) * time.Millisecond)
	if ask.Resume != "" {
		return r.resume(ctx, ask, arrived)
	}
	g, err := r.own(ctx, ask, arrived)
	if err == nil || !r.maySpill(ask, arrived, err) {
		return g, err
	}
	if other, ok := r.spill(ctx, ask, arrived); ok {
		return other, nil
	}
	return nil, err
}

// resume gets a grant of the backend server that holds a paused stream, which another data centre's may be.
func (r *Router) resume(ctx context.Context, ask wire.GrantAsk, arrived time.Time) (*pool.Grant, error) {
	dc := r.DataCentreOf(ask.Resume)
	if dc == r.DataCentre {
		return r.own(ctx, ask, arrived)
	}
	homes := r.Homes(ask.Pool, dc)
	if len(homes) == 0 {
		return nil, pool.ErrRefused{Reason: pool.ReasonNoServer, RetryAfter: time.Second}
	}
	return r.askHome(ctx, homes[0], dc, ask)
}

// own gets a grant in this data centre.
func (r *Router) own(ctx context.Context, ask wire.GrantAsk, arrived time.Time) (*pool.Grant, error) {
	if !r.Serves(ask.Pool, r.DataCentre) {
		return nil, pool.ErrRefused{Reason: pool.ReasonNoServer, RetryAfter: time.Second}
	}
	homes := r.Homes(ask.Pool, r.DataCentre)
	if len(homes) > maxHomes {
		homes = homes[:maxHomes]
	}
	for _, instance := range homes {
		ask.WaitedMs = int(time.Since(arrived).Milliseconds())
		g, err := r.askHome(ctx, instance, r.DataCentre, ask)
		if err == nil || isFinal(err) || ctx.Err() != nil {
			return g, err
		}
		r.Log.Warn("home_unreachable", zap.String("pool", ask.Pool), zap.String("home", instance), zap.Error(err))
	}
	ask.WaitedMs = int(time.Since(arrived).Milliseconds())
	return r.Share(ask.Pool).Ask(ctx, r.Instance, ask)
}

// isFinal tells whether a refusal holds for the pool, whichever instance is its home.
func isFinal(err error) bool {
	var refused pool.ErrRefused
	return errors.As(err, &refused) && refused.Reason != pool.ReasonMoved
}

// maySpill tells whether another data centre may be asked after err.
func (r *Router) maySpill(ask wire.GrantAsk, arrived time.Time, err error) bool {
	var refused pool.ErrRefused
	if !errors.As(err, &refused) || refused.Reason == pool.ReasonRateLimit {
		return false
	}
	left := 1 - float64(time.Since(arrived))/float64(r.Target(ask.Class))
	return left >= spillBudget
}

// spill asks the home of the same pool in the other data centres, in their order after this one.
func (r *Router) spill(ctx context.Context, ask wire.GrantAsk, arrived time.Time) (*pool.Grant, bool) {
	for _, dc := range after(r.DataCentres(), r.DataCentre) {
		homes := r.Homes(ask.Pool, dc)
		if len(homes) == 0 || !r.Serves(ask.Pool, dc) {
			continue
		}
		ask.WaitedMs = int(time.Since(arrived).Milliseconds())
		if g, err := r.askHome(ctx, homes[0], dc, ask); err == nil {
			return g, true
		}
		if ctx.Err() != nil {
			return nil, false
		}
	}
	return nil, false
}

// after returns the names that follow own in a ring, without own.
func after(names []string, own string) []string {
	for i, n := range names {
		if n == own {
			return append(append([]string{}, names[i+1:]...), names[:i]...)
		}
	}
	return names
}

// askHome asks one instance's home of the pool in a data centre.
func (r *Router) askHome(ctx context.Context, instance, dataCentre string, ask wire.GrantAsk) (*pool.Grant, error) {
	if instance == r.Instance {
		g, err := r.Local(ask.Pool).Ask(ctx, r.Instance, ask)
		if err == nil {
			r.hold(g, instance, dataCentre, ask)
		}
		return g, err
	}
	peer, ok := r.Peer(instance)
	if !ok {
		return nil, ErrNoLink{Instance: instance}
	}
	late := func(reply wire.GrantReply) {
		_ = peer.Release(context.Background(), wire.GrantRelease{Pool: ask.Pool, Grant: reply.Grant})
	}
	reply, err := peer.Ask(ctx, ask, late)
	if err != nil {
		return nil, err
	}
	if reply.Grant == 0 {
		return nil, pool.ErrRefused{Reason: reply.Reason, RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond}
	}
	g := pool.NewGrant(reply.Server, instance, reply.Grant, func(wire.GrantRelease) {})
	r.hold(g, instance, dataCentre, ask)
	return g, nil
}

// hold keeps a grant until it is released to its home.
func (r *Router) hold(g *pool.Grant, home, dataCentre string, ask wire.GrantAsk) {
	key := heldKey{pool: ask.Pool, number: g.Number()}
	r.mu.Lock()
	if r.held == nil {
		r.held = map[heldKey]*held{}
	}
	r.held[key] = &held{grant: g, ask: ask, dataCentre: dataCentre}
	r.mu.Unlock()
	g.Redirect(home, r.releaser(key, home))
	g.OnFirstToken(func(home string, f wire.GrantFirst) { r.first(key.pool, home, f) })
}

// first tells a grant's home that its first token came late.
func (r *Router) first(name, home string, f wire.GrantFirst) {
	f.Pool = name
	if home == r.Instance {
		r.Local(name).FirstToken(r.Instance, f)
		return
	}
	if peer, ok := r.Peer(home); ok {
		_ = peer.First(context.Background(), f)
	}
}

// releaser returns what a release of the grant does while it belongs to home.
func (r *Router) releaser(key heldKey, home string) func(wire.GrantRelease) {
	return func(rel wire.GrantRelease) {
		rel.Pool = key.pool
		r.mu.Lock()
		delete(r.held, key)
		r.mu.Unlock()
		if home == r.Instance {
			r.Local(key.pool).Release(r.Instance, rel)
			return
		}
		if peer, ok := r.Peer(home); ok {
			_ = peer.Release(context.Background(), rel)
		}
	}
}

// Preempt closes the Preempted channel of a grant on the word of its home.
func (r *Router) Preempt(p wire.GrantPreempt) {
	r.mu.Lock()
	h := r.held[heldKey{pool: p.Pool, number: p.Grant}]
	r.mu.Unlock()
	if h != nil {
		h.grant.Preempt()
	}
}

// Rehome looks at the home of each pool anew. Where it has changed, the grants held go over to the new home, which is
// told of them; became is called before where this instance is the new home, and ceased where it was the old one.
func (r *Router) Rehome(pools []string, became, ceased func(pool string)) {
	for _, dc := range r.DataCentres() {
		for _, name := range pools {
			homes := r.Homes(name, dc)
			if len(homes) == 0 {
				continue
			}
			r.rehome(poolKey{pool: name, dataCentre: dc}, homes[0], became, ceased)
		}
	}
}

// Declare tells each home which grants this instance holds, so that a slot whose release was lost comes back.
func (r *Router) Declare() {
	r.mu.Lock()
	homes := maps.Clone(r.homes)
	r.mu.Unlock()
	for key, home := range homes {
		if home != r.Instance {
			r.declare(key, home)
		}
	}
}

func (r *Router) rehome(key poolKey, home string, became, ceased func(pool string)) {
	r.mu.Lock()
	if r.homes == nil {
		r.homes = map[poolKey]string{}
	}
	old := r.homes[key]
	r.homes[key] = home
	r.mu.Unlock()
	if old == home {
		return
	}
	if old == r.Instance {
		ceased(key.pool)
	}
	if home == r.Instance {
		became(key.pool)
	}
	r.declare(key, home)
}

// declare gives the grants held of a pool to its home and tells it of them, also that there are none.
func (r *Router) declare(key poolKey, home string) {
	r.mu.Lock()
	mine := map[heldKey]*held{}
	for k, h := range r.held {
		if k.pool == key.pool && h.dataCentre == key.dataCentre {
			mine[k] = h
		}
	}
	r.mu.Unlock()
	claim := wire.GrantsHeld{Pool: key.pool, Grants: []wire.GrantHeld{}}
	for k, h := range mine {
		if !h.grant.Redirect(home, r.releaser(k, home)) {
			continue
		}
		claim.Grants = append(claim.Grants, wire.GrantHeld{
			Grant:     k.number,
			Server:    h.grant.Server(),
			Class:     h.ask.Class,
			Workspace: h.ask.Workspace,
		})
	}
	if home == r.Instance {
		r.Local(key.pool).Reclaim(r.Instance, claim.Grants)
		return
	}
	if peer, ok := r.Peer(home); ok {
		_ = peer.Claim(context.Background(), claim)
	}
}

// ErrNoLink tells that an instance has no link to a home.
type ErrNoLink struct {
	// Instance is the home's instance.
	Instance string
}

func (e ErrNoLink) Error() string { return "no link to instance " + e.Instance }
