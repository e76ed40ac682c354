package engine

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/toucanroute/toucanroute/standin/web"
)

// pausedStreamTTL is the time after which a paused stream is dropped.
const pausedStreamTTL = 2 * time.Minute

// state is the state of a stream.
type state int

const (
	stateRunning state = iota
	statePaused
)

// outcome is the way in which the response of a stream ended. A stream is cancelled on request or when its caller
// disconnects; it is dropped by a simulated crash or by the fault CutAfterTokens.
type outcome int

const (
	outcomeFinished outcome = iota
	outcomePaused
	outcomeCancelled
	outcomeDropped
)

// lastGeneratedID is the number in the last generated id, for requests without an X-Request-Id header.
var lastGeneratedID atomic.Int64

// stream is the state of one completion that is being generated.
type stream struct {
	id      string
	isChat  bool
	request request
	prompt  string
	// totalTokens is the length of the whole completion, generatedTokens the number of tokens generated so far.
	totalTokens     int
	generatedTokens int
	isTruncated     bool
	cachedTokens    int
	createdAt       time.Time

	// The following fields are guarded by Server.mu.

	state state
	// cancel and pause are closed to cancel or pause the stream. isCancelled and isPausing are true from then on.
	cancel      chan struct{}
	pause       chan struct{}
	isCancelled bool
	isPausing   bool
}

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) { s.startStream(w, r, true) }

func (s *Server) handleText(w http.ResponseWriter, r *http.Request) { s.startStream(w, r, false) }

// startStream handles a new completion request.
func (s *Server) startStream(w http.ResponseWriter, r *http.Request, isChat bool) {
	var req request
	if err := web.ReadJSON(r, &req); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if web.HasAPIKeyInTrailer(r) {
		s.updateStats(func(stats *Stats) { stats.KeysSeen++ })
	}
	if !s.servesModel(req.Model) {
		writeError(w, http.StatusNotFound, "model_not_found", "no model "+req.Model)
		return
	}
	st := s.newStream(r, req, isChat)
	if !s.register(st) {
		writeError(w, http.StatusConflict, "duplicate", "a stream with this X-Request-Id runs")
		return
	}
	s.serveStream(w, r, st, 0)
}

// newStream returns a new stream for a request. A request without an X-Request-Id gets a generated id.
func (s *Server) newStream(r *http.Request, req request, isChat bool) *stream {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = "unnamed-" + strconv.FormatInt(lastGeneratedID.Add(1), 10)
	}
	prompt := req.text()
	totalTokens, isTruncated := s.completionLength(req, prompt)
	return &stream{
		id: id, isChat: isChat, request: req, prompt: prompt,
		totalTokens: totalTokens, isTruncated: isTruncated, createdAt: time.Now(),
		cancel: make(chan struct{}), pause: make(chan struct{}),
	}
}

// register stores the stream under its id. It returns false if another stream has this id.
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

// serveStream writes the response of a stream, without its first skipChunks chunks, until the stream ends or is paused.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, st *stream, skipChunks int) {
	if !st.request.Stream {
		skipChunks = 0
	}
	out := newWriter(w, st)
	result := s.generateInSlot(r.Context(), st, out, skipChunks)
	s.recordOutcome(st, result)
	switch result {
	case outcomeFinished:
		out.writeEnd()
	case outcomePaused:
		out.writePaused()
		return
	default:
		web.AbortConnection()
	}
	if s.faults.Consume(func(f *Faults) bool { return decrement(&f.CrossAnswers) }) {
		out.sendForeignResponse()
	}
}

// generateInSlot waits for a slot, generates the tokens of the stream and releases the slot.
func (s *Server) generateInSlot(ctx context.Context, st *stream, out *writer, skipChunks int) outcome {
	signals := signals{crash: s.crashSignal(), cancel: st.cancel, pause: st.pause}
	ok := s.scheduler.acquire(ctx, signals, st.request.Priority)
	s.recordLoad()
	if !ok {
		return s.stopOutcome(ctx, signals, st)
	}
	result := s.generate(ctx, signals, st, out, skipChunks)
	s.scheduler.release()
	s.recordLoad()
	if lateMs := s.faults.Get().FinishLateMs; result == outcomeFinished && lateMs > 0 {
		out.flush()
		web.Sleep(ctx, web.Millis(lateMs))
	}
	return result
}

