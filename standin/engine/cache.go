package engine

import (
	"container/list"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanroute/toucanroute/standin/web"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// hashedPrefixBytes is the length of the prompt's prefix over which a cache event's hash is computed.
	hashedPrefixBytes = 256
	// bytesPerToken is the assumed length of a token.
	bytesPerToken = 4
	// maxEvents is the number of cache events above which the older half is discarded.
	maxEvents = 4096
)

// PrefixHash returns the hash of the first hashedPrefixBytes bytes of a prompt as 16 hex digits.
func PrefixHash(prompt string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(prompt[:min(len(prompt), hashedPrefixBytes)]))
}

// Tokens returns the number of tokens of a text.
func Tokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// cacheEntry is the newest prompt of all prompts with the same prefix hash; only this one is cached.
type cacheEntry struct {
	prefix string
	prompt string
}

// cacheEvent is a cache event with the time at which it was recorded.
type cacheEvent struct {
	recordedAt time.Time
	cacheEvent wire.CacheEvent
}

// cache is a prefix cache that evicts the least recently used prompt first.
type cache struct {
	maxTokens int
	// seed determines which cache events are lost.
	seed uint64

	mu sync.Mutex
	// cachedTokens is the number of tokens of all cached prompts.
	cachedTokens int
	// lru holds the entries, the most recently used first.
	lru *list.List
	// entries holds the elements of lru by prefix hash.
	entries map[string]*list.Element
	// lastSeq is the sequence number of the last cache event.
	lastSeq int
	events  []cacheEvent
}

func newCache(maxTokens int, seed uint64) *cache {
	return &cache{maxTokens: maxTokens, seed: seed, lru: list.New(), entries: map[string]*list.Element{}}
}

// lookup returns the number of the prompt's tokens that are cached, and then caches the prompt.
func (c *cache) lookup(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	prefix := PrefixHash(prompt)
	cached := 0
	if el := c.entries[prefix]; el != nil {
		cached = commonPrefixBytes(el.Value.(*cacheEntry).prompt, prompt) / bytesPerToken
	}
	c.store(prefix, prompt)
	return cached
}

// store stores the prompt of a prefix hash and evicts the least recently used prompts while the cache holds more than
// maxTokens. It keeps at least one prompt. The caller must hold mu.
func (c *cache) store(prefix, prompt string) {
	if el := c.entries[prefix]; el != nil {
		entry := el.Value.(*cacheEntry)
		c.cachedTokens += Tokens(prompt) - Tokens(entry.prompt)
		entry.prompt = prompt
		c.lru.MoveToFront(el)
	} else {
		c.entries[prefix] = c.lru.PushFront(&cacheEntry{prefix, prompt})
		c.cachedTokens += Tokens(prompt)
		c.recordEvent(wire.CacheEventTypeStored, prefix, Tokens(prompt))
	}
	for c.cachedTokens > c.maxTokens && c.lru.Len() > 1 {
		c.evict(c.lru.Back())
	}
}

func (c *cache) evict(el *list.Element) {
	entry := c.lru.Remove(el).(*cacheEntry)
	delete(c.entries, entry.prefix)
	c.cachedTokens -= Tokens(entry.prompt)
	c.recordEvent(wire.CacheEventTypeRemoved, entry.prefix, Tokens(entry.prompt))
}

// clear removes all prompts.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru.Init()
	clear(c.entries)
	c.cachedTokens = 0
	c.recordEvent(wire.CacheEventTypeCleared, "", 0)
}

// prompt returns the prompt that is cached for a prefix hash.
func (c *cache) prompt(prefix string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	el := c.entries[prefix]
	if el == nil {
		return "", false
	}
	return el.Value.(*cacheEntry).prompt, true
}

// add caches an imported prompt.
func (c *cache) add(prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store(PrefixHash(prompt), prompt)
}

// usedShare returns the share of the cache that is in use, from 0 to 1.
func (c *cache) usedShare() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(1, float64(c.cachedTokens)/float64(c.maxTokens))
}

// recordEvent records a cache event with the next sequence number.
func (c *cache) recordEvent(kind wire.CacheEventType, prefix string, tokens int) {
	c.lastSeq++
	e := wire.CacheEvent{Seq: c.lastSeq, Type: kind, Prefix: prefix, Tokens: tokens}
	c.events = append(c.events, cacheEvent{time.Now(), e})
	if len(c.events) > maxEvents {
		c.events = append([]cacheEvent(nil), c.events[maxEvents/2:]...)
	}
}

// eventsAfter returns the events with a sequence number above seq that are older than delay. It leaves out the share
// lostShare of all events, from 0 to 1, to simulate lost events.
func (c *cache) eventsAfter(seq int, delay time.Duration, lostShare float64) wire.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	visible := wire.CacheEvents{Events: []wire.CacheEvent{}}
	newestVisible := time.Now().Add(-delay)
	for _, e := range c.events {
		if e.cacheEvent.Seq > seq && !e.recordedAt.After(newestVisible) && !c.isLost(e.cacheEvent.Seq, lostShare) {
			visible.Events = append(visible.Events, e.cacheEvent)
		}
	}
	return visible
}

// isLost reports whether the event with this sequence number is one of the given share of lost events. The result
// depends only on the seed and the sequence number.
func (c *cache) isLost(seq int, share float64) bool {
	if share <= 0 {
		return false
	}
	hash := xxhash.Sum64String(strconv.FormatUint(c.seed, 16) + "." + strconv.Itoa(seq))
	return float64(hash)/math.MaxUint64 < share
}

// commonPrefixBytes returns the length of the longest common prefix of a and b.
func commonPrefixBytes(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	f := s.faults.Get()
	web.WriteJSON(w, http.StatusOK, s.cache.eventsAfter(from, web.Millis(f.EventDelayMs), f.EventDrop))
}
