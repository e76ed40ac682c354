package usage

import (
	"context"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// WriteInterval is how often a collector stores what it has.
	WriteInterval = 2 * time.Second
	// partLines bounds the lines of one object, which holds up to a megabyte.
	partLines = 5000
	// forgetRun is how long a collector remembers a run that hands nothing over.
	forgetRun = time.Hour
)

// run is what a collector knows of one run.
type run struct {
	// waiting are the pieces that aren't stored, ascending by sequence number.
	waiting []wire.UsageCount
	// received and stored are the highest sequence numbers that came and that are stored.
	received, stored int
	heard            time.Time
}

// Collector stores the counts of a data centre's instances. Each instance has one; the instances choose one of them.
// The exported fields are set before Run.
type Collector struct {
	DataCentre string
	RunID      string
	Window     time.Duration
	Objects    platform.Store
	Log        *zap.Logger

	mu    sync.Mutex
	runs  map[string]*run
	parts int
}

// Take keeps the counts and tells which of the run's are stored.
func (c *Collector) Take(counts wire.UsageHandOver) wire.UsageHandOverReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = map[string]*run{}
	}
	r := c.runs[counts.Run]
	if r == nil {
		r = &run{}
		c.runs[counts.Run] = r
	}
	r.heard = time.Now()
	for _, count := range counts.Counts {
		if count.Run == counts.Run && count.Seq > r.received {
			r.received = count.Seq
			r.waiting = append(r.waiting, count)
		}
	}
	return wire.UsageHandOverReply{Through: r.stored}
}

// Waiting returns the number of pieces that aren't stored.
func (c *Collector) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.runs {
		n += len(r.waiting)
	}
	return n
}

// Run stores what comes in until ctx ends; then it stores the rest.
func (c *Collector) Run(ctx context.Context) {
	t := time.NewTicker(WriteInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.store(ctx)
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), WriteInterval)
			for c.store(last) && c.Waiting() > 0 {
			}
			cancel()
			return
		}
	}
}

// store writes what waits and tells whether it is stored. What comes in meanwhile waits for the next call unless an object
// is full, so that the number of writes doesn't grow with the number of instances.
func (c *Collector) store(ctx context.Context) bool {
	for full := true; full; {
		var counts []wire.UsageCount
		var name string
		counts, name, full = c.batch()
		if len(counts) == 0 {
			return true
		}
		if err := storePart(ctx, c.Objects, name, newPart(c.DataCentre, c.Window, counts)); err != nil {
			if c.Log != nil {
				c.Log.Warn("usage_part_not_stored", zap.Int("pieces", len(counts)), zap.Error(err))
			}
			return false
		}
		c.stored(counts)
	}
	return true
}

// batch returns pieces for one object, each run's in order, its name, and whether the object has no room for more.
func (c *Collector) batch() (counts []wire.UsageCount, name string, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.runs))
	for name, r := range c.runs {
		if len(r.waiting) == 0 && time.Since(r.heard) > forgetRun {
			delete(c.runs, name)
			continue
		}
		names = append(names, name)
	}
	sort.Strings(names)
	lines := 0
	for _, name := range names {
		for _, count := range c.runs[name].waiting {
			if len(counts) > 0 && lines+len(count.Lines) > partLines {
				full = true
				break
			}
			lines += len(count.Lines)
			counts = append(counts, count)
		}
	}
	if len(counts) == 0 {
		return nil, "", false
	}
	c.parts++
	return counts, partName(c.DataCentre, counts[0].WindowStartMs, c.RunID, c.parts), full
}

func (c *Collector) stored(counts []wire.UsageCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, count := range counts {
		r := c.runs[count.Run]
		r.stored = max(r.stored, count.Seq)
		if len(r.waiting) > 0 && r.waiting[0].Seq <= count.Seq {
			r.waiting = r.waiting[1:]
		}
	}
}
