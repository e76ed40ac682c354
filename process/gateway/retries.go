package gateway

import (
	"time"

	"github.com/toucanroute/toucanroute/request/attempt"
)

const (
	// retryRatioShare is the share of the configured ratio of retries to requests that this instance uses up. The rest
	// is a safety margin: the windows of this instance don't begin at the same moment as those in which the ratio is
	// checked, so that a request near the end of a window may be counted in the next one.
	retryRatioShare = 0.8
	// minBudgetInstances is the minimum number of instances by which the fixed part of the retry budget is divided: the others
	// count an instance that joins a little later than it counts itself.
	minBudgetInstances = 8
)

// ownRetryExtra returns this instance's part of the fixed number of retries that all instances share. It is 0 until this
// instance knows the others, and for one window after a restart, since the process before may have used it until its end.
func (g *Gateway) ownRetryExtra() float64 {
	if !g.mesh.KnowsOthers() {
		return 0
	}
	isFirst, _ := g.mesh.IsFirstRun()
	if !isFirst && time.Since(g.startedAt) <= seconds(g.Settings.Forwarding.RetryWindowS) {
		return 0
	}
	return g.currentSettings.Load().RetryExtra / float64(max(g.mesh.InstanceCount(), minBudgetInstances))
}

// retryBudget returns the retry budget of a pool, which limits the retries within a time window.
func (g *Gateway) retryBudget(pool string) *attempt.WindowBudget {
	return getOrCreateForPool(g, g.retryBudgets, pool, func() *attempt.WindowBudget {
		forwarding := g.Settings.Forwarding
		return &attempt.WindowBudget{Length: seconds(forwarding.RetryWindowS), Ratio: forwarding.RetryRatio * retryRatioShare, FixedAllowance: g.ownRetryExtra}
	})
}
