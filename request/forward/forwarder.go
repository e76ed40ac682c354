package forward

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/memory"
	"github.com/toucanroute/toucanroute/process/quarantine"
	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/process/streamorigin"
	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/request/attempt"
	"github.com/toucanroute/toucanroute/request/placement"
	"github.com/toucanroute/toucanroute/version/hostroute"
)

// Forwarder is the http.Handler that forwards requests to backend servers. Set its fields before the first request.
type Forwarder struct {
	Headers Headers
	// Send sends a request to the host of its URL and returns the response as soon as its headers have arrived. The id
	// is the caller's request id; fresh forces a new connection.
	Send     func(req *http.Request, id string, fresh bool) (*http.Response, error)
	Registry *registry.Registry
	Log      *zap.Logger
	// Table returns the configuration in force; nil if none was loaded yet.
	Table func() *hostroute.Table
	// RetryBudget returns the retry budget of a pool.
	RetryBudget func(pool string) *attempt.WindowBudget
	// WorkloadMix returns the recent workload of a pool, by kind of request.
	WorkloadMix func(pool string) *placement.WorkloadMix
	// Shares returns what workspaces ask for of a pool.
	Shares func(pool string) *placement.WorkspaceShares
	// PrefillRate returns the estimated prefill rate of a pool's engines.
	PrefillRate func(pool string) *placement.PrefillRate
	// OnStarted is called once for each request of a workspace that a backend server may have started to run.
	OnStarted func(workspace string, at time.Time)
	// Memory is the memory that all requests, their bodies, large responses and events together may take, and Buffers the
	// part of it for large responses and events: servers in trouble may send without end.
	Memory, Buffers *memory.Budget
	// Heads is the part of Memory for long heads of responses that are passed on.
	Heads *memory.Budget
	// DataCentre is the name of the instance's own data centre.
	DataCentre string
	// OnLoadChange is called when this instance's load on a server has changed; it may be nil.
	OnLoadChange func()
	// ResetOnClose sets whether the caller's connection of a request, given by its context, is reset when it closes, also
	// by the end of the process.
	ResetOnClose func(ctx context.Context, reset bool) error
	// BeginStream is called when the first event of a stream that callers may take up has been sent. The id is that of
	// the request which brought it.
	BeginStream func(id string, origin streamorigin.Origin)
	// FindStream returns what began the stream whose first event the request with the id brought; false if no reachable
	// instance knows it.
	FindStream func(ctx context.Context, id string) (streamorigin.Origin, bool)
	// OnlyOrigin returns what began all streams of a route, given by its host and prefix, that callers may still take up, if
	// the answer is streamorigin.Single.
	OnlyOrigin func(ctx context.Context, host, prefix string) (streamorigin.Origin, streamorigin.Answer)
	// ObserveTakeUp is called with the result of each stream that a caller takes up; it may be nil.
	ObserveTakeUp func(result string)
	// StallTimeout is the shortest time without an event after which a stream that has begun counts as stalled; 0 means
	// 30 s. Longer timeouts and pauses of a route go before it.
	StallTimeout time.Duration
	// FindRelay returns the address of another instance that reaches the backend servers of a pool, except for those in skip;
	// false if there is none. It may be nil.
	FindRelay func(pool string, skip map[string]bool) (string, bool)
	// FindRelayAt does the same for the instances at some positions by rank. It must be set if FindRelay is.
	FindRelayAt func(positions []int, skip map[string]bool) (string, bool)
	// Regions returns the region of each data centre of the deployment; empty if a data centre has none. It is nil if requests
	// aren't restricted.
	Regions func() map[string]string
	// InstancesOutside returns the addresses of the other instances that aren't in one of some data centres. It may be nil.
	InstancesOutside func(dataCentres map[string]bool) []string
	// Evacuated returns the evacuated data centres; it may be nil.
	Evacuated func() []string
	// KnowsEvacuations reports whether the evacuated data centres are known, before which no request is served; it may be
	// nil.
	KnowsEvacuations func() bool
	// SendRelayed sends a request to the instance at the host of its URL, like Send.
	SendRelayed func(req *http.Request, id string, fresh bool) (*http.Response, error)
	// Quarantine keeps requests away from servers that crash under them.
	Quarantine *quarantine.Table
	// Observe records the summary of each finished request in the metrics; it may be nil.
	Observe func(Summary)

	mu sync.Mutex
	// running holds the running requests until ended is set.
	running map[*call]struct{}
	ended   bool
}

