// Package engine simulates a model engine for tests: the completions API with batched slots, priorities and pauses of
// streams, a prefix cache whose events can be delayed or lost, load reports that can lag behind, and orders.
//
// Lock order: Server.mu is taken before slotScheduler.mu, cache.mu or loadHistory.mu; no two of these three are held
// together.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/standin/web"
	"github.com/toucanroute/toucanroute/wire"
)

// Defaults of an engine.
const (
	defaultSlots       = 8
	defaultModel       = "assistant"
	defaultTokenTime   = 10 * time.Millisecond
	defaultPrefillTime = 100 * time.Microsecond
	defaultCacheTokens = 64 << 10
	defaultMinTokens   = 16
	defaultMaxTokens   = 1024
)

// Faults are the settable faults of an engine.
type Faults struct {
	// Down closes all streams, and closes the connection of each new request without a response.
	Down bool `json:"down"`
	// CrashMs simulates a crash: closes all streams, empties the cache and closes the connection of each new request
	// for this number of milliseconds.
	CrashMs int `json:"crash_ms"`
	// Freeze accepts requests without sending responses, and halts running streams.
	Freeze bool `json:"freeze"`
	// SlowFactor multiplies the time to the first token and the time between tokens; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// LoadLagMs is the age of the reported load, in milliseconds.
	LoadLagMs int `json:"load_lag_ms"`
	// EventDrop is the share of cache events that are lost, from 0 to 1.
	EventDrop float64 `json:"event_drop"`
	// EventDelayMs is the age at which a cache event becomes visible, in milliseconds.
	EventDelayMs int `json:"event_delay_ms"`
	// FinishLateMs delays the end of each response, in milliseconds, after the last token was sent and the slot was
	// freed.
	FinishLateMs int `json:"finish_late_ms"`
	// CrossAnswers is the number of responses that are still to be followed, on the same connection, by a response that
	// belongs to another request.
	CrossAnswers int `json:"cross_answers"`
	// CutAfterTokens closes the connection of each stream after this number of tokens; 0 means never.
	CutAfterTokens int `json:"cut_after_tokens"`
	// IgnoreCancel lets cancelled streams run to their end.
	IgnoreCancel bool `json:"ignore_cancel"`
}

// slowed returns d multiplied by SlowFactor.
func (f Faults) slowed(d time.Duration) time.Duration {
	if f.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.SlowFactor)
}

// Server is one simulated engine. Its exported fields are set before Run or Handler is called; zero values are replaced
// by the defaults.
type Server struct {
	// Address is the IP address and port on which Run listens.
	Address string
	// OnListen, if set, is called with the bound address.
	OnListen func(address string)
	// Name is the name of the backend server in load reports.
	Name string
	// Models are the names of the models that the engine serves; a request for another model gets 404.
	Models []string
	// Slots is the number of streams that can run at once.
	Slots int
	// TokenTime is the time between tokens while one stream runs; it is twice as long while all slots are in use.
	TokenTime time.Duration
	// PrefillTime is the time that each prompt token that isn't cached adds to the time to first token.
	PrefillTime time.Duration
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int
	// MinTokens and MaxTokens are the limits of the completion length, which has a heavy-tailed distribution.
	MinTokens int
	MaxTokens int
	// Seed determines the length of each completion and which cache events are lost.
	Seed uint64
	// LoadLag is the initial age of the reported load; the LoadLagMs fault changes it.
	LoadLag time.Duration
	// ChecksFencing makes the engine refuse an order whose fencing token is lower than an earlier one.
	ChecksFencing bool

	faults      web.Faults[Faults]
	scheduler   *slotScheduler
	cache       *cache
	loadHistory *loadHistory

	mu      sync.Mutex
	stats   Stats
	streams map[string]*stream
	// crashed is closed and replaced by a new channel at each simulated crash.
	crashed chan struct{}
	// crashedUntil is the end of the latest simulated crash.
	crashedUntil time.Time
	// isDown is the fault Down as it was last applied.
	isDown bool
}

// Run serves requests until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return web.Serve(ctx, s.Address, s.Handler(), s.OnListen)
}

