package engine

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/toucanroute/toucanroute/standin/web"
)

// pausedLife is the time for which a paused stream is kept.
const pausedLife = 2 * time.Minute

// state of a stream.
type state int

const (
	running state = iota
	paused
)

// Ways in which a run of a stream ends.
type ending int

const (
	finished ending = iota
	wasPaused
	wasCancelled
	wasDropped
)

// lastID numbers the requests that came without an id.
var lastID atomic.Int64

// stream is one answer in the making.
type stream struct {
	id      string
	isChat  bool
	request request
	prompt  string
	// total is the tokens of the whole answer, done those generated so far.
	total   int
	done    int
	bounded bool
	cached  int
	created time.Time

	// Guarded by Server.mu.
	state  state
	cancel chan struct{}
	pause  chan struct{}
	// isCancelled and isPausing tell that the channels are closed.
	isCancelled bool
	isPausing   bool
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) { s.start(w, r, true) }

func (s *Server) complete(w http.ResponseWriter, r *http.Request) { s.start(w, r, false) }

// start answers a new request.
func (s *Server) start(w http.ResponseWriter, r *http.Request, isChat bool) {
	var req request
	if err := web.Read(r, &req); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if web.HasTrailerKey(r) {
		s.count(func(stats *Stats) { stats.KeysSeen++ })
	}
	if !s.serves(req.Model) {
		refuse(w, http.StatusNotFound, "model_not_found", "no model "+req.Model)
		return
	}
	st := s.newStream(r, req, isChat)
	if !s.register(st) {
		refuse(w, http.StatusConflict, "duplicate", "a stream with this X-Request-Id runs")
		return
	}
	s.run(w, r, st, 0)
}

// newStream returns the stream of a request; one without an id gets a number.
func (s *Server) newStream(r *http.Request, req request, isChat bool) *stream {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = "unnamed-" + strconv.FormatInt(lastID.Add(1), 10)
	}
	prompt := req.text()
	total, bounded := s.length(req, prompt)
	return &stream{
		id: id, isChat: isChat, request: req, prompt: prompt,
		total: total, bounded: bounded, created: time.Now(),
		cancel: make(chan struct{}), pause: make(chan struct{}),
	}
}

// register makes the stream known by its id and tells whether the id was free.
func (s *Server) register(st *stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[st.id] != nil {
		return false
	}
	s.streams[st.id] = st
	s.stats.Started++
	return true
}

// run answers with the stream's chunks after the first `after` ones until it ends or pauses.
func (s *Server) run(w http.ResponseWriter, r *http.Request, st *stream, after int) {
	if !st.request.Stream {
		after = 0
	}
	out := newWriter(w, st)
	how := s.work(r.Context(), st, out, after)
	s.finish(st, how)
	switch how {
	case finished:
		out.end()
	case wasPaused:
		out.pause()
		return
	default:
		web.Drop()
	}
	if s.faults.Take(func(f *Faults) bool { return takeOne(&f.CrossAnswers) }) {
		out.cross()
	}
}

// work waits for a slot, makes the tokens and returns the slot.
func (s *Server) work(ctx context.Context, st *stream, out *writer, after int) ending {
	stops := stops{crash: s.crashes(), cancel: st.cancel, pause: st.pause}
	ok := s.slots.acquire(ctx, stops, st.request.Priority)
	s.noteLoad()
	if !ok {
		return s.whyStopped(ctx, stops, st)
	}
	how := s.generate(ctx, stops, st, out, after)
	s.slots.release()
	s.noteLoad()
	if late := s.faults.Get().FinishLateMs; how == finished && late > 0 {
		out.flush()
		web.Sleep(ctx, web.Millis(late))
	}
	return how
}

// generate makes the tokens at the engine's pace and sends those after the first `after` chunks.
func (s *Server) generate(ctx context.Context, stops stops, st *stream, out *writer, after int) ending {
	for i := after; i < st.done; i++ {
		out.token(i)
	}
	next := time.Now()
	if st.done == 0 {
		st.cached = s.cache.use(st.prompt)
		uncached := max(0, Tokens(st.prompt)-st.cached)
		next = next.Add(s.faults.Get().slowed(time.Duration(uncached) * s.PrefillTime))
	}
	for st.done < st.total {
		next = next.Add(s.faults.Get().slowed(s.tokenTime()))
		if how := s.pace(ctx, stops, st, out, next); how != finished {
			return how
		}
		if f := s.faults.Get(); f.CutAfterTokens > 0 && st.done >= f.CutAfterTokens {
			out.flush()
			return wasDropped
		}
		if st.done >= after {
			out.token(st.done)
		}
		st.done++
	}
	return finished
}

// pace waits until next; it returns another ending than finished if the stream is to stop.
func (s *Server) pace(ctx context.Context, stops stops, st *stream, out *writer, next time.Time) ending {
	if d := time.Until(next); d > 0 {
		out.flush()
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			if !s.faults.Get().Freeze {
				return finished
			}
		case <-ctx.Done():
		case <-stops.crash:
		case <-stops.cancel:
		case <-stops.pause:
		}
	}
	if s.faults.Get().Freeze {
		out.flush()
		s.thaw(ctx)
	}
	return s.whyStopped(ctx, stops, st)
}

// whyStopped tells how a stream that was told to stop ends, or finished if it was not told.
func (s *Server) whyStopped(ctx context.Context, stops stops, st *stream) ending {
	select {
	case <-stops.crash:
		return wasDropped
	default:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.isCancelled || ctx.Err() != nil {
		return wasCancelled
	}
	if st.isPausing {
		return wasPaused
	}
	return finished
}

// tokenTime returns the time between tokens at the batch's fill.
func (s *Server) tokenTime() time.Duration {
	return time.Duration(float64(s.TokenTime) * (1 + s.slots.fill()))
}

// finish records how a run of the stream ended.
func (s *Server) finish(st *stream, how ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch how {
	case finished:
		s.stats.Finished++
		s.stats.TokensFinished += st.done
	case wasPaused:
		s.stats.Paused++
		st.state = paused
		time.AfterFunc(pausedLife, func() { s.forget(st) })
		return
	case wasCancelled:
		s.stats.Cancelled++
		s.stats.TokensWasted += st.done
	case wasDropped:
		s.stats.Dropped++
		s.stats.TokensWasted += st.done
	}
	s.stats.TokensGenerated += st.done
	delete(s.streams, st.id)
}

// forget drops a stream that stayed paused.
func (s *Server) forget(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[st.id] != st || st.state != paused {
		return
	}
	s.stats.TokensWasted += st.done
	s.stats.TokensGenerated += st.done
	delete(s.streams, st.id)
}

// takeOne counts n down to 0 and tells whether there was one left.
func takeOne(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// serves tells whether the engine has the model.
func (s *Server) serves(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.Models {
		if m == name || m == "*" {
			return true
		}
	}
	return false
}