// Summary describes one finished request.
type Summary struct {
	// Route is the name of the request's route; empty if no route matched.
	Route   string
	Outcome Outcome
	// ErrorCode is the error code of the instance's own error response; empty if it sent none.
	ErrorCode string
	// Attempts is the number of times that the request was sent to a backend server.
	Attempts int
	// TimeToFirstByte is the time from arrival to the first byte of the response; 0 if there was none.
	TimeToFirstByte time.Duration
	// TotalTime is the time from arrival to the end.
	TotalTime time.Duration
	Late      Late
}

// call is the state of one request while it is processed.
type call struct {
	f *Forwarder
	w http.ResponseWriter
	r *http.Request
	// config is the configuration that was active when the request arrived.
	config *hostroute.Table
	route  *hostroute.Route
	pool   *hostroute.Pool
	meta   RequestMeta
	// workspace is the owner of the caller's key; empty if the route needs no key.
	workspace string
	// identity is what the request is known by if servers crash under it.
	identity quarantine.Request
	// homes holds the data centres of the homes of the route and the workspace, and dataCentres those whose backend servers
	// the request may reach; nil means all.
	homes, dataCentres map[string]bool
	// rank is the request's priority; 0 is the most urgent.
	rank int
	// requestBody holds the body. memory is granted for the request beside it, and headMemory for the head of the response.
	requestBody        buffer
	memory, headMemory int64
	body               []byte
	arrivedAt          time.Time
	// isRelayed is set for a request that another instance relayed.
	isRelayed bool
	// relays holds the addresses of the instances to which the request was relayed, the last one in relayedTo.
	relays    map[string]bool
	relayedTo string
	// beganRelayed is set once an event from another instance was forwarded and it isn't known here what began the stream.
	beganRelayed bool
	// timeoutTimer cancels ctx at the request's deadline, timeLimit after its arrival. It is stopped when the response
	// starts.
	timeoutTimer *time.Timer
	timeLimit    time.Duration
	// ctx is cancelled when the caller disconnects, at the request's deadline or when the instance stops.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// cancelAttempt cancels the running attempt at a server.
	cancelAttempt context.CancelCauseFunc

	// followsPace is set if the stream is among those of the pool that may pause least, and begunPace and latePace once
	// its first event and its first pause of more than permitted were counted.
	followsPace, begunPace, latePace bool
	// splitsServers is set if the pool's servers are split between delay-tolerant and latency-sensitive requests.
	splitsServers bool
	// triedServers holds the ids of the servers that were tried.
	triedServers map[string]bool
	// unconnected holds the ids of those of triedServers to which no byte of the request was sent.
	unconnected []string
	// triedAddresses holds the addresses to which the request was sent.
	triedAddresses map[string]bool
	// countedPool is the pool of which the request's work was counted last.
	countedPool string
	// sends counts the attempts of which a byte may have been sent; possibleRuns counts those that a server may have
	// run.
	sends, possibleRuns int
	// lost is the number of attempts that were lost with the connection to their server, which may have crashed.
	lost int
	// allowanceWait is the time for which the request has waited for servers that are cold or limited.
	allowanceWait time.Duration
	// startReported is set once the request was reported to Forwarder.OnStarted.
	startReported bool
	// maxEventGap is the longest time between two events of the response.
	maxEventGap time.Duration
	// firstByteAt is the time at which the response to the caller started.
	firstByteAt time.Time
	// serverID is the id of the last server that was tried, and serverVersion the version of its software.
	serverID, serverVersion string
	// origin is what began the stream; zero before its first event.
	origin streamorigin.Origin
	// order is that of the stream's events.
	order eventOrder
	// isJoinable is set while a further run could go on after the events that the caller has, or there are none. Unlike order,
	// it may be read by any goroutine.
	isJoinable atomic.Bool
	// isRetryReserved is set while an attempt is taken from the retry budget that hasn't been made; see reserveRetry.
	isRetryReserved atomic.Bool
	// runEvents is the number of events of the current run that the caller has, and lastEventAt the time of the last one;
	// zero if there was none.
	runEvents   int
	lastEventAt time.Time
	// brokenOffAt is the time at which the last run broke off after the response had begun; zero if none did.
	brokenOffAt time.Time
	// givenUp says why the request isn't tried again; empty before.
	givenUp giveUpReason
	// serverChoice and cacheSource describe the last choice of a server; see logRequest.
	serverChoice serverChoice
	cacheSource  string
	// answerBeganAt is the time of the first event from the last server that was tried; zero if there was none.
	answerBeganAt time.Time
	// placedAt is the time at which the last server was chosen.
	placedAt time.Time
	// framing is the framing of the last server response; empty if there was none.
	framing request.Framing
	// endsWithConnection is set if the response to the caller has started and only the end of the connection ends it.
	endsWithConnection bool
	// status is the HTTP status of the response to the caller; 0 if none was sent.
	status int
	// errorCode is the code of the instance's own error response; empty if it sent none.
	errorCode string
	outcome   Outcome
}

