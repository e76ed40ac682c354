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
	// prefixBytes is the length of the prompt's start that a cache event's hash covers.
	prefixBytes = 256
	// bytesPerToken turns the length of a text into tokens.
	bytesPerToken = 4
	// maxEvents bounds the kept cache events.
	maxEvents = 4096
)

// PrefixHash returns the hash of a prompt's start, 16 hex digits.
func PrefixHash(prompt string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]))
}

// Tokens returns the number of tokens of a text.
func Tokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// block is the cached prompt of one prefix.
type block struct {
	prefix string
	prompt string
}

// event is a cache event with its time.
type event struct {
	at    time.Time
	event wire.CacheEvent
}

// cache is a prefix cache, least recently used first out.
type cache struct {
	limit int
	seed  uint64

	mu     sync.Mutex
	tokens int
	// order holds blocks, the most recently used first.
	order  *list.List
	blocks map[string]*list.Element
	seq    int
	events []event
}

func newCache(limit int, seed uint64) *cache {
	return &cache{limit: limit, seed: seed, order: list.New(), blocks: map[string]*list.Element{}}
}

// use returns how many tokens of the prompt are cached, and caches the prompt.
func (c *cache) use(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	prefix := PrefixHash(prompt)
	cached := 0
	if el := c.blocks[prefix]; el != nil {
		cached = commonBytes(el.Value.(*block).prompt, prompt) / bytesPerToken
	}
	c.put(prefix, prompt)
	return cached
}

// put stores the prompt of a prefix and evicts others above the limit.
func (c *cache) put(prefix, prompt string) {
	if el := c.blocks[prefix]; el != nil {
		b := el.Value.(*block)
		c.tokens += Tokens(prompt) - Tokens(b.prompt)
		b.prompt = prompt
		c.order.MoveToFront(el)
	} else {
		c.blocks[prefix] = c.order.PushFront(&block{prefix, prompt})
		c.tokens += Tokens(prompt)
		c.emit(wire.CacheEventTypeStored, prefix, Tokens(prompt))
	}
	for c.tokens > c.limit && c.order.Len() > 1 {
		c.evict(c.order.Back())
	}
}

func (c *cache) evict(el *list.Element) {
	b := c.order.Remove(el).(*block)
	delete(c.blocks, b.prefix)
	c.tokens -= Tokens(b.prompt)
	c.emit(wire.CacheEventTypeRemoved, b.prefix, Tokens(b.prompt))
}

func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.Init()
	clear(c.blocks)
	c.tokens = 0
	c.emit(wire.CacheEventTypeCleared, "", 0)
}

// prompt returns the cached prompt of a prefix.
func (c *cache) prompt(prefix string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	el := c.blocks[prefix]
	if el == nil {
		return "", false
	}
	return el.Value.(*block).prompt, true
}

// load caches an imported prompt.
func (c *cache) load(prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(PrefixHash(prompt), prompt)
}

// used returns the share of the cache in use, 0 to 1.
func (c *cache) used() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(1, float64(c.tokens)/float64(c.limit))
}

func (c *cache) emit(kind wire.CacheEventType, prefix string, tokens int) {
	c.seq++
	e := wire.CacheEvent{Seq: c.seq, Type: kind, Prefix: prefix, Tokens: tokens}
	c.events = append(c.events, event{time.Now(), e})
	if len(c.events) > maxEvents {
		c.events = append([]event(nil), c.events[maxEvents/2:]...)
	}
}

// after returns the events after seq that are older than delay, without those that get lost.
func (c *cache) after(seq int, delay time.Duration, drop float64) wire.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	shown := wire.CacheEvents{Events: []wire.CacheEvent{}}
	before := time.Now().Add(-delay)
	for _, e := range c.events {
		if e.event.Seq > seq && !e.at.After(before) && !c.isLost(e.event.Seq, drop) {
			shown.Events = append(shown.Events, e.event)
		}
	}
	return shown
}

// isLost draws, by the seed, whether the event is one of the lost share.
func (c *cache) isLost(seq int, share float64) bool {
	if share <= 0 {
		return false
	}
	draw := xxhash.Sum64String(strconv.FormatUint(c.seed, 16) + "." + strconv.Itoa(seq))
	return float64(draw)/math.MaxUint64 < share
}

func commonBytes(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	f := s.faults.Get()
	web.Write(w, http.StatusOK, s.cache.after(from, web.Millis(f.EventDelayMs), f.EventDrop))
}
