// Package objectapi simulates the platform's object API for tests: versioned objects, conditional writes, lists and
// long-poll watches.
package objectapi

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/toucanroute/toucanroute/standin/web"
	"github.com/toucanroute/toucanroute/wire"
)

// Limits of the object API. A watch waits for defaultWatchMs unless the caller asks for another time, which is at most
// maxWatchMs.
const (
	maxValueBytes        = 1 << 20
	defaultHistoryEvents = 1024
	defaultWatchMs       = 30_000
	maxWatchMs           = 60_000
	retryAfterSeconds    = "1"
)

// Faults are the settable faults and limits of the object API.
type Faults struct {
	web.PlatformFaults
	// WritesPerSecond is the rate limit of writes; 0 means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	// ReadsPerSecond is the rate limit of reads, where a watch counts as one read; 0 means no limit.
	ReadsPerSecond float64 `json:"reads_per_second"`
}

// Server is one simulated object API. Its exported fields are set before Run or Handler is called.
type Server struct {
	// Address is the IP address and port on which Run listens.
	Address string
	// OnListen, if set, is called with the bound address.
	OnListen func(address string)
	// WritesPerSecond and ReadsPerSecond are the initial rate limits, which the faults can change; 0 means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// History is the number of newest events that are kept for each kind of object, for watches; 0 means 1024.
	History int

	faults    web.Faults[Faults]
	callStats callStats

	mu sync.Mutex
	// writeLimiter and readLimiter enforce the current rate limits.
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	store        *store
}

// Run serves requests until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return web.Serve(ctx, s.Address, s.Handler(), s.OnListen)
}

// Handler returns the handler of the object API and of the stand-in's /admin endpoints.
func (s *Server) Handler() http.Handler {
	historyEvents := s.History
	if historyEvents == 0 {
		historyEvents = defaultHistoryEvents
	}
	s.store = newStore(historyEvents)
	s.faults.OnChange = s.setLimits
	s.faults.Update(func(f *Faults) {
		f.WritesPerSecond = s.WritesPerSecond
		f.ReadsPerSecond = s.ReadsPerSecond
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.withFaults("get", s.get))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.withFaults("put", s.put))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.withFaults("delete", s.remove))
	mux.HandleFunc("GET /v1/objects/{kind}", s.withFaults("list", s.list))
	mux.HandleFunc("GET /v1/watch/{kind}", s.withFaults("watch", s.watch))
	mux.Handle("/admin/faults", &s.faults)
	mux.HandleFunc("GET /admin/stats", s.stats)
	return mux
}

// setLimits sets the rate limits to those of the faults.
func (s *Server) setLimits(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLimiter = newLimiter(f.WritesPerSecond)
	s.readLimiter = newLimiter(f.ReadsPerSecond)
}

// newLimiter returns a limiter that allows perSecond calls per second, and bursts of as many calls as one second
// allows.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// allow reports whether the rate limit allows a call with this verb now.
func (s *Server) allow(verb string) bool {
	s.mu.Lock()
	limiter := s.readLimiter
	if verb == "put" || verb == "delete" {
		limiter = s.writeLimiter
	}
	s.mu.Unlock()
	return limiter.Allow()
}