var (
	errTimeout      = errors.New("the route's time is over")
	errUnreachable  = errors.New("the backend server can't be reached any more")
	errUnresponsive = errors.New("the backend server answers nothing")
)

// ServeHTTP forwards one request and logs its outcome.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.serve(&call{f: f, w: w, r: r, arrivedAt: time.Now()})
}

func (f *Forwarder) serve(c *call) {
	ctx, cancel := context.WithCancelCause(c.r.Context())
	defer cancel(nil)
	c.ctx, c.cancel = ctx, cancel
	c.f.addRunning(c)
	defer c.f.removeRunning(c)
	defer c.returnMemory()
	err := c.prepare()
	if err == nil {
		err = c.run()
	}
	if c.timeoutTimer != nil {
		c.timeoutTimer.Stop()
	}
	if err != nil {
		c.writeError(err)
	}
	if err != nil && c.isStopping() {
		c.logEnded()
	}
	if c.outcome == OutcomeInterrupted {
		c.logBrokenOff(err)
	}
	c.logRequest()
	if c.outcome == OutcomeInterrupted || c.outcome == OutcomeCallerLeft && c.status == 0 {
		// Closes the connection without a proper end, so that the caller can't take the partial response for a complete
		// one, nor net/http's empty response if nothing was written.
		panic(http.ErrAbortHandler)
	}
	c.completeResponse()
}

// Outcome classifies how a request ended.
type Outcome string

const (
	// OutcomeServed means that a backend server's successful response was sent.
	OutcomeServed Outcome = "served"
	// OutcomeServerFailure means that a backend server's error response was sent.
	OutcomeServerFailure Outcome = "failure_passed"
	// OutcomeInstanceError means that the instance sent an error response of its own.
	OutcomeInstanceError Outcome = "own_answer"
	// OutcomeInterrupted means that the response ended before it was complete.
	OutcomeInterrupted Outcome = "broken_off"
	// OutcomeCallerLeft means that the caller disconnected.
	OutcomeCallerLeft Outcome = "caller_left"
)

// prepare finds the route of the request, checks its key, chooses a pool, reads the body and starts the timeout.
func (c *call) prepare() error {
	c.config = c.f.Table()
	if c.config == nil || !c.f.Registry.HasList() || c.f.KnowsEvacuations != nil && !c.f.KnowsEvacuations() {
		return notReadyError()
	}
	meta, err := c.f.Headers.ReadRequest(c.r.Header)
	if err != nil {
		return badRequestError(err)
	}
	c.meta = meta
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	route, ok := c.config.Route(c.r.Host, path)
	if !ok {
		return request.NewRefusal(http.StatusNotFound, request.CodeNotFound, "no route leads there")
	}
	c.route = route
	if _, ok := targetURL("", c.r.RequestURI); !ok {
		return request.NewRefusal(http.StatusBadRequest, request.CodeBadRequest, "the request's target can't be sent on unchanged")
	}
	var owner *hostroute.Workspace
	if c.config.NeedsKey(route) {
		if owner, ok = c.config.WorkspaceByKey(meta.Key); !ok {
			return request.NewRefusal(http.StatusUnauthorized, request.CodeBadKey, "the key is not valid")
		}
		c.workspace = owner.Name
	}
	c.restrict(owner)
	c.rank = c.config.Rank(route, owner)
	c.pool = c.choosePool()
	if err := c.findOrigin(); err != nil {
		return err
	}
	if c.meta.Prompt != nil {
		c.classifyPrompt()
		c.meta.Prompt.FirstEventTarget = route.FirstEventTarget
	}
	if err := c.takeMemory(); err != nil {
		return err
	}
	if err := c.readBody(); err != nil {
		return err
	}
	c.identify()
	c.startTimeout()
	return nil
}

