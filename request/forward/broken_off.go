package forward

import (
	"time"

	"go.uber.org/zap"
)

// giveUpReason says why no further attempt is made at a request whose response isn't complete.
type giveUpReason string

const (
	// attemptsUsed means that the request was sent as often as the route permits, or failed as often before a byte was sent.
	attemptsUsed giveUpReason = "attempts"
	// notRepeatable means that requests of the route may run only once.
	notRepeatable giveUpReason = "not_repeatable"
	// notResumable means that no further run can be joined to the events that the caller has.
	notResumable giveUpReason = "not_resumable"
	// retryBudgetUsed means that the pool's retry budget has no attempt left.
	retryBudgetUsed giveUpReason = "retry_budget"
	// crashesServers means that too many servers may have crashed under the request.
	crashesServers giveUpReason = "crashes_servers"
	// noServer means that no backend server is left, and noInstance that it isn't known what began the stream at another
	// instance, and no instance is left to which it can be relayed.
	noServer   giveUpReason = "no_server"
	noInstance giveUpReason = "no_instance"
)

// silence returns the time since the last event of the current run; 0 if it has brought none.
func (c *call) silence() time.Duration {
	if c.lastEventAt.IsZero() {
		return 0
	}
	return time.Since(c.lastEventAt)
}

// logBrokenOff writes why a response that has begun ends before it is complete. The reason is empty if the caller has left,
// or this instance is stopping.
func (c *call) logBrokenOff(err error) {
	c.f.Log.Info("response_broken_off",
		zap.String("request_id", c.meta.ID),
		zap.String("reason", string(c.givenUp)),
		zap.String("server", c.serverID),
		zap.String("relayed_to", c.relayedTo),
		zap.String("framing", string(c.framing)),
		zap.Bool("ends_with_connection", c.endsWithConnection),
		zap.Int("possible_runs", c.possibleRuns),
		zap.Int("max_attempts", c.route.MaxAttempts),
		zap.String("last_event", c.meta.LastEventID),
		zap.Bool("inside_event", c.order.isCut),
		zap.Int("run_events", c.runEvents),
		zap.Duration("silent", c.silence()),
		zap.Duration("total", time.Since(c.arrivedAt)),
		zap.Error(err),
	)
}