// withFaults wraps a handler so that each call is counted and subject to the faults and the rate limits.
func (s *Server) withFaults(verb string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		kind := r.PathValue("kind")
		f := s.faults.Get()
		if f.IsCutOff(r) {
			web.AbortConnection()
		}
		s.callStats.addCall(kind, verb, r.Header.Get(web.InstanceHeader))
		if f.Down {
			s.refuse(w, http.StatusServiceUnavailable, wire.ObjectErrorCodeUnavailable, "the object API is down")
			return
		}
		if !s.allow(verb) {
			w.Header().Set("Retry-After", retryAfterSeconds)
			s.refuse(w, http.StatusTooManyRequests, wire.ObjectErrorCodeRateLimited, "rate limit of "+verb)
			return
		}
		f.Delay()
		next(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	obj, ok := s.store.get(r.PathValue("kind"), r.PathValue("name"))
	if !ok {
		s.refuse(w, http.StatusNotFound, wire.ObjectErrorCodeNotFound, "no such object")
		return
	}
	web.WriteJSON(w, http.StatusOK, obj)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	web.WriteJSON(w, http.StatusOK, s.store.list(r.PathValue("kind"), r.URL.Query().Get("prefix")))
}

// put creates or replaces an object.
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		web.AbortConnection()
	}
	if len(value) > maxValueBytes {
		s.refuse(w, http.StatusRequestEntityTooLarge, wire.ObjectErrorCodeTooLarge, "value above 1 MB")
		return
	}
	cond, err := parsePrecondition(r)
	if err == nil && cond == (precondition{}) {
		err = fmt.Errorf("a PUT needs If-Match or If-None-Match")
	}
	if err == nil && !isObject(value) {
		err = fmt.Errorf("the value is no JSON object")
	}
	if err != nil {
		s.refuse(w, http.StatusBadRequest, wire.ObjectErrorCodeBadRequest, err.Error())
		return
	}
	s.handleWrite(w, r, func() (wire.Object, *wire.ObjectError) {
		return s.store.put(r.PathValue("kind"), r.PathValue("name"), value, cond)
	})
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	cond, err := parsePrecondition(r)
	if err != nil {
		s.refuse(w, http.StatusBadRequest, wire.ObjectErrorCodeBadRequest, err.Error())
		return
	}
	s.handleWrite(w, r, func() (wire.Object, *wire.ObjectError) {
		return s.store.remove(r.PathValue("kind"), r.PathValue("name"), cond)
	})
}

// handleWrite executes a write and sends the response, unless the faults ask for a lost response.
func (s *Server) handleWrite(w http.ResponseWriter, r *http.Request, write func() (wire.Object, *wire.ObjectError)) {
	obj, refusal := write()
	kind := r.PathValue("kind")
	if refusal == nil && s.faults.Consume(func(f *Faults) bool { return f.ConsumeLostAnswer(kind) }) {
		s.callStats.addLostAnswer()
		web.AbortConnection()
	}
	if refusal == nil {
		web.WriteJSON(w, http.StatusOK, obj)
		return
	}
	s.callStats.refuse(string(refusal.Code))
	status := http.StatusConflict
	if refusal.Code == wire.ObjectErrorCodeNotFound {
		status = http.StatusNotFound
	}
	web.WriteJSON(w, status, refusal)
}

// refuse counts a refused call and sends the error response.
func (s *Server) refuse(w http.ResponseWriter, status int, code wire.ObjectErrorCode, message string) {
	s.callStats.refuse(string(code))
	web.WriteJSON(w, status, wire.ObjectError{Code: code, Message: message})
}

// precondition is the state that an object must have for a write to succeed.
type precondition struct {
	// mustBeAbsent requires that the object doesn't exist.
	mustBeAbsent bool
	// version is the version that the object must have; 0 means any version.
	version int
}

// parsePrecondition returns the precondition of the If-None-Match or If-Match header; without both it is empty.
func parsePrecondition(r *http.Request) (precondition, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return precondition{mustBeAbsent: true}, nil
	}
	match := strings.Trim(r.Header.Get("If-Match"), `"`)
	if match == "" {
		return precondition{}, nil
	}
	version, err := strconv.Atoi(match)
	if err != nil || version <= 0 {
		return precondition{}, fmt.Errorf("If-Match %q is no version", match)
	}
	return precondition{version: version}, nil
}

// watchTimeout returns the time after which a watch without events returns.
func watchTimeout(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	if err != nil || ms <= 0 {
		ms = defaultWatchMs
	}
	return web.Millis(min(ms, maxWatchMs))
}
