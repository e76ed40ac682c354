// Package objectapi stands in for the platform's object API: versions, conditional writes, lists and long-poll watches.
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

// Limits of the object API.
const (
	maxValueBytes   = 1 << 20
	defaultHistory  = 1024
	defaultWatchMs  = 30_000
	maxWatchMs      = 60_000
	retryAfterLimit = "1"
)

// Faults are the settable faults and limits of the object API.
type Faults struct {
	web.PlatformFaults
	// WritesPerSecond limits the writes; 0 is no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	// ReadsPerSecond limits the reads, a watch counted as one; 0 is no limit.
	ReadsPerSecond float64 `json:"reads_per_second"`
}

// Server is one object API. Its exported fields are set before Run or Handler.
type Server struct {
	// Address is the IP number and port that Run listens on.
	Address string
	// Ready, if set, gets the bound address.
	Ready func(address string)
	// WritesPerSecond and ReadsPerSecond are the rate limits at the start; 0 is no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// History is the number of events kept for each kind; 0 reads as 1024.
	History int

	faults web.Faults[Faults]
	counts counts

	mu     sync.Mutex
	writes *rate.Limiter
	reads  *rate.Limiter
	store  *store
}

// Run answers until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return web.Serve(ctx, s.Address, s.Handler(), s.Ready)
}

// Handler returns the object API with the stand-in's own interface.
func (s *Server) Handler() http.Handler {
	history := s.History
	if history == 0 {
		history = defaultHistory
	}
	s.store = newStore(history)
	s.faults.OnChange = s.setLimits
	s.faults.Update(func(f *Faults) {
		f.WritesPerSecond = s.WritesPerSecond
		f.ReadsPerSecond = s.ReadsPerSecond
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.guard("get", s.get))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.guard("put", s.put))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.guard("delete", s.remove))
	mux.HandleFunc("GET /v1/objects/{kind}", s.guard("list", s.list))
	mux.HandleFunc("GET /v1/watch/{kind}", s.guard("watch", s.watch))
	mux.Handle("/admin/faults", &s.faults)
	mux.HandleFunc("GET /admin/stats", s.stats)
	return mux
}

// setLimits sets the rate limits that the faults tell.
func (s *Server) setLimits(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = limiter(f.WritesPerSecond)
	s.reads = limiter(f.ReadsPerSecond)
}

// limiter allows perSecond calls with a burst of one second.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// allow tells whether the rate limits admit a call of verb.
func (s *Server) allow(verb string) bool {
	s.mu.Lock()
	limit := s.reads
	if verb == "put" || verb == "delete" {
		limit = s.writes
	}
	s.mu.Unlock()
	return limit.Allow()
}

// guard applies faults and limits and counts the call before it goes to next.
func (s *Server) guard(verb string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		kind := r.PathValue("kind")
		f := s.faults.Get()
		if f.Cuts(r) {
			web.Drop()
		}
		s.counts.call(kind, verb, r.Header.Get(web.InstanceHeader))
		if f.Down {
			s.refuse(w, http.StatusServiceUnavailable, wire.ObjectErrorCodeUnavailable, "the object API is down")
			return
		}
		if !s.allow(verb) {
			w.Header().Set("Retry-After", retryAfterLimit)
			s.refuse(w, http.StatusTooManyRequests, wire.ObjectErrorCodeRateLimited, "rate limit of "+verb)
			return
		}
		f.Wait()
		next(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	obj, ok := s.store.get(r.PathValue("kind"), r.PathValue("name"))
	if !ok {
		s.refuse(w, http.StatusNotFound, wire.ObjectErrorCodeNotFound, "no such object")
		return
	}
	web.Write(w, http.StatusOK, obj)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	web.Write(w, http.StatusOK, s.store.list(r.PathValue("kind"), r.URL.Query().Get("prefix")))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		web.Drop()
	}
	if len(value) > maxValueBytes {
		s.refuse(w, http.StatusRequestEntityTooLarge, wire.ObjectErrorCodeTooLarge, "value above 1 MB")
		return
	}
	cond, err := parseCondition(r)
	if err == nil && cond == (condition{}) {
		err = fmt.Errorf("a PUT needs If-Match or If-None-Match")
	}
	if err == nil && !isObject(value) {
		err = fmt.Errorf("the value is no JSON object")
	}
	if err != nil {
		s.refuse(w, http.StatusBadRequest, wire.ObjectErrorCodeBadRequest, err.Error())
		return
	}
	s.answerWrite(w, r, func() (wire.Object, *wire.ObjectError) {
		return s.store.put(r.PathValue("kind"), r.PathValue("name"), value, cond)
	})
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	cond, err := parseCondition(r)
	if err != nil {
		s.refuse(w, http.StatusBadRequest, wire.ObjectErrorCodeBadRequest, err.Error())
		return
	}
	s.answerWrite(w, r, func() (wire.Object, *wire.ObjectError) {
		return s.store.remove(r.PathValue("kind"), r.PathValue("name"), cond)
	})
}

// answerWrite carries out a write and answers it, unless its answer is to get lost.
func (s *Server) answerWrite(w http.ResponseWriter, r *http.Request, write func() (wire.Object, *wire.ObjectError)) {
	obj, refusal := write()
	kind := r.PathValue("kind")
	if refusal == nil && s.faults.Take(func(f *Faults) bool { return f.TakeLost(kind) }) {
		s.counts.lose()
		web.Drop()
	}
	if refusal == nil {
		web.Write(w, http.StatusOK, obj)
		return
	}
	s.counts.refuse(string(refusal.Code))
	status := http.StatusConflict
	if refusal.Code == wire.ObjectErrorCodeNotFound {
		status = http.StatusNotFound
	}
	web.Write(w, status, refusal)
}

func (s *Server) refuse(w http.ResponseWriter, status int, code wire.ObjectErrorCode, message string) {
	s.counts.refuse(string(code))
	web.Write(w, status, wire.ObjectError{Code: code, Message: message})
}

// condition is what a write asks of the object's state before it.
type condition struct {
	// absent asks that there is no such object.
	absent bool
	// version asks for the object's version; 0 asks nothing.
	version int
}

func parseCondition(r *http.Request) (condition, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return condition{absent: true}, nil
	}
	match := strings.Trim(r.Header.Get("If-Match"), `"`)
	if match == "" {
		return condition{}, nil
	}
	version, err := strconv.Atoi(match)
	if err != nil || version <= 0 {
		return condition{}, fmt.Errorf("If-Match %q is no version", match)
	}
	return condition{version: version}, nil
}

// watchTimeout returns the time for which a watch waits.
func watchTimeout(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	if err != nil || ms <= 0 {
		ms = defaultWatchMs
	}
	return web.Millis(min(ms, maxWatchMs))
}
