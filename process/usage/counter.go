// Package usage counts what was generated for each workspace and reports each window exactly once.
//
// A Counter of each instance cuts its counts into numbered pieces and keeps each until it is stored. It hands them to
// the data centre's Collector, which holds a second copy and stores the pieces of all instances in one object at a
// time, so the writes don't grow with the fleet. Where no collector answers, the instance stores its own. A Sealer that
// holds the lease sums the pieces of a window, each run and sequence number once, and fixes the sum by a conditional
// create. The report carries the figures of the stored seal and nothing else. Pieces that come late go into a later
// window as a correction.
//
// An instance that is lost loses what it counted since its last hand-over, at most FlushInterval. An instance and the
// collector lost together while the object API is out lose what wasn't stored.
//
// Each type has one mutex; no call is made while it is held.
package usage

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// FlushInterval is how often counts are handed over.
	FlushInterval = 2 * time.Second
	// ownAfter is how long no collector may answer before an instance stores its own counts.
	ownAfter = 6 * time.Second
	// backlog is the number of kept pieces from which an instance cuts only one for each window.
	backlog = 10
)

// lineKey names the line of a count.
type lineKey struct {
	workspace, class string
}

// Counter counts the usage of one instance. The exported fields are set before Run.
type Counter struct {
	DataCentre string
	// RunID names the process; it differs from that of the instance's earlier processes.
	RunID   string
	Window  time.Duration
	Objects platform.Store
	Log     *zap.Logger
	// HandOver passes counts to the data centre's collector; nil is none.
	HandOver func(ctx context.Context, counts wire.UsageHandOver) (wire.UsageHandOverReply, error)

	mu sync.Mutex
	// open are the counts that aren't cut yet, by start of the window in Unix milliseconds.
	open map[int]map[lineKey]*wire.UsageLine
	// kept are the pieces that aren't known to be stored, ascending by sequence number.
	kept []wire.UsageCount
	seq  int
	// parts numbers the objects that this instance stores itself.
	parts int
	// answered is when a collector answered last.
	answered time.Time
}

// Add counts one answered request.
func (c *Counter) Add(workspace, class string, prompt, completion int) {
	start := windowStart(time.Now(), c.Window)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[int]map[lineKey]*wire.UsageLine{}
	}
	lines := c.open[start]
	if lines == nil {
		lines = map[lineKey]*wire.UsageLine{}
		c.open[start] = lines
	}
	addLine(lines, wire.UsageLine{
		Workspace: workspace, Class: class, Requests: 1, PromptTokens: prompt, CompletionTokens: completion,
	})
}

func windowStart(at time.Time, window time.Duration) int {
	return int(at.UnixMilli() - at.UnixMilli()%window.Milliseconds())
}

func addLine(lines map[lineKey]*wire.UsageLine, l wire.UsageLine) {
	key := lineKey{l.Workspace, l.Class}
	sum := lines[key]
	if sum == nil {
		sum = &wire.UsageLine{Workspace: l.Workspace, Class: l.Class}
		lines[key] = sum
	}
	sum.Requests += l.Requests
	sum.PromptTokens += l.PromptTokens
	sum.CompletionTokens += l.CompletionTokens
}

func sortedLines(lines map[lineKey]*wire.UsageLine) []wire.UsageLine {
	list := make([]wire.UsageLine, 0, len(lines))
	for _, l := range lines {
		list = append(list, *l)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Workspace != list[j].Workspace {
			return list[i].Workspace < list[j].Workspace
		}
		return list[i].Class < list[j].Class
	})
	return list
}

// Kept returns the number of pieces that aren't known to be stored.
func (c *Counter) Kept() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.kept)
}

// Run hands counts over until ctx ends; then it hands over or stores the rest.
func (c *Counter) Run(ctx context.Context) {
	c.mu.Lock()
	c.answered = time.Now()
	c.mu.Unlock()
	t := time.NewTicker(FlushInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.flush(ctx)
		case <-ctx.Done():
			c.finish(context.WithoutCancel(ctx))
			return
		}
	}
}

