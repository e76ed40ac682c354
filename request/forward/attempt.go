package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/request/placement"
	"github.com/toucanroute/toucanroute/version/hostroute"
)

// errRefused is the error of an attempt whose server said that it did not run the request.
var errRefused = errors.New("the backend server refused the request")

// errUnusable is the error of an attempt whose response must not be sent to the caller.
var errUnusable = errors.New("the backend server's response can't be used")

// run sends the request to one server after the other until one responds. A nil error means that the response was sent.
func (c *call) run() error {
	c.isJoinable.Store(true)
	c.triedServers, c.triedAddresses, c.relays = map[string]bool{}, map[string]bool{}, map[string]bool{}
	if !c.isRelayed {
		// A relayed request counts at the instance that got it from the caller.
		c.f.RetryBudget(c.pool.Name).CountRequest()
	}
	var lastErr error
	for unsentAttempts := 0; ; {
		if cause := context.Cause(c.ctx); cause != nil {
			return c.finalError(cause)
		}
		if peer, ok := c.findRelay(); ok {
			isFinal, err := c.relay(peer)
			if isFinal {
				return err
			}
			lastErr = err
			continue
		}
		if c.beganRelayed && !c.findRelayedOrigin() {
			c.givenUp = noInstance
			return c.finalError(lastErr)
		}
		if refusal, ok := errors.AsType[request.ErrResponse](lastErr); ok && c.firstByteAt.IsZero() {
			return refusal
		}
		outcome := c.outcome
		target, err := c.place()
		if err != nil {
			if len(c.unconnected) > 0 && c.awaitNextConnect() {
				// The error of a response that has begun counts as its end.
				c.outcome = outcome
				c.retryUnconnected()
				continue
			}
			return c.noServerError(err, lastErr)
		}
		sent, err := c.attempt(target)
		if err == nil || c.outcome == OutcomeInterrupted {
			return err
		}
		lastErr = err
		if context.Cause(c.ctx) != nil {
			return c.finalError(err)
		}
		if !sent {
			c.unconnected = append(c.unconnected, c.serverID)
			if unsentAttempts++; unsentAttempts >= c.unsentLimit() && !c.awaitNextConnect() {
				c.givenUp = attemptsUsed
				return c.finalError(err)
			}
			continue
		}
		if !c.mayTryAnother(err) {
			return c.finalError(err)
		}
	}
}

// noServerError returns the final error when no further server can be tried. The error is err, or that of the last
// attempt if an earlier attempt may have run the request or the response has already started.
func (c *call) noServerError(err, lastErr error) error {
	c.givenUp = noServer
	if !c.firstByteAt.IsZero() {
		return c.finalError(lastErr)
	}
	if lastErr == nil || c.possibleRuns == 0 {
		return err
	}
	return c.finalError(lastErr)
}

// mayTryAnother reports whether the request may be sent to another server after an attempt failed with err. It takes
// one attempt from the pool's retry budget.
func (c *call) mayTryAnother(err error) bool {
	if !errors.Is(err, errRefused) && !c.route.MayRepeat() {
		c.givenUp = notRepeatable
		return false
	}
	if c.possibleRuns >= c.route.MaxAttempts {
		c.givenUp = attemptsUsed
		return false
	}
	if !errors.Is(err, errRefused) && c.crashesServers() {
		c.givenUp = crashesServers
		return false
	}
	if !c.isRetryReserved.Swap(false) && !c.f.RetryBudget(c.pool.Name).TryTake() {
		c.givenUp = retryBudgetUsed
		c.logRetry("retry_refused")
		return false
	}
	c.logRetry("retry_permitted")
	return true
}

// logRetry writes how far the pool's retry budget is used.
func (c *call) logRetry(event string) {
	usage := c.f.RetryBudget(c.pool.Name).Usage()
	c.f.Log.Info(event,
		zap.String("request_id", c.meta.ID),
		zap.String("pool", c.pool.Name),
		zap.Int("requests", usage.Requests),
		zap.Int("retries", usage.Taken),
		zap.Float64("fixed", roundHundredths(usage.FixedAllowance)),
		zap.Duration("budget_age", usage.Age),
	)
}

// serverChoice describes a choice of a server for the log.
type serverChoice struct {
	// cost is the cost of the chosen server; see placement.Choice.
	cost           float64
	server         placement.Candidate
	isCacheOwner   bool
	candidateCount int
}

// assignment is the server that was chosen for an attempt.
type assignment struct {
	attempt *registry.Attempt
	// fetchFrom is the address of an engine that has the prompt's shared parts in its cache; empty if there is none.
	fetchFrom string
}

