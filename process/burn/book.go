package burn

import (
	"sort"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// Cause tells why a request missed its targets.
type Cause int

// Causes of a miss.
const (
	// CauseNone is no miss.
	CauseNone Cause = iota - 1
	// CauseQueueing is time lost while waiting for a slot.
	CauseQueueing
	// CauseServer is a slow or failed backend server.
	CauseServer
	// CauseRefusal is a refusal.
	CauseRefusal
	// CauseEviction is a lost backend server of the cheap kind.
	CauseEviction
	causes = iota - 1
)

// Result is what became of one request.
type Result struct {
	// Workspace is the workspace whose key came with the request.
	Workspace string
	// Class is the request's class.
	Class string
	// Cause is CauseNone where the request met its targets.
	Cause Cause
	// Tokens is the number of tokens delivered to the caller.
	Tokens int
	// Wasted is the number of tokens generated and not delivered.
	Wasted int
	// Cheap tells that the request ran on the cheap kind.
	Cheap bool
}

// key names a row.
type key struct {
	workspace string
	class     string
}

// row is what is counted for one workspace and class.
type row struct {
	ring ring
	// The totals only grow.
	requests    int
	tokens      int
	wasted      int
	cheap       int
	cheapHarmed int
}

// Book counts the results of one instance.
type Book struct {
	mu   sync.Mutex
	rows map[key]*row
}

// Record counts one result.
func (b *Book) Record(r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rows == nil {
		b.rows = map[key]*row{}
	}
	k := key{workspace: r.Workspace, class: r.Class}
	w := b.rows[k]
	if w == nil {
		w = &row{}
		b.rows[k] = w
	}
	w.add(r, time.Now())
}

func (w *row) add(r Result, now time.Time) {
	c := w.ring.at(now)
	if r.Cause == CauseNone {
		c.good++
	} else {
		c.bad[r.Cause]++
	}
	w.requests++
	w.tokens += r.Tokens
	w.wasted += r.Wasted
	if !r.Cheap {
		return
	}
	w.cheap++
	if r.Cause != CauseNone {
		w.cheapHarmed++
	}
}

// Rows returns the counts by workspace and class; class returns the class of that name as configured.
func (b *Book) Rows(class func(name string) wire.Class) []wire.BurnRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	rows := make([]wire.BurnRow, 0, len(b.rows))
	for k, w := range b.rows {
		c := class(k.class)
		rows = append(rows, wire.BurnRow{
			Workspace:    k.workspace,
			Class:        k.class,
			Tier:         c.Tier,
			Attainment:   c.Attainment,
			Short:        wireCounts(w.ring.sum(now, ShortWindow)),
			Long:         wireCounts(w.ring.sum(now, LongWindow)),
			Requests:     w.requests,
			Tokens:       w.tokens,
			WastedTokens: w.wasted,
			Cheap:        w.cheap,
			CheapHarmed:  w.cheapHarmed,
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

func wireCounts(c counts) wire.BurnCounts {
	return wire.BurnCounts{
		Good:     int(c.good),
		Queueing: int(c.bad[CauseQueueing]),
		Server:   int(c.bad[CauseServer]),
		Refusal:  int(c.bad[CauseRefusal]),
		Eviction: int(c.bad[CauseEviction]),
	}
}
