package streamorigin

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// retention is the time for which an origin is kept: longer than callers wait for a whole stream.
	retention = 2 * time.Minute
	// maxOrigins bounds the number of origins that are kept. The oldest yield.
	maxOrigins = 1 << 14
	// maxIDBytes bounds the length of a request id, and so the memory that callers can take up with theirs.
	maxIDBytes = 128
)

// Table remembers the origins of streams by the id of the request that brought their first event. The zero value is
// ready to use.
type Table struct {
	mu sync.Mutex
	// records holds the newest origins; nil before the first one.
	records *simplelru.LRU[string, record]
}

type record struct {
	origin  Origin
	addedAt time.Time
}

// Add remembers what began a stream. The origin of an id that is already known is not changed, since requests with the
// same id can't be told apart afterwards.
func (t *Table) Add(id string, origin Origin) {
	if id == "" || len(id) > maxIDBytes || origin.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		// An error means that the size isn't positive.
		t.records, _ = simplelru.NewLRU[string, record](maxOrigins, nil)
	}
	now := time.Now()
	t.removeExpired(now)
	if !t.records.Contains(id) {
		t.records.Add(id, record{origin: origin, addedAt: now})
	}
}

// removeExpired removes the records that are older than retention. The caller holds mu.
func (t *Table) removeExpired(now time.Time) {
	for {
		_, oldest, ok := t.records.GetOldest()
		if !ok || now.Sub(oldest.addedAt) <= retention {
			return
		}
		t.records.RemoveOldest()
	}
}

// Find returns what began the stream whose first event was brought by the request with the id; false if that isn't
// known.
func (t *Table) Find(id string) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		return Origin{}, false
	}
	found, ok := t.records.Peek(id)
	if !ok || time.Since(found.addedAt) > retention {
		return Origin{}, false
	}
	return found.origin, true
}
