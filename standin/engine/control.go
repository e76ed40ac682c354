package engine

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/toucanroute/toucanroute/standin/web"
	"github.com/toucanroute/toucanroute/wire"
)

// reasonOldFence refuses an order with an old fencing number.
const reasonOldFence = "old_fence"

// Stats are the figures of GET /admin/stats.
type Stats struct {
	Server string `json:"server"`
	// Started counts new streams; Finished, Cancelled and Dropped how they ended.
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Dropped   int `json:"dropped"`
	// Paused and Resumed count pauses and resumptions of streams.
	Paused  int `json:"paused"`
	Resumed int `json:"resumed"`
	// TokensGenerated counts the tokens of ended streams; TokensWasted those of streams that did not finish.
	TokensGenerated int `json:"tokens_generated"`
	TokensFinished  int `json:"tokens_finished"`
	TokensWasted    int `json:"tokens_wasted"`
	// Running and Waiting tell the load of now, without lag.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KeysSeen counts requests that carried a caller's key.
	KeysSeen int `json:"keys_seen"`
	// Crashes counts crashes and shutdowns.
	Crashes int `json:"crashes"`
	// HighestFence is the highest fencing number of an order.
	HighestFence int `json:"highest_fence"`
	// OldFences counts the orders that came with an old fencing number, accepted or not.
	OldFences int `json:"old_fences"`
	// Accepted lists the accepted orders as they came.
	Accepted []wire.EngineOrder `json:"accepted"`
	// Role and Version are those last ordered.
	Role    string `json:"role"`
	Version string `json:"version"`
}

// count changes the figures.
func (s *Server) count(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

func (s *Server) answerStats(w http.ResponseWriter, _ *http.Request) {
	running, waiting := s.slots.load()
	s.mu.Lock()
	stats := s.stats
	stats.Accepted = slices.Clone(s.stats.Accepted)
	s.mu.Unlock()
	stats.Server = s.Name
	stats.Running = running
	stats.Waiting = waiting
	web.Write(w, http.StatusOK, stats)
}

// control answers a call on a stream.
type control struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// cancelStream cancels a running or paused stream.
func (s *Server) cancelStream(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[r.PathValue("id")]
	if st == nil {
		refuse(w, http.StatusNotFound, "not_found", "no such stream")
		return
	}
	if st.state == paused {
		s.stats.Cancelled++
		s.stats.TokensGenerated += st.done
		s.stats.TokensWasted += st.done
		delete(s.streams, st.id)
	} else if !st.isCancelled && !s.faults.Get().IgnoreCancel {
		st.isCancelled = true
		close(st.cancel)
	}
	web.Write(w, http.StatusOK, control{st.id, "cancelled"})
}

// pauseStream ends the answer of a running stream, which keeps its tokens, and frees its slot.
func (s *Server) pauseStream(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[r.PathValue("id")]
	if st == nil {
		refuse(w, http.StatusNotFound, "not_found", "no such stream")
		return
	}
	if st.state == running && !st.isPausing {
		st.isPausing = true
		close(st.pause)
	}
	web.Write(w, http.StatusOK, control{st.id, "paused"})
}

// resumeStream streams the rest of a paused stream.
func (s *Server) resumeStream(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		refuse(w, http.StatusBadRequest, "bad_request", "after is no number of chunks")
		return
	}
	s.mu.Lock()
	st := s.streams[r.PathValue("id")]
	if st == nil {
		s.mu.Unlock()
		refuse(w, http.StatusNotFound, "not_found", "no such stream")
		return
	}
	if st.state != paused {
		s.mu.Unlock()
		refuse(w, http.StatusConflict, "running", "the stream is not paused")
		return
	}
	st.state = running
	st.isPausing = false
	st.pause = make(chan struct{})
	s.stats.Resumed++
	s.mu.Unlock()
	s.run(w, r, st, after)
}

// KV is the cached prompt of a prefix, as one engine exports and another imports it.
type KV struct {
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
	Data   string `json:"data"`
}

func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	var kv KV
	if err := web.Read(r, &kv); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	prompt, ok := s.cache.prompt(kv.Prefix)
	if !ok {
		refuse(w, http.StatusNotFound, "not_found", "no such prefix")
		return
	}
	web.Write(w, http.StatusOK, KV{Prefix: kv.Prefix, Tokens: Tokens(prompt), Data: prompt})
}

func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var kv KV
	if err := web.Read(r, &kv); err != nil || kv.Data == "" {
		refuse(w, http.StatusBadRequest, "bad_request", "no data")
		return
	}
	s.cache.load(kv.Data)
	web.Write(w, http.StatusOK, KV{Prefix: PrefixHash(kv.Data), Tokens: Tokens(kv.Data)})
}

// order carries out an order, unless the engine checks fencing and the number is old.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order wire.EngineOrder
	if err := web.Read(r, &order); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
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
		web.Write(w, http.StatusOK, result)
		return
	}
	s.stats.Accepted = append(s.stats.Accepted, order)
	s.apply(order)
	web.Write(w, http.StatusOK, result)
}

// apply changes what the engine serves.
func (s *Server) apply(order wire.EngineOrder) {
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
