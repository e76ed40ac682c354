package objectapi

import (
	"maps"
	"net/http"
	"sync"

	"github.com/toucanroute/toucanroute/standin/web"
)

// Stats are the figures of GET /admin/stats.
type Stats struct {
	// Version of the store.
	Version int `json:"version"`
	// Objects is the number of stored objects.
	Objects int `json:"objects"`
	// Calls by kind and verb: get, put, delete, list, watch.
	Calls map[string]map[string]int `json:"calls"`
	// Callers counts the calls by X-Instance.
	Callers map[string]int `json:"callers"`
	// Reads and Writes are all calls, refused ones included.
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Refused calls by error code.
	Refused map[string]int `json:"refused"`
	// WaitingWatches is the number of watches that wait now.
	WaitingWatches int `json:"waiting_watches"`
	// LostAnswers counts the writes that took effect without an answer.
	LostAnswers int `json:"lost_answers"`
}

// counts gathers the figures of Stats.
type counts struct {
	mu    sync.Mutex
	stats Stats
}

func (c *counts) call(kind, verb, caller string) {
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

func (c *counts) refuse(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stats.Refused == nil {
		c.stats.Refused = map[string]int{}
	}
	c.stats.Refused[code]++
}

func (c *counts) watching(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.WaitingWatches += n
}

func (c *counts) lose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.LostAnswers++
}

// copied returns the figures, safe to read without the lock.
func (c *counts) copied() Stats {
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

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	stats := s.counts.copied()
	stats.Version, stats.Objects = s.store.size()
	web.Write(w, http.StatusOK, stats)
}
