package burn

import (
	"sort"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// Cause is the reason why a request missed the targets of its class.
type Cause int

// Causes of missed targets.
const (
	// CauseNone means that the request met its targets.
	CauseNone Cause = iota - 1
	// CauseQueueing means that the request waited too long for a slot.
	CauseQueueing
	// CauseServer means that the backend server was too slow or failed.
	CauseServer
	// CauseRefusal means that the request was refused.
	CauseRefusal
	// CauseEviction means that the request failed on a backend server of the cheap kind, which can be reclaimed.
	CauseEviction
	// causeCount is the number of causes without CauseNone.
	causeCount = iota - 1
)

// Result is the outcome of one request.
type Result struct {
	// Workspace is the workspace whose key came with the request.
	Workspace string
	// Class is the request's class.
	Class string
	// Cause is CauseNone if the request met its targets.
	Cause Cause
	// Tokens is the number of tokens delivered to the caller.
	Tokens int
	// Wasted is the number of tokens that were generated but not delivered.
	Wasted int
	// Cheap is true if the request ran on a backend server of the cheap kind.
	Cheap bool
}

// rowKey identifies the row of one workspace and class.
type rowKey struct {
	workspace string
	class     string
}

// row holds the counts of one workspace and class.
type row struct {
	bucketRing bucketRing
	// The fields below are totals since the start of the instance. The fields tokens and wasted count generated tokens
	// that were delivered and not delivered; cheap and cheapMissed count the requests on servers of the cheap kind, and
	// those of them that missed a target.
	requests    int
	tokens      int
	wasted      int
	cheap       int
	cheapMissed int
}

// Recorder counts the request results of one instance by workspace and class.
type Recorder struct {
	mu   sync.Mutex
	rows map[rowKey]*row
}

// Record counts the result of one request.
func (b *Recorder) Record(r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rows == nil {
		b.rows = map[rowKey]*row{}
	}
	key := rowKey{workspace: r.Workspace, class: r.Class}
	entry := b.rows[key]
	if entry == nil {
		entry = &row{}
		b.rows[key] = entry
	}
	entry.add(r, time.Now())
}

// add counts one result in the row.
func (entry *row) add(r Result, now time.Time) {
	bucket := entry.bucketRing.advance(now)
	if r.Cause == CauseNone {
		bucket.good++
	} else {
		bucket.missed[r.Cause]++
	}
	entry.requests++
	entry.tokens += r.Tokens
	entry.wasted += r.Wasted
	if !r.Cheap {
		return
	}
	entry.cheap++
	if r.Cause != CauseNone {
		entry.cheapMissed++
	}
}

// Rows returns the counts by workspace and class. The function class returns the configuration of a class by its name.
func (b *Recorder) Rows(class func(name string) wire.Class) []wire.BurnRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	rows := make([]wire.BurnRow, 0, len(b.rows))
	for key, entry := range b.rows {
		classConfig := class(key.class)
		rows = append(rows, wire.BurnRow{
			Workspace:    key.workspace,
			Class:        key.class,
			Tier:         classConfig.Tier,
			Attainment:   classConfig.Attainment,
			Short:        wireCounts(entry.bucketRing.sum(now, ShortWindow)),
			Long:         wireCounts(entry.bucketRing.sum(now, LongWindow)),
			Requests:     entry.requests,
			Tokens:       entry.tokens,
			WastedTokens: entry.wasted,
			Cheap:        entry.cheap,
			CheapHarmed:  entry.cheapMissed,
		})
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Class != rows[j].Class {
			return rows[i].Class < rows[j].Class
		}
		return rows[i].Workspace < rows[j].Workspace
	})
	return rows
}

// wireCounts converts counts to their wire form.
func wireCounts(c counts) wire.BurnCounts {
	return wire.BurnCounts{
		Good:     int(c.good),
		Queueing: int(c.missed[CauseQueueing]),
		Server:   int(c.missed[CauseServer]),
		Refusal:  int(c.missed[CauseRefusal]),
		Eviction: int(c.missed[CauseEviction]),
	}
}
