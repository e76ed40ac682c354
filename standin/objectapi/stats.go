package objectapi

import (
	"maps"
	"net/http"
	"sync"

	"github.com/toucanroute/toucanroute/standin/web"
)

// Stats is the response to GET /admin/stats.
type Stats struct {
	// Version is the version of the last change of any object.
	Version int `json:"version"`
	// Objects is the number of stored objects.
	Objects int `json:"objects"`
	// Calls counts the calls by kind of object and verb: get, put, delete, list or watch.
	Calls map[string]map[string]int `json:"calls"`
	// Callers counts the calls by the value of their X-Instance header.
	Callers map[string]int `json:"callers"`
	// Reads and Writes count all calls, including refused ones.
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Refused counts the refused calls by error code.
	Refused map[string]int `json:"refused"`
	// WaitingWatches is the number of watches that are waiting for events.
	WaitingWatches int `json:"waiting_watches"`
	// LostAnswers counts the writes that took effect but got no response.
	LostAnswers int `json:"lost_answers"`
}

// callStats counts the calls for Stats.
type callStats struct {
	mu    sync.Mutex
	stats Stats
}

func (c *callStats) addCall(kind, verb, caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stats.Calls == nil {
		c.stats.Calls = map[string]map[string]int{}
		c.stats.Callers = map[string]int{}
	}
	if c.stats.Calls[kind] == nil {
		c.stats.Calls[kind] = map[string]int{}
	}
	c.stats.Calls[kind][verb]++
	if caller != "" {
		c.stats.Callers[caller]++
	}
	if verb == "put" || verb == "delete" {
		c.stats.Writes++
		return
	}
	c.stats.Reads++
}

// refuse counts a call that was refused with an error code.
func (c *callStats) refuse(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stats.Refused == nil {
		c.stats.Refused = map[string]int{}
	}
	c.stats.Refused[code]++
}

func (c *callStats) addWaitingWatches(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.WaitingWatches += n
}

func (c *callStats) addLostAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.LostAnswers++
}

// snapshot returns a copy of the statistics.
func (c *callStats) snapshot() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.Calls = map[string]map[string]int{}
	for kind, verbs := range c.stats.Calls {
		stats.Calls[kind] = maps.Clone(verbs)
	}
	stats.Callers = maps.Clone(c.stats.Callers)
	stats.Refused = maps.Clone(c.stats.Refused)
	return stats
}

// stats handles GET /admin/stats.
func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	stats := s.callStats.snapshot()
	stats.Version, stats.Objects = s.store.size()
	web.WriteJSON(w, http.StatusOK, stats)
}