// selection returns the servers that may be tried: those that weren't, in the data centres that the request may reach, and
// for a stream that has begun, those of the software version that began it.
func (c *call) selection() registry.Selection {
	return registry.Selection{Skip: c.triedServers, Version: c.origin.Version, DataCentres: c.dataCentres}
}

// place chooses a server for the next attempt and counts the request as running there. Before the first attempt
// at an engine it may refuse the request for overload.
func (c *call) place() (assignment, error) {
	if err := c.checkQuarantine(); err != nil {
		return assignment{}, err
	}
	for {
		target, err := c.tryPlace()
		if err != nil || target.attempt != nil {
			return target, err
		}
	}
}

// tryPlace chooses a server like place. It returns no attempt if other requests of this instance have just used up its
// share of what the server takes, or if it has waited for one.
func (c *call) tryPlace() (assignment, error) {
	servers := c.f.Registry.Usable(c.pool.Name, c.selection())
	if len(servers) == 0 {
		if c.awaitAllowance() {
			return assignment{}, nil
		}
		return assignment{}, c.noServerLeftError()
	}
	candidates := c.f.candidates(servers, c.tolerantShare(len(servers)))
	c.settleGroups(candidates)
	var choice placement.Choice
	prefillTokens := 0
	if c.pool.Engine != nil && c.meta.Prompt != nil {
		choice = placement.ChooseEngine(c.meta.Prompt, candidates)
		prefillTokens = c.meta.Prompt.Tokens - c.meta.Prompt.SharedTokens()
		if c.sends == 0 && c.firstByteAt.IsZero() {
			c.countWork(prefillTokens)
			var err error
			if choice, err = c.admit(choice, candidates); err != nil {
				return assignment{}, err
			}
		}
	} else {
		choice = placement.ChooseServer(c.meta.ID, candidates)
	}
	c.cacheSource, c.placedAt = "", time.Now()
	attempt, ok := servers[choice.Index].TryBegin(prefillTokens)
	if !ok {
		return assignment{}, nil
	}
	target := assignment{attempt: attempt}
	if c.pool.Engine != nil && c.meta.Prompt != nil {
		target.fetchFrom = c.findCacheSource(servers[choice.Index])
		c.cacheSource = target.fetchFrom
	}
	if c.f.OnLoadChange != nil {
		c.f.OnLoadChange()
	}
	c.serverChoice = serverChoice{cost: choice.Cost, server: candidates[choice.Index], isCacheOwner: choice.Owner == choice.Index, candidateCount: len(servers)}
	return target, nil
}

// countWork counts the work of the request, once for each pool, however often a server is chosen.
func (c *call) countWork(prefillTokens int) {
	if c.countedPool == c.pool.Name {
		return
	}
	c.countedPool = c.pool.Name
	c.f.WorkloadMix(c.pool.Name).AddRequest(c.meta.Prompt, prefillTokens)
	if c.workspace != "" {
		c.f.Shares(c.pool.Name).Add(c.workspace, c.meta.Prompt.Work(prefillTokens))
	}
}

// admit returns the choice if its expected wait is within the limit, which is lower for what a workspace asks for beyond
// its part. If not, admit chooses a server of the group for delay-tolerant requests, where the request goes ahead of less
// urgent ones. If the wait is too long there too, the first event would come too late, and admit returns an overload
// error. A request that was already sent to a server is not checked again.
func (c *call) admit(choice placement.Choice, candidates []placement.Candidate) (placement.Choice, error) {
	limit, rate := c.config.WaitLimit(c.route, c.pool.Name, c.rank), c.f.PrefillRate(c.pool.Name).TokensPerMs()
	lessUrgentLimit := c.config.LessUrgentWaitLimit(c.pool.Name, c.rank)
	if limit > 0 {
		// Engines prefill this prompt before less urgent ones, so that it isn't refused while these are admitted.
		limit = max(limit, lessUrgentLimit)
	}
	poolLimit := limit
	if left := c.remainingTime(); left > 0 {
		// The caller would be gone before its prompt is prefilled.
		if limit <= 0 {
			limit = placement.LimitOf(left)
		} else {
			limit = min(limit, left)
		}
	}
	refusal, ok := placement.Admit(&candidates[choice.Index], rate, limit)
	excess := 0.0
	if shares := c.f.Shares(c.pool.Name); c.workspace != "" {
		// The time that one caller has left doesn't tell whether the pool is strained.
		shares.ObserveWait(refusal.Wait, poolLimit)
		excess = shares.Excess(c.workspace)
		switch {
		case placement.IsAmong(c.meta.ID, excess):
			// No request is refused for its workspace while less urgent ones are admitted.
			limit = min(limit, max(shares.ExcessLimit(limit), lessUrgentLimit))
			refusal, ok = placement.Admit(&candidates[choice.Index], rate, limit)
		case !ok:
			shares.ObserveRefused()
		}
	}
	c.f.Shares(c.pool.Name).Record(c.workspace, refusal.Wait, ok)
	if ok {
		return choice, nil
	}
	if displacedChoice, found := placement.ChooseDisplaced(c.meta.Prompt, candidates); found {
		if _, ok := placement.Admit(&candidates[displacedChoice.Index], rate, placement.DisplacedLimitFactor*hostroute.HighPriorityWaitLimit(c.route)); ok {
			return displacedChoice, nil
		}
	}
	return choice, c.overloadError(&candidates[choice.Index], refusal, limit, excess)
}

