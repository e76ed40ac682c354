// Package prefix keeps which backend servers are believed to hold a prompt's prefix in their cache.
// Cache events come late and with gaps, so an entry is a hint that observed cached tokens correct.
package prefix

import (
	"container/list"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanroute/toucanroute/wire"
)

// HashBytes is the length of the prefix that is hashed, in bytes.
const HashBytes = 256

// maxServers is the number of servers kept per prefix.
const maxServers = 4

// Hash returns the hash of the prompt's first bytes, as cache events name it.
func Hash(prompt string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(prompt[:min(len(prompt), HashBytes)]))
}

// Map is a bounded map of prefixes to the servers that are believed to hold them.
// It holds no lock.
type Map struct {
	// Limit is the number of prefixes kept; the least recently used go first.
	Limit int

	entries map[string]*list.Element
	recent  list.List
	seqs    map[string]int
	// epochs grows for a server whose whole cache is no longer known; older places don't count.
	epochs map[string]int
}

type entry struct {
	prefix string
	places []place
}

type place struct {
	server string
	tokens int
	epoch  int
}

// Cached returns the tokens of the prefix that the server is believed to hold.
func (m *Map) Cached(prefix, server string) int {
	el := m.entries[prefix]
	if el == nil {
		return 0
	}
	for _, p := range el.Value.(*entry).places {
		if p.server == server && p.epoch == m.epochs[server] {
			return p.tokens
		}
	}
	return 0
}

// Place notes that the server holds tokens of the prefix; 0 tokens forgets it.
func (m *Map) Place(prefix, server string, tokens int) {
	if prefix == "" {
		return
	}
	e := m.touch(prefix)
	e.remove(server)
	if tokens <= 0 {
		return
	}
	if len(e.places) >= maxServers {
		e.places = e.places[1:]
	}
	e.places = append(e.places, place{server: server, tokens: tokens, epoch: m.epochs[server]})
}

func (m *Map) touch(prefix string) *entry {
	if m.entries == nil {
		m.entries = make(map[string]*list.Element)
		m.recent.Init()
	}
	if el := m.entries[prefix]; el != nil {
		m.recent.MoveToFront(el)
		return el.Value.(*entry)
	}
	for m.recent.Len() >= max(m.Limit, 1) {
		last := m.recent.Back()
		delete(m.entries, last.Value.(*entry).prefix)
		m.recent.Remove(last)
	}
	e := &entry{prefix: prefix}
	m.entries[prefix] = m.recent.PushFront(e)
	return e
}

func (e *entry) remove(server string) {
	for i, p := range e.places {
		if p.server == server {
			e.places = append(e.places[:i], e.places[i+1:]...)
			return
		}
	}
}

// Events takes in a server's cache events. Events that were seen already are left out;
// after a restart of the numbers or a clearing nothing older of the server counts.
func (m *Map) Events(server string, events []wire.CacheEvent) {
	if m.seqs == nil {
		m.seqs = make(map[string]int)
	}
	for _, ev := range events {
		last, seen := m.seqs[server]
		if seen && ev.Seq == last {
			continue
		}
		if seen && ev.Seq < last {
			m.Forget(server)
		}
		m.seqs[server] = ev.Seq
		m.apply(server, ev)
	}
}

func (m *Map) apply(server string, ev wire.CacheEvent) {
	switch ev.Type {
	case wire.CacheEventTypeStored:
		m.Place(ev.Prefix, server, max(ev.Tokens, 1))
	case wire.CacheEventTypeRemoved:
		if el := m.entries[ev.Prefix]; el != nil {
			el.Value.(*entry).remove(server)
		}
	case wire.CacheEventTypeCleared:
		m.Forget(server)
	}
}

// Forget drops all that is believed of the server's cache.
func (m *Map) Forget(server string) {
	if m.epochs == nil {
		m.epochs = make(map[string]int)
	}
	m.epochs[server]++
}

// Len returns the number of prefixes kept.
func (m *Map) Len() int { return len(m.entries) }
