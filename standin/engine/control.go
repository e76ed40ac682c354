package engine

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/toucanroute/toucanroute/standin/web"
	"github.com/toucanroute/toucanroute/wire"
)

// reasonOldFence is the reason for refusing an order whose fencing token is lower than an earlier one.
const reasonOldFence = "old_fence"

// Stats is the response to GET /admin/stats.
type Stats struct {
	Server string `json:"server"`
	// Started counts new streams. Finished, Cancelled and Dropped count streams by how they ended.
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Dropped   int `json:"dropped"`
	// Paused and Resumed count how often streams were paused and resumed.
	Paused  int `json:"paused"`
	Resumed int `json:"resumed"`
	// TokensGenerated counts the tokens of all ended streams, TokensFinished those of finished streams and TokensWasted
	// those of streams that ended before their last token.
	TokensGenerated int `json:"tokens_generated"`
	TokensFinished  int `json:"tokens_finished"`
	TokensWasted    int `json:"tokens_wasted"`
	// Running and Waiting are the current numbers of running and waiting streams, without the lag of load reports.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KeysSeen counts requests that carried a caller's API key.
	KeysSeen int `json:"keys_seen"`
	// Crashes counts simulated crashes, and each time that the engine was set to down.
	Crashes int `json:"crashes"`
	// HighestFence is the highest fencing token of any order so far.
	HighestFence int `json:"highest_fence"`
	// OldFences counts the orders with a lower fencing token than an earlier order, whether they were accepted or
	// refused.
	OldFences int `json:"old_fences"`
	// Accepted lists the accepted orders in order of arrival.
	Accepted []wire.EngineOrder `json:"accepted"`
	// Role and Version are the role and version that were last set by an order.
	Role    string `json:"role"`
	Version string `json:"version"`
}

// updateStats calls update with the statistics while it holds mu.
func (s *Server) updateStats(update func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.stats)
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	running, waiting := s.scheduler.load()
	s.mu.Lock()
	stats := s.stats
	stats.Accepted = slices.Clone(s.stats.Accepted)
	s.mu.Unlock()
	stats.Server = s.Name
	stats.Running = running
	stats.Waiting = waiting
	web.WriteJSON(w, http.StatusOK, stats)
}

// streamStatus is the response to a call that cancels or pauses a stream.
type streamStatus struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// cancelStream cancels a running or paused stream.
func (s *Server) cancelStream(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[r.PathValue("id")]
	if st == nil {
		writeError(w, http.StatusNotFound, "not_found", "no such stream")
		return
	}
	if st.state == statePaused {
		s.stats.Cancelled++
		s.stats.TokensGenerated += st.generatedTokens
		s.stats.TokensWasted += st.generatedTokens
		delete(s.streams, st.id)
	} else if !st.isCancelled && !s.faults.Get().IgnoreCancel {
		st.isCancelled = true
		close(st.cancel)
	}
	web.WriteJSON(w, http.StatusOK, streamStatus{st.id, "cancelled"})
}

// pauseStream ends the response of a running stream and frees its slot. The generated tokens are kept, so that the
// stream can be resumed.
func (s *Server) pauseStream(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[r.PathValue("id")]
	if st == nil {
		writeError(w, http.StatusNotFound, "not_found", "no such stream")
		return
	}
	if st.state == stateRunning && !st.isPausing {
		st.isPausing = true
		close(st.pause)
	}
	web.WriteJSON(w, http.StatusOK, streamStatus{st.id, "paused"})
}

// resumeStream resumes a paused stream. The query parameter "after" is the number of chunks that the caller has already
// received; the response contains only later chunks.
func (s *Server) resumeStream(w http.ResponseWriter, r *http.Request) {
	skipChunks, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || skipChunks < 0 {
		writeError(w, http.StatusBadRequest, "bad_request", "after is no number of chunks")
		return
	}
	s.mu.Lock()
	st := s.streams[r.PathValue("id")]
	if st == nil {
		s.mu.Unlock()
		writeError(w, http.StatusNotFound, "not_found", "no such stream")
		return
	}
	if st.state != statePaused {
		s.mu.Unlock()
		writeError(w, http.StatusConflict, "running", "the stream is not paused")
		return
	}
	st.state = stateRunning
	st.isPausing = false
	st.pause = make(chan struct{})
	s.stats.Resumed++
	s.mu.Unlock()
	s.serveStream(w, r, st, skipChunks)
}

// KV is a cached prompt that one engine exports and another engine imports. A real engine would transfer the key-value
// cache of the prompt; here Data is the prompt's text and Prefix its prefix hash.
type KV struct {
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
	Data   string `json:"data"`
}

// exportKV handles POST /kv/export: it returns the cached prompt with a prefix hash.
func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	var kv KV
	if err := web.ReadJSON(r, &kv); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	prompt, ok := s.cache.prompt(kv.Prefix)
	if !ok {
		writeError(w, http.StatusNotFound, "not_found", "no such prefix")
		return
	}
	web.WriteJSON(w, http.StatusOK, KV{Prefix: kv.Prefix, Tokens: Tokens(prompt), Data: prompt})
}

// importKV handles POST /kv/import: it caches the prompt in the body.
func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var kv KV
	if err := web.ReadJSON(r, &kv); err != nil || kv.Data == "" {
		writeError(w, http.StatusBadRequest, "bad_request", "no data")
		return
	}
	s.cache.add(kv.Data)
	web.WriteJSON(w, http.StatusOK, KV{Prefix: PrefixHash(kv.Data), Tokens: Tokens(kv.Data)})
}

// order handles POST /orders. It executes the order, unless the engine checks fencing tokens and the token of an
// earlier order was higher.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order wire.EngineOrder
	if err := web.ReadJSON(r, &order); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result := wire.EngineOrderResult{Id: order.Id, Accepted: true}
	if order.Fence < s.stats.HighestFence {
		s.stats.OldFences++
		result.Accepted = !s.ChecksFencing
	}
	s.stats.HighestFence = max(s.stats.HighestFence, order.Fence)
	result.HighestFence = s.stats.HighestFence
	if !result.Accepted {
		result.Reason = reasonOldFence
		web.WriteJSON(w, http.StatusOK, result)
		return
	}
	s.stats.Accepted = append(s.stats.Accepted, order)
	s.applyOrder(order)
	web.WriteJSON(w, http.StatusOK, result)
}

// applyOrder changes the models, the version or the role of the engine as the order says.
func (s *Server) applyOrder(order wire.EngineOrder) {
	switch order.Action {
	case wire.EngineOrderActionLoadModel, wire.EngineOrderActionLoadAdapter:
		if !slices.Contains(s.Models, order.Target) {
			s.Models = append(slices.Clone(s.Models), order.Target)
		}
	case wire.EngineOrderActionSetVersion:
		s.stats.Version = order.Target
	case wire.EngineOrderActionSetRole:
		s.stats.Role = order.Target
	}
}
