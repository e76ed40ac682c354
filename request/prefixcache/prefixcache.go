// Package prefixcache tracks which backend servers probably have a prompt's prefix in their cache. Servers send an
// event for each change of their cache. These events arrive late and some are lost, so that an entry is only a hint; it
// is corrected by the number of cached tokens that a server reports for each request.
package prefixcache

import (
	"container/list"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanroute/toucanroute/wire"
)

// HashBytes is the length in bytes of the prefix that is hashed.
const HashBytes = 256

// maxServersPerPrefix is the largest number of servers stored for a prefix.
const maxServersPerPrefix = 4

// Hash returns the hash of the prompt's first HashBytes bytes, in the format of cache events.
func Hash(prompt string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(prompt[:min(len(prompt), HashBytes)]))
}

// Map is a bounded map from hashes of prefixes (see Hash) to the servers that probably have them in their cache.
// It isn't safe for concurrent use.
type Map struct {
	// Limit is the largest number of prefixes; the least recently used ones are evicted.
	Limit int

	entries map[string]*list.Element
	// lru holds the entries, most recently used first.
	lru list.List
	// lastEventNumbers holds, by server, the number of the last cache event that was applied.
	lastEventNumbers map[string]int
	// epochs holds, by server, how often all its records were invalidated; records of an earlier epoch are ignored.
	epochs map[string]int
}

// entry lists the servers that probably have a prefix in their cache, oldest record first.
type entry struct {
	prefix  string
	records []cacheRecord
}

// cacheRecord records that a server probably has the first tokens of a prefix in its cache.
type cacheRecord struct {
	server string
	// tokens is the number of cached tokens.
	tokens int
	// epoch is the server's value in Map.epochs at the time of the record.
	epoch int
}

// Cached returns the number of tokens of the prefix that the server probably has in its cache.
func (m *Map) Cached(prefix, server string) int {
	el := m.entries[prefix]
	if el == nil {
		return 0
	}
	for _, record := range el.Value.(*entry).records {
		if record.server == server && record.epoch == m.epochs[server] {
			return record.tokens
		}
	}
	return 0
}

// Put records that the server has the number of tokens of the prefix in its cache; 0 removes the record.
func (m *Map) Put(prefix, server string, tokens int) {
	if prefix == "" {
		return
	}
	e := m.touch(prefix)
	e.remove(server)
	if tokens <= 0 {
		return
	}
	if len(e.records) >= maxServersPerPrefix {
		e.records = e.records[1:]
	}
	e.records = append(e.records, cacheRecord{server: server, tokens: tokens, epoch: m.epochs[server]})
}

// touch returns the entry of the prefix as the most recently used; it creates it on first use and evicts the oldest
// entries.
func (m *Map) touch(prefix string) *entry {
	if m.entries == nil {
		m.entries = make(map[string]*list.Element)
		m.lru.Init()
	}
	if el := m.entries[prefix]; el != nil {
		m.lru.MoveToFront(el)
		return el.Value.(*entry)
	}
	for m.lru.Len() >= max(m.Limit, 1) {
		oldest := m.lru.Back()
		delete(m.entries, oldest.Value.(*entry).prefix)
		m.lru.Remove(oldest)
	}
	e := &entry{prefix: prefix}
	m.entries[prefix] = m.lru.PushFront(e)
	return e
}

func (e *entry) remove(server string) {
	for i, record := range e.records {
		if record.server == server {
			e.records = append(e.records[:i], e.records[i+1:]...)
			return
		}
	}
}

// ApplyEvents applies a server's cache events. A repeated event is skipped. All earlier records of the server are
// dropped if its event numbers start again, as after a restart, or if its cache was cleared.
func (m *Map) ApplyEvents(server string, events []wire.CacheEvent) {
	if m.lastEventNumbers == nil {
		m.lastEventNumbers = make(map[string]int)
	}
	for _, ev := range events {
		last, seen := m.lastEventNumbers[server]
		if seen && ev.Seq == last {
			continue
		}
		if seen && ev.Seq < last {
			m.Forget(server)
		}
		m.lastEventNumbers[server] = ev.Seq
		m.apply(server, ev)
	}
}

func (m *Map) apply(server string, ev wire.CacheEvent) {
	switch ev.Type {
	case wire.CacheEventTypeStored:
		m.Put(ev.Prefix, server, max(ev.Tokens, 1))
	case wire.CacheEventTypeRemoved:
		if el := m.entries[ev.Prefix]; el != nil {
			el.Value.(*entry).remove(server)
		}
	case wire.CacheEventTypeCleared:
		m.Forget(server)
	}
}

// Forget drops all records of the server, such as after its restart.
func (m *Map) Forget(server string) {
	if m.epochs == nil {
		m.epochs = make(map[string]int)
	}
	m.epochs[server]++
}

// Len returns the number of stored prefixes.
func (m *Map) Len() int { return len(m.entries) }
