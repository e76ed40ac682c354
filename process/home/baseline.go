package home

import (
	"context"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/request/pick"
	"github.com/toucanroute/toucanroute/wire"
)

// Baseline assigns a backend server to each request immediately, without a queue, tiers or refusals. Experiments
// compare the scheduler with it. The exported fields must be set before use.
type Baseline struct {
	// Instance is this instance's name.
	Instance string
	// Policy chooses among the backend servers of the pool.
	Policy pick.Policy
	// Servers returns the backend servers of a pool in this data centre that may get requests.
	Servers func(pool string) []wire.Server

	mu sync.Mutex
	// reports holds the newest load report of each backend server.
	reports map[string]wire.LoadReport
	// lastNumber is the number of the last grant.
	lastNumber int
}

// RecordLoad stores a load report.
func (b *Baseline) RecordLoad(r wire.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reports == nil {
		b.reports = map[string]wire.LoadReport{}
	}
	b.reports[r.Server] = r
}

// Acquire returns a grant for the backend server that the policy chooses.
func (b *Baseline) Acquire(_ context.Context, ask wire.GrantAsk) (*pool.Grant, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []*pick.Server
	for _, s := range b.Servers(ask.Pool) {
		candidates = append(candidates, &pick.Server{Name: s.Name, Slots: s.Slots, Reported: b.reports[s.Name]})
	}
	candidates = withoutServers(candidates, ask.Exclude)
	if len(candidates) == 0 {
		return nil, pool.ErrRefused{Reason: pool.ReasonNoServer, RetryAfter: time.Second}
	}
	b.lastNumber++
	chosen := b.Policy.Choose(candidates, pick.Requirements{})
	return pool.NewGrant(chosen.Name, b.Instance, b.lastNumber, func(wire.GrantRelease) {}), nil
}

// withoutServers returns the servers except the named ones. If no server remains, it returns all.
func withoutServers(servers []*pick.Server, names []string) []*pick.Server {
	excluded := map[string]bool{}
	for _, n := range names {
		excluded[n] = true
	}
	var remaining []*pick.Server
	for _, s := range servers {
		if !excluded[s.Name] {
			remaining = append(remaining, s)
		}
	}
	if len(remaining) == 0 {
		return servers
	}
	return remaining
}