func (c *Counter) flush(ctx context.Context) {
	c.cut(false)
	if c.handOver(ctx) {
		return
	}
	c.mu.Lock()
	own := time.Since(c.answered) >= ownAfter
	c.mu.Unlock()
	if own {
		c.storeOwn(ctx)
	}
}

// finish gets the rest stored when the instance stops.
func (c *Counter) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ownAfter)
	defer cancel()
	c.cut(true)
	c.handOver(ctx)
	if c.Kept() > 0 {
		c.storeOwn(ctx)
	}
	if n := c.Kept(); n > 0 {
		c.log().Warn("usage_not_stored", zap.Int("pieces", n))
	}
}

func (c *Counter) log() *zap.Logger {
	if c.Log == nil {
		return zap.NewNop()
	}
	return c.Log
}

// cut makes pieces of the open counts. With a backlog, the current window stays open unless all is asked for.
func (c *Counter) cut(all bool) {
	current := windowStart(time.Now(), c.Window)
	c.mu.Lock()
	defer c.mu.Unlock()
	starts := make([]int, 0, len(c.open))
	for start := range c.open {
		starts = append(starts, start)
	}
	sort.Ints(starts)
	for _, start := range starts {
		if start == current && len(c.kept) >= backlog && !all {
			continue
		}
		c.seq++
		c.kept = append(c.kept, wire.UsageCount{Run: c.RunID, Seq: c.seq, WindowStartMs: start, Lines: sortedLines(c.open[start])})
		delete(c.open, start)
	}
}

func (c *Counter) pieces() []wire.UsageCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]wire.UsageCount(nil), c.kept...)
}

// handOver passes the pieces on and drops those that the collector has stored. It tells whether a collector answered.
func (c *Counter) handOver(ctx context.Context) bool {
	if c.HandOver == nil {
		return false
	}
	reply, err := c.HandOver(ctx, wire.UsageHandOver{Run: c.RunID, Counts: c.pieces()})
	if err != nil {
		c.log().Warn("usage_hand_over_failed", zap.Error(err))
		return false
	}
	c.mu.Lock()
	c.answered = time.Now()
	c.mu.Unlock()
	c.drop(reply.Through)
	return true
}

func (c *Counter) drop(through int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(c.kept) && c.kept[n].Seq <= through {
		n++
	}
	c.kept = append([]wire.UsageCount(nil), c.kept[n:]...)
}

// storeOwn stores the pieces from this instance.
func (c *Counter) storeOwn(ctx context.Context) {
	counts := c.pieces()
	if len(counts) == 0 {
		return
	}
	c.mu.Lock()
	c.parts++
	name := partName(c.DataCentre, counts[0].WindowStartMs, c.RunID+"-own", c.parts)
	c.mu.Unlock()
	if err := storePart(ctx, c.Objects, name, newPart(c.DataCentre, c.Window, counts)); err != nil {
		c.log().Warn("usage_not_stored", zap.Int("pieces", len(counts)), zap.Error(err))
		return
	}
	c.drop(counts[len(counts)-1].Seq)
}

func partName(dataCentre string, windowMs int, run string, seq int) string {
	return fmt.Sprintf("%s.%013d.%s.%d", dataCentre, windowMs, run, seq)
}

func newPart(dataCentre string, window time.Duration, counts []wire.UsageCount) wire.UsagePart {
	return wire.UsagePart{
		DataCentre: dataCentre, WindowStartMs: counts[0].WindowStartMs, WindowMs: int(window.Milliseconds()), Counts: counts,
	}
}

// storePart creates a part under a name that is used once. After a lost answer it is created again: a conflict tells
// that the first create took effect.
func storePart(ctx context.Context, store platform.Store, name string, part wire.UsagePart) error {
	_, err := store.Create(ctx, platform.KindUsagePart, name, part)
	if platform.IsErrUnknownOutcome(err) {
		_, again := store.Create(ctx, platform.KindUsagePart, name, part)
		if platform.IsErrConflict(again) {
			return nil
		}
		if again != nil {
			return errors.Join(err, again)
		}
		return nil
	}
	return err
}