// generate generates the tokens at the engine's token rate and writes them, without the first skipChunks chunks.
func (s *Server) generate(ctx context.Context, signals signals, st *stream, out *writer, skipChunks int) outcome {
	for i := skipChunks; i < st.generatedTokens; i++ {
		out.writeToken(i)
	}
	nextTokenAt := time.Now()
	if st.generatedTokens == 0 {
		st.cachedTokens = s.cache.lookup(st.prompt)
		uncached := max(0, Tokens(st.prompt)-st.cachedTokens)
		nextTokenAt = nextTokenAt.Add(s.faults.Get().slowed(time.Duration(uncached) * s.PrefillTime))
	}
	for st.generatedTokens < st.totalTokens {
		nextTokenAt = nextTokenAt.Add(s.faults.Get().slowed(s.tokenTime()))
		if result := s.waitForToken(ctx, signals, st, out, nextTokenAt); result != outcomeFinished {
			return result
		}
		if f := s.faults.Get(); f.CutAfterTokens > 0 && st.generatedTokens >= f.CutAfterTokens {
			out.flush()
			return outcomeDropped
		}
		if st.generatedTokens >= skipChunks {
			out.writeToken(st.generatedTokens)
		}
		st.generatedTokens++
	}
	return outcomeFinished
}

// waitForToken waits until dueAt, when the next token is due. It returns outcomeFinished if the stream can continue, or
// else the outcome with which the stream has to stop.
func (s *Server) waitForToken(ctx context.Context, signals signals, st *stream, out *writer, dueAt time.Time) outcome {
	if d := time.Until(dueAt); d > 0 {
		out.flush()
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			if !s.faults.Get().Freeze {
				return outcomeFinished
			}
		case <-ctx.Done():
		case <-signals.crash:
		case <-signals.cancel:
		case <-signals.pause:
		}
	}
	if s.faults.Get().Freeze {
		out.flush()
		s.waitWhileFrozen(ctx)
	}
	return s.stopOutcome(ctx, signals, st)
}

// stopOutcome returns the outcome with which the stream has to stop because a signal is closed or ctx has ended, or
// outcomeFinished if it can continue.
func (s *Server) stopOutcome(ctx context.Context, signals signals, st *stream) outcome {
	select {
	case <-signals.crash:
		return outcomeDropped
	default:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.isCancelled || ctx.Err() != nil {
		return outcomeCancelled
	}
	if st.isPausing {
		return outcomePaused
	}
	return outcomeFinished
}

// tokenTime returns the time between tokens, which grows with the share of the slots in use.
func (s *Server) tokenTime() time.Duration {
	return time.Duration(float64(s.TokenTime) * (1 + s.scheduler.occupancy()))
}

// recordOutcome adds the outcome to the statistics and removes the stream. A paused stream isn't removed until
// pausedStreamTTL has passed.
func (s *Server) recordOutcome(st *stream, result outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch result {
	case outcomeFinished:
		s.stats.Finished++
		s.stats.TokensFinished += st.generatedTokens
	case outcomePaused:
		s.stats.Paused++
		st.state = statePaused
		time.AfterFunc(pausedStreamTTL, func() { s.expirePaused(st) })
		return
	case outcomeCancelled:
		s.stats.Cancelled++
		s.stats.TokensWasted += st.generatedTokens
	case outcomeDropped:
		s.stats.Dropped++
		s.stats.TokensWasted += st.generatedTokens
	}
	s.stats.TokensGenerated += st.generatedTokens
	delete(s.streams, st.id)
}

// expirePaused removes a stream that is still paused at the end of pausedStreamTTL.
func (s *Server) expirePaused(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[st.id] != st || st.state != statePaused {
		return
	}
	s.stats.TokensWasted += st.generatedTokens
	s.stats.TokensGenerated += st.generatedTokens
	delete(s.streams, st.id)
}

// decrement decrements n unless it is 0, and reports whether it did.
func decrement(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// servesModel reports whether the engine serves the model.
func (s *Server) servesModel(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.Models {
		if m == name || m == "*" {
			return true
		}
	}
	return false
}