// overloadError records a refused request and returns its error.
func (c *call) overloadError(chosen *placement.Candidate, refusal placement.Refusal, limit time.Duration, excess float64) error {
	c.f.WorkloadMix(c.pool.Name).AddRefused(c.meta.Prompt.Tokens - c.meta.Prompt.SharedTokens())
	c.serverChoice = serverChoice{server: *chosen}
	c.f.Log.Info("request_not_admitted",
		zap.String("request_id", c.meta.ID),
		zap.String("server", chosen.Name),
		zap.Int("unread", chosen.PendingPrefill),
		zap.Int("running", chosen.Running),
		zap.Duration("wait", refusal.Wait),
		zap.Duration("limit", limit),
		zap.String("workspace", c.workspace),
		zap.Float64("excess", excess),
	)
	return request.ErrResponse{
		Status: http.StatusServiceUnavailable, Code: request.CodeOverload, Message: "the backend servers have more work than they can do in time",
		NotRun: true, RetryAfter: refusal.ReturnAfter(limit, c.remainingTime(), c.config.RankShare(c.route, c.pool.Name, c.rank), rand.Float64()),
	}
}

// tolerantShare returns the share of the pool's servers, from 0 to 1, that is reserved for delay-tolerant requests:
// those whose streams may pause for long. The argument servers is the number of usable servers.
func (c *call) tolerantShare(servers int) float64 {
	if !c.splitsServers {
		return 0
	}
	return c.f.WorkloadMix(c.pool.Name).DelayTolerantShare(servers)
}

// newEngineAge is the age up to which an engine counts as new, without a useful cache: shared parts of prompts are used
// again within about this time.
const newEngineAge = 10 * time.Second

// findCacheSource returns the address of the engine from which the chosen one can fetch the cached tokens of the
// prompt's shared parts; empty if there is none. Only engines of the same software version can read each other's cache. What
// is cached of requests with homes is read from there only.
func (c *call) findCacheSource(chosen *registry.Server) string {
	selection := registry.Selection{Version: chosen.Entry().Version, DataCentres: c.dataCentres}
	servers := slices.DeleteFunc(c.f.Registry.CacheSources(c.pool.Name), func(srv *registry.Server) bool { return !selection.Admits(srv.Entry()) })
	sources := make([]placement.Candidate, len(servers))
	now := time.Now()
	prompt, share := c.cachePrompt()
	newSinceMs := now.Add(-newEngineAge).UnixMilli()
	stepTimes := make([]float64, len(servers))
	for i, m := range servers {
		entry, state := m.Entry(), m.State(now)
		sources[i] = placement.Candidate{
			Name: entry.ID, JustStarted: entry.StartedMs > newSinceMs, DelayTolerant: state.Position < share, Speed: state.Speed, WorkTime: state.WorkTime,
		}
		stepTimes[i] = state.StepMs
	}
	placement.SetSpeeds(sources, stepTimes)
	i, ok := placement.ChoosePrefixSource(prompt, sources)
	if !ok || servers[i] == chosen {
		return ""
	}
	return servers[i].Entry().Address
}

// candidates returns the state of the servers for the choice of one. The failure rates are relative to the lowest one
// of these servers; the speeds come from the step times, the times between two events of a stream.
func (f *Forwarder) candidates(servers []*registry.Server, share float64) []placement.Candidate {
	now := time.Now()
	list := make([]placement.Candidate, len(servers))
	stepTimes := make([]float64, len(servers))
	lowestFailureRate := 1.0
	for i, m := range servers {
		state, entry := m.State(now), m.Entry()
		list[i] = placement.Candidate{
			Name: entry.ID, Running: state.Running, Slots: state.Slots, PendingPrefill: state.PendingPrefill,
			FailureRate: state.FailureRate, Speed: state.Speed, WorkTime: state.WorkTime, LoadAge: state.LoadAge,
			SameDataCentre: entry.DataCentre == f.DataCentre, DelayTolerant: state.Position < share,
		}
		lowestFailureRate, stepTimes[i] = min(lowestFailureRate, state.FailureRate), state.StepMs
	}
	placement.SetSpeeds(list, stepTimes)
	for i := range list {
		list[i].FailureRate -= lowestFailureRate
	}
	return list
}

