// Package engine stands in for a model engine: the completions API with batched slots, priorities, pauses, a prefix
// cache with late and gappy events, lagging load reports and orders.
//
// Lock order: Server.mu, then scheduler.mu, cache.mu or loads.mu, which are never held together.
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
	// Down closes all streams and each new connection without an answer.
	Down bool `json:"down"`
	// CrashMs, when set, closes all streams, empties the cache and refuses everything for so long.
	CrashMs int `json:"crash_ms"`
	// Freeze accepts requests and answers nothing; running streams stand still.
	Freeze bool `json:"freeze"`
	// SlowFactor multiplies the time to first token and between tokens; 0 reads as 1.
	SlowFactor float64 `json:"slow_factor"`
	// LoadLagMs is the age of the load reports, in milliseconds.
	LoadLagMs int `json:"load_lag_ms"`
	// EventDrop is the share of cache events that get lost, 0 to 1.
	EventDrop float64 `json:"event_drop"`
	// EventDelayMs is the age at which cache events show up, in milliseconds.
	EventDelayMs int `json:"event_delay_ms"`
	// FinishLateMs delays the end of each answer.
	FinishLateMs int `json:"finish_late_ms"`
	// CrossAnswers is the number of answers that are still followed, on the same connection, by one to another request.
	CrossAnswers int `json:"cross_answers"`
	// CutAfterTokens closes each stream without its end after so many tokens; 0 is never.
	CutAfterTokens int `json:"cut_after_tokens"`
	// IgnoreCancel lets cancelled streams run to their end.
	IgnoreCancel bool `json:"ignore_cancel"`
}

// slowed returns d under SlowFactor.
func (f Faults) slowed(d time.Duration) time.Duration {
	if f.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.SlowFactor)
}

// Server is one engine. Its exported fields are set before Run or Handler; zero values read as the defaults.
type Server struct {
	// Address is the IP number and port that Run listens on.
	Address string
	// Ready, if set, gets the bound address.
	Ready func(address string)
	// Name of the backend server, told in load reports.
	Name string
	// Models that the engine serves; a request for another gets 404.
	Models []string
	// Slots is the number of streams that run at once.
	Slots int
	// TokenTime is the time between tokens with one stream running; it doubles with all slots taken.
	TokenTime time.Duration
	// PrefillTime is the time that each prompt token adds to the first token unless it is cached.
	PrefillTime time.Duration
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// MinTokens and MaxTokens bound the length of an answer, which is heavy-tailed between them.
	MinTokens int
	MaxTokens int
	// Seed goes into the length of each answer.
	Seed uint64
	// LoadLag is the age of the load reports at the start.
	LoadLag time.Duration
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool

	faults web.Faults[Faults]
	slots  *scheduler
	cache  *cache
	loads  *loads

	mu      sync.Mutex
	stats   Stats
	streams map[string]*stream
	// crash is closed at a crash and replaced.
	crash chan struct{}
	// deadUntil is the end of the last crash.
	deadUntil time.Time
	isDown    bool
}

// Run answers until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return web.Serve(ctx, s.Address, s.Handler(), s.Ready)
}

// Handler returns the engine's interfaces with the stand-in's own.
func (s *Server) Handler() http.Handler {
	s.setDefaults()
	s.slots = newScheduler(s.Slots)
	s.cache = newCache(s.CacheTokens, s.Seed)
	s.loads = newLoads()
	s.streams = map[string]*stream{}
	s.crash = make(chan struct{})
	s.faults.OnChange = s.applyFaults
	s.faults.Update(func(f *Faults) { f.LoadLagMs = int(s.LoadLag / time.Millisecond) })
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.guard(s.chat))
	mux.HandleFunc("POST /v1/completions", s.guard(s.complete))
	mux.HandleFunc("GET /v1/models", s.guard(s.models))
	mux.HandleFunc("POST /v1/streams/{id}/cancel", s.guard(s.cancelStream))
	mux.HandleFunc("POST /v1/streams/{id}/pause", s.guard(s.pauseStream))
	mux.HandleFunc("POST /v1/streams/{id}/resume", s.guard(s.resumeStream))
	mux.HandleFunc("GET /load", s.guard(s.load))
	mux.HandleFunc("GET /cache/events", s.guard(s.cacheEvents))
	mux.HandleFunc("POST /kv/export", s.guard(s.exportKV))
	mux.HandleFunc("POST /kv/import", s.guard(s.importKV))
	mux.HandleFunc("POST /orders", s.guard(s.order))
	mux.HandleFunc("GET /admin/stats", s.answerStats)
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

func orDefault[T int | time.Duration](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

// guard applies crash and freeze to all but the stand-in's own interface, and looks for keys.
func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if web.HasKey(r) {
			s.count(func(stats *Stats) { stats.KeysSeen++ })
		}
		if s.isDead() || !s.thaw(r.Context()) {
			web.Drop()
		}
		web.EchoRequestID(w, r)
		next(w, r)
	}
}

// applyFaults crashes the engine where the faults tell so.
func (s *Server) applyFaults(f Faults) {
	s.mu.Lock()
	goesDown := f.Down && !s.isDown
	s.isDown = f.Down
	s.mu.Unlock()
	if f.CrashMs > 0 {
		s.faults.Take(func(f *Faults) bool { f.CrashMs = 0; return true })
		s.crashFor(web.Millis(f.CrashMs))
		return
	}
	if goesDown {
		s.crashFor(0)
	}
}

// crashFor drops all streams and the cache and refuses everything for d.
func (s *Server) crashFor(d time.Duration) {
	s.mu.Lock()
	s.stats.Crashes++
	s.deadUntil = time.Now().Add(d)
	close(s.crash)
	s.crash = make(chan struct{})
	for id, st := range s.streams {
		if st.state == paused {
			s.stats.TokensWasted += st.done
			s.stats.TokensGenerated += st.done
			delete(s.streams, id)
		}
	}
	s.mu.Unlock()
	s.cache.clear()
}

// isDead tells whether the engine is down or still in a crash.
func (s *Server) isDead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown || time.Now().Before(s.deadUntil)
}

// crashes returns a channel that closes at the next crash.
func (s *Server) crashes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crash
}

// thaw waits while the engine is frozen and tells whether the caller is still there.
func (s *Server) thaw(ctx context.Context) bool {
	for {
		changed := s.faults.Changed()
		crash := s.crashes()
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

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	report := s.loads.at(time.Now().Add(-web.Millis(s.faults.Get().LoadLagMs)))
	report.Server = s.Name
	report.Slots = s.Slots
	report.KvUsed = s.cache.used()
	web.Write(w, http.StatusOK, report)
}

// noteLoad records the load of now for later reports.
func (s *Server) noteLoad() {
	running, waiting := s.slots.load()
	s.loads.add(wire.LoadReport{Running: running, Waiting: waiting})
}