// Handler returns the handler of the engine's API and of the stand-in's /admin endpoints.
func (s *Server) Handler() http.Handler {
	s.setDefaults()
	s.scheduler = newSlotScheduler(s.Slots)
	s.cache = newCache(s.CacheTokens, s.Seed)
	s.loadHistory = newLoadHistory()
	s.streams = map[string]*stream{}
	s.crashed = make(chan struct{})
	s.faults.OnChange = s.applyFaults
	s.faults.Update(func(f *Faults) { f.LoadLagMs = int(s.LoadLag / time.Millisecond) })
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.withFaults(s.handleChat))
	mux.HandleFunc("POST /v1/completions", s.withFaults(s.handleText))
	mux.HandleFunc("GET /v1/models", s.withFaults(s.listModels))
	mux.HandleFunc("POST /v1/streams/{id}/cancel", s.withFaults(s.cancelStream))
	mux.HandleFunc("POST /v1/streams/{id}/pause", s.withFaults(s.pauseStream))
	mux.HandleFunc("POST /v1/streams/{id}/resume", s.withFaults(s.resumeStream))
	mux.HandleFunc("GET /load", s.withFaults(s.handleLoad))
	mux.HandleFunc("GET /cache/events", s.withFaults(s.handleCacheEvents))
	mux.HandleFunc("POST /kv/export", s.withFaults(s.exportKV))
	mux.HandleFunc("POST /kv/import", s.withFaults(s.importKV))
	mux.HandleFunc("POST /orders", s.withFaults(s.order))
	mux.HandleFunc("GET /admin/stats", s.handleStats)
	mux.Handle("/admin/faults", &s.faults)
	return mux
}

func (s *Server) setDefaults() {
	if len(s.Models) == 0 {
		s.Models = []string{defaultModel}
	}
	s.Slots = orDefault(s.Slots, defaultSlots)
	s.TokenTime = orDefault(s.TokenTime, defaultTokenTime)
	s.PrefillTime = orDefault(s.PrefillTime, defaultPrefillTime)
	s.CacheTokens = orDefault(s.CacheTokens, defaultCacheTokens)
	s.MinTokens = orDefault(s.MinTokens, defaultMinTokens)
	s.MaxTokens = max(s.MinTokens, orDefault(s.MaxTokens, defaultMaxTokens))
}

// orDefault returns v, or fallback if v is zero.
func orDefault[T int | time.Duration](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

// withFaults wraps a handler of the engine's API so that it counts requests with API keys and simulates crashes and
// freezes. The /admin endpoints aren't wrapped.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if web.HasAPIKey(r) {
			s.updateStats(func(stats *Stats) { stats.KeysSeen++ })
		}
		if s.isUnavailable() || !s.waitWhileFrozen(r.Context()) {
			web.AbortConnection()
		}
		web.EchoRequestID(w, r)
		next(w, r)
	}
}

// applyFaults is called after each change of the faults. It simulates a crash if CrashMs is set or Down becomes true.
func (s *Server) applyFaults(f Faults) {
	s.mu.Lock()
	goesDown := f.Down && !s.isDown
	s.isDown = f.Down
	s.mu.Unlock()
	if f.CrashMs > 0 {
		s.faults.Consume(func(f *Faults) bool { f.CrashMs = 0; return true })
		s.crashFor(web.Millis(f.CrashMs))
		return
	}
	if goesDown {
		s.crashFor(0)
	}
}

// crashFor simulates a crash: it drops all streams, empties the cache and makes the engine unavailable for d.
func (s *Server) crashFor(d time.Duration) {
	s.mu.Lock()
	s.stats.Crashes++
	s.crashedUntil = time.Now().Add(d)
	close(s.crashed)
	s.crashed = make(chan struct{})
	for id, st := range s.streams {
		if st.state == statePaused {
			s.stats.TokensWasted += st.generatedTokens
			s.stats.TokensGenerated += st.generatedTokens
			delete(s.streams, id)
		}
	}
	s.mu.Unlock()
	s.cache.clear()
}

// isUnavailable reports whether the engine is down or in a simulated crash.
func (s *Server) isUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown || time.Now().Before(s.crashedUntil)
}

// crashSignal returns a channel that is closed when the next simulated crash begins.
func (s *Server) crashSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// waitWhileFrozen waits until the fault Freeze is off. It returns false if ctx ends or a crash begins before that.
func (s *Server) waitWhileFrozen(ctx context.Context) bool {
	for {
		changed := s.faults.Changed()
		crash := s.crashSignal()
		if !s.faults.Get().Freeze {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-crash:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// handleLoad handles GET /load: it reports the load as it was LoadLagMs before now.
func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	report := s.loadHistory.at(time.Now().Add(-web.Millis(s.faults.Get().LoadLagMs)))
	report.Server = s.Name
	report.Slots = s.Slots
	report.KvUsed = s.cache.usedShare()
	web.WriteJSON(w, http.StatusOK, report)
}

// recordLoad records the current load for later load reports.
func (s *Server) recordLoad() {
	running, waiting := s.scheduler.load()
	s.loadHistory.add(wire.LoadReport{Running: running, Waiting: waiting})
}