// attempt sends the request to one server and forwards its response. It reports whether a byte may have been sent.
func (c *call) attempt(target assignment) (sent bool, err error) {
	serverAttempt := target.attempt
	server := serverAttempt.Server()
	entry := server.Entry()
	c.triedServers[entry.ID] = true
	c.answerBeganAt = time.Time{}
	c.serverID, c.serverVersion = entry.ID, entry.Version
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	c.cancelAttempt = cancel
	mayMove := c.moveCheck(entry)
	go cancelWhenUnreachable(ctx, cancel, server.Unreachable(), mayMove)
	silenceTimer := time.AfterFunc(c.silenceTimeout(), func() {
		if serverAttempt.CheckUnresponsive() && mayMove() {
			cancel(errUnresponsive)
		}
	})
	defer silenceTimer.Stop()
	resp, err := c.send(ctx, entry, target.fetchFrom)
	if err != nil {
		sent = c.recordFailure(ctx, serverAttempt, err)
		return sent, err
	}
	defer func() { _ = resp.Body.Close() }()
	c.sends++
	return true, c.handleResponse(ctx, serverAttempt, resp)
}

const (
	// silenceTargetFactor is the time after which a server that has sent nothing on any connection counts as
	// unresponsive, as a multiple of the target time to the first event.
	silenceTargetFactor = 2.5
	// minSilenceTimeout and maxSilenceTimeout are the bounds of that time. The lower one is far above the usual
	// processing time of a plain service; the upper one is twice the prefill time of the longest usual prompt.
	minSilenceTimeout = 400 * time.Millisecond
	maxSilenceTimeout = time.Second
)

// silenceTimeout returns the time after which a server that has sent nothing counts as unresponsive.
func (c *call) silenceTimeout() time.Duration {
	return min(max(time.Duration(silenceTargetFactor*float64(c.route.FirstEventTarget)), minSilenceTimeout), maxSilenceTimeout)
}

// recordFailure records an attempt that failed before response headers arrived, and reports whether a byte may have
// been sent.
func (c *call) recordFailure(ctx context.Context, attempt *registry.Attempt, err error) (sent bool) {
	var attemptErr request.ErrAttempt
	sent = !errors.As(err, &attemptErr) || attemptErr.Sent
	if sent {
		c.sends++
		c.possibleRuns++
		c.reportStarted()
	}
	if context.Cause(c.ctx) != nil && !errors.Is(context.Cause(c.ctx), errTimeout) {
		attempt.End(registry.OutcomeCallerGone)
	} else {
		c.endFailed(ctx, attempt, err)
	}
	c.f.Log.Info("attempt_failed",
		zap.String("request_id", c.meta.ID),
		zap.String("server", c.serverID),
		zap.Bool("sent", sent),
		zap.Strings("parts", c.loggedParts()),
		zap.String("fingerprint", c.identity.Fingerprint),
		zap.Error(err),
	)
	return sent
}

// send sends the request to the server and waits for the headers of the response.
func (c *call) send(ctx context.Context, entry registry.Entry, fetchFrom string) (*http.Response, error) {
	h := c.r.Header.Clone()
	request.StripHopHeaders(h)
	upstreamMeta := UpstreamMeta{
		ServerID: entry.ID, Workspace: c.workspace, RemainingTime: c.remainingTime(), Rank: -1, CacheSource: fetchFrom, LastEventID: c.meta.LastEventID,
	}
	if c.pool.Engine != nil {
		upstreamMeta.Rank = c.rank
	}
	c.f.Headers.PrepareForward(h, upstreamMeta)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	target, _ := targetURL(entry.Address, c.r.RequestURI)
	req := (&http.Request{
		Method: c.r.Method,
		URL:    target,
		Host:   c.r.Host,
		Header: h,
	}).WithContext(ctx)
	if c.r.ContentLength != 0 || len(c.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
		req.ContentLength = int64(len(c.body))
	}
	// The id tells the responses on a connection apart, unless the request was sent on it before: one server may have another
	// one's address.
	fresh := c.triedAddresses[entry.Address]
	c.triedAddresses[entry.Address] = true
	return c.f.Send(req, c.meta.ID, fresh)
}

// reportStarted reports the request to Forwarder.OnStarted, at most once.
func (c *call) reportStarted() {
	if c.startReported || c.workspace == "" {
		return
	}
	c.startReported = true
	c.f.OnStarted(c.workspace, time.Now())
}
