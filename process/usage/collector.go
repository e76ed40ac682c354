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
	// WriteInterval is how often a collector stores the batches that it has received.
	WriteInterval = 2 * time.Second
	// maxPartLines bounds the number of usage lines in one part, since an object of the store holds up to a megabyte.
	maxPartLines = 5000
	// runRetention is how long a collector keeps the state of a run that hands over no counts.
	runRetention = time.Hour
)

// runState is the state that a collector keeps of one run, which is one process of an instance.
type runState struct {
	// pending holds the batches that aren't stored yet, ascending by sequence number.
	pending []wire.UsageCount
	// received and stored are the highest sequence numbers that were received and stored.
	received, stored int
	lastHandOver     time.Time
}

// Collector stores the usage counts of the instances of a data centre. Each instance has one, and the instances choose
// one of them to hand their counts over to. The exported fields are set before Run.
type Collector struct {
	DataCentre string
	RunID      string
	Window     time.Duration
	Objects    platform.Store
	Log        *zap.Logger

	mu sync.Mutex
	// runs holds the state of each run by its ID.
	runs map[string]*runState
	// parts is the number of the last part that this collector has written.
	parts int
}

// Take receives batches of a run and returns the sequence number up to which the run's batches are stored. It ignores
// batches that it has received before.
func (c *Collector) Take(counts wire.UsageHandOver) wire.UsageHandOverReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = map[string]*runState{}
	}
	r := c.runs[counts.Run]
	if r == nil {
		r = &runState{}
		c.runs[counts.Run] = r
	}
	r.lastHandOver = time.Now()
	for _, count := range counts.Counts {
		if count.Run == counts.Run && count.Seq > r.received {
			r.received = count.Seq
			r.pending = append(r.pending, count)
		}
	}
	return wire.UsageHandOverReply{Through: r.stored}
}

// PendingCount returns the number of received batches that aren't stored yet.
func (c *Collector) PendingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.runs {
		n += len(r.pending)
	}
	return n
}

// Run stores the received batches at each WriteInterval until ctx ends, and then stores the remaining ones.
func (c *Collector) Run(ctx context.Context) {
	t := time.NewTicker(WriteInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.store(ctx)
		case <-ctx.Done():
			finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), WriteInterval)
			for c.store(finalCtx) && c.PendingCount() > 0 {
			}
			cancel()
			return
		}
	}
}

// store writes the pending batches and reports whether they are stored. It usually writes one part and leaves batches
// that arrive meanwhile to the next call, so that the number of writes doesn't grow with the number of instances. Only
// if the part is full does it write another one.
func (c *Collector) store(ctx context.Context) bool {
	for full := true; full; {
		var counts []wire.UsageCount
		var name string
		counts, name, full = c.nextPart()
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

// nextPart returns the batches for the next part, the name of the part, and whether the part is full. The batches of
// each run are in the order of their sequence numbers.
func (c *Collector) nextPart() (counts []wire.UsageCount, name string, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.runs))
	for name, r := range c.runs {
		if len(r.pending) == 0 && time.Since(r.lastHandOver) > runRetention {
			delete(c.runs, name)
			continue
		}
		names = append(names, name)
	}
	sort.Strings(names)
	lines := 0
	for _, name := range names {
		for _, count := range c.runs[name].pending {
			if len(counts) > 0 && lines+len(count.Lines) > maxPartLines {
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

// stored records that the batches of a part are stored and removes them from the pending ones.
func (c *Collector) stored(counts []wire.UsageCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, count := range counts {
		r := c.runs[count.Run]
		r.stored = max(r.stored, count.Seq)
		if len(r.pending) > 0 && r.pending[0].Seq <= count.Seq {
			r.pending = r.pending[1:]
		}
	}
}