// choosePool chooses one of the route's pools by their weights and a hash of the request id.
func (c *call) choosePool() *hostroute.Pool {
	names := make([]string, len(c.route.Shares))
	weights := make([]float64, len(c.route.Shares))
	for i, s := range c.route.Shares {
		names[i], weights[i] = s.Pool, s.Weight
	}
	pool, _ := c.config.Pool(placement.ChoosePool(c.meta.ID, names, weights))
	return pool
}

// responseLimit returns the time until the response must start: the shorter of the route's timeout and the caller's own;
// 0 means no limit.
func (c *call) responseLimit() time.Duration {
	limit := c.route.Timeout
	if c.meta.CallerTimeout > 0 && (limit == 0 || c.meta.CallerTimeout < limit) {
		limit = c.meta.CallerTimeout
	}
	return limit
}

// startTimeout limits the time until the response starts.
func (c *call) startTimeout() {
	if c.timeLimit = c.responseLimit(); c.timeLimit > 0 {
		c.timeoutTimer = time.AfterFunc(time.Until(c.arrivedAt.Add(c.timeLimit)), func() { c.cancel(errTimeout) })
	}
}

// remainingTime returns the time until the caller stops waiting; 0 if unknown.
func (c *call) remainingTime() time.Duration {
	if c.meta.CallerTimeout == 0 {
		return 0
	}
	return max(time.Until(c.arrivedAt.Add(c.meta.CallerTimeout)), time.Millisecond)
}

// roundHundredths shortens a number for the log.
func roundHundredths(v float64) float64 { return math.Round(v*100) / 100 }

// logRequest writes the log line of a finished request and passes its summary to the metrics.
func (c *call) logRequest() {
	summary := Summary{ErrorCode: c.errorCode, Attempts: c.sends, TotalTime: time.Since(c.arrivedAt), Outcome: c.outcome}
	fields := make([]zap.Field, 0, 29)
	fields = append(fields,
		zap.String("request_id", c.meta.ID),
		zap.String("outcome", string(c.outcome)),
		zap.Int("status", c.status),
		zap.Duration("total", summary.TotalTime),
	)
	if c.route != nil {
		summary.Route = c.route.Name
		fields = append(fields,
			zap.String("route", c.route.Name),
			zap.String("workspace", c.workspace),
			zap.Int("rank", c.rank),
			zap.Int("config", c.config.Version()),
			zap.Int("sends", c.sends),
			zap.Bool("relayed", c.isRelayed),
			zap.String("relayed_to", c.relayedTo),
			zap.String("server", c.serverID),
		)
		if c.serverChoice.candidateCount > 0 {
			fields = append(fields,
				zap.Int("servers", c.serverChoice.candidateCount),
				zap.Int("cost", int(c.serverChoice.cost)),
				zap.Int("running", c.serverChoice.server.Running),
				zap.Int("unread", c.serverChoice.server.PendingPrefill),
				zap.Float64("speed", roundHundredths(c.serverChoice.server.Speed)),
				zap.Float64("work_time", roundHundredths(c.serverChoice.server.WorkTime)),
				zap.Duration("load_age", c.serverChoice.server.LoadAge.Round(time.Millisecond)),
				zap.Bool("owner", c.serverChoice.isCacheOwner),
				zap.String("fetched", c.cacheSource),
			)
		}
		if c.framing != "" {
			fields = append(fields, zap.String("framing", string(c.framing)))
		}
		if prompt := c.meta.Prompt; prompt != nil {
			fields = append(fields, zap.Int("prompt", prompt.Tokens), zap.Int("shared", prompt.SharedTokens()))
		}
	}
	if !c.firstByteAt.IsZero() {
		summary.TimeToFirstByte = c.firstByteAt.Sub(c.arrivedAt)
		fields = append(fields, zap.Duration("first", summary.TimeToFirstByte), zap.Duration("gap", c.maxEventGap))
		if summary.Late = c.late(summary.TimeToFirstByte); summary.Late != "" {
			fields = append(fields, zap.String("late", string(summary.Late)))
		}
	}
	c.f.Log.Info("request", fields...)
	if c.f.Observe != nil {
		c.f.Observe(summary)
	}
}
