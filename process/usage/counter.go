// Package usage counts the tokens generated for each workspace and reports each window exactly once.
//
// The Counter of each instance cuts its counts into numbered batches and keeps each batch until it is stored. It hands
// the batches over to the Collector of the data centre, which holds a second copy and stores the batches of all
// instances together in one object, called a part, so that the number of writes doesn't grow with the number of
// instances. If no collector responds, an instance stores its own batches. A run is one process of an instance, from
// its start to its end; its ID and the number of a batch identify the batch.
//
// A Sealer that holds the lease sums the batches of a window, counting each batch once. It stores the sum as a seal by
// a conditional create, so that the sum of a window can't change afterwards. The usage report contains exactly the
// counts of the stored seal. Batches that arrive late are added to a later window as a correction.
//
// A lost instance loses the counts since its last hand-over, at most those of one FlushInterval. If an instance and the
// collector are lost together while the object API is unavailable, the batches that weren't stored are lost.
//
// Each type has one mutex; no call to the object API or to another instance is made while it is held.
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
	// FlushInterval is how often a counter hands its counts over.
	FlushInterval = 2 * time.Second
	// storeDirectlyAfter is the time without a reply of the collector after which an instance stores its own counts.
	storeDirectlyAfter = 6 * time.Second
	// maxBacklog is the number of pending batches from which an instance no longer cuts batches of the current window.
	// It then cuts only one batch for each window, after the end of the window.
	maxBacklog = 10
)

// lineKey identifies a usage line, which holds the counts of one workspace and class.
type lineKey struct {
	workspace, class string
}

// Counter counts the usage of one instance. The exported fields are set before Run.
type Counter struct {
	DataCentre string
	// RunID identifies the process; each process of an instance has another one.
	RunID   string
	Window  time.Duration
	Objects platform.Store
	Log     *zap.Logger
	// HandOver sends counts to the collector of the data centre; nil means that there is no collector.
	HandOver func(ctx context.Context, counts wire.UsageHandOver) (wire.UsageHandOverReply, error)

	mu sync.Mutex
	// openCounts holds the counts that aren't in a batch yet, by the start of their window in Unix milliseconds.
	openCounts map[int]map[lineKey]*wire.UsageLine
	// pending holds the batches that aren't known to be stored, ascending by sequence number.
	pending []wire.UsageCount
	// seq is the sequence number of the newest batch.
	seq int
	// parts is the number of the last part that this instance stored itself.
	parts int
	// lastReply is the time of the last reply of a collector.
	lastReply time.Time
}

// Add counts one answered request and its prompt and completion tokens.
func (c *Counter) Add(workspace, class string, prompt, completion int) {
	start := windowStart(time.Now(), c.Window)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCounts == nil {
		c.openCounts = map[int]map[lineKey]*wire.UsageLine{}
	}
	lines := c.openCounts[start]
	if lines == nil {
		lines = map[lineKey]*wire.UsageLine{}
		c.openCounts[start] = lines
	}
	addLine(lines, wire.UsageLine{
		Workspace: workspace, Class: class, Requests: 1, PromptTokens: prompt, CompletionTokens: completion,
	})
}

// windowStart returns the start of the window that contains a time, in Unix milliseconds.
func windowStart(at time.Time, window time.Duration) int {
	return int(at.UnixMilli() - at.UnixMilli()%window.Milliseconds())
}

// addLine adds a line to the sums of its workspace and class.
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

// sortedLines returns the lines sorted by workspace and class.
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

// PendingCount returns the number of batches that aren't known to be stored.
func (c *Counter) PendingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Run hands counts over at each FlushInterval until ctx ends, and then hands over or stores the remaining ones.
func (c *Counter) Run(ctx context.Context) {
	c.mu.Lock()
	c.lastReply = time.Now()
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

// flush hands the counts over, or stores them directly if the collector has been silent for storeDirectlyAfter.
func (c *Counter) flush(ctx context.Context) {
	c.cutBatches(false)
	if c.handOver(ctx) {
		return
	}
	c.mu.Lock()
	collectorIsSilent := time.Since(c.lastReply) >= storeDirectlyAfter
	c.mu.Unlock()
	if collectorIsSilent {
		c.storeDirectly(ctx)
	}
}

// finish hands over or stores the remaining counts when the instance stops.
func (c *Counter) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeDirectlyAfter)
	defer cancel()
	c.cutBatches(true)
	c.handOver(ctx)
	if c.PendingCount() > 0 {
		c.storeDirectly(ctx)
	}
	if n := c.PendingCount(); n > 0 {
		c.log().Warn("usage_not_stored", zap.Int("pieces", n))
	}
}

// log returns the logger, or one that drops everything if Log is nil.
func (c *Counter) log() *zap.Logger {
	if c.Log == nil {
		return zap.NewNop()
	}
	return c.Log
}

// cutBatches turns the open counts into batches. If there are maxBacklog pending batches, the counts of the current
// window stay open unless all is true.
func (c *Counter) cutBatches(all bool) {
	current := windowStart(time.Now(), c.Window)
	c.mu.Lock()
	defer c.mu.Unlock()
	starts := make([]int, 0, len(c.openCounts))
	for start := range c.openCounts {
		starts = append(starts, start)
	}
	sort.Ints(starts)
	for _, start := range starts {
		if start == current && len(c.pending) >= maxBacklog && !all {
			continue
		}
		c.seq++
		c.pending = append(c.pending, wire.UsageCount{Run: c.RunID, Seq: c.seq, WindowStartMs: start, Lines: sortedLines(c.openCounts[start])})
		delete(c.openCounts, start)
	}
}

// pendingBatches returns a copy of the list of pending batches.
func (c *Counter) pendingBatches() []wire.UsageCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]wire.UsageCount(nil), c.pending...)
}

// handOver sends the pending batches to the collector and drops those that the collector has stored. It reports whether
// the collector replied.
func (c *Counter) handOver(ctx context.Context) bool {
	if c.HandOver == nil {
		return false
	}
	reply, err := c.HandOver(ctx, wire.UsageHandOver{Run: c.RunID, Counts: c.pendingBatches()})
	if err != nil {
		c.log().Warn("usage_hand_over_failed", zap.Error(err))
		return false
	}
	c.mu.Lock()
	c.lastReply = time.Now()
	c.mu.Unlock()
	c.dropStored(reply.Through)
	return true
}

// dropStored drops the pending batches up to the sequence number through, since they are stored.
func (c *Counter) dropStored(through int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(c.pending) && c.pending[n].Seq <= through {
		n++
	}
	c.pending = append([]wire.UsageCount(nil), c.pending[n:]...)
}

// storeDirectly stores the pending batches without the collector.
func (c *Counter) storeDirectly(ctx context.Context) {
	counts := c.pendingBatches()
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
	c.dropStored(counts[len(counts)-1].Seq)
}

// partName returns the name of the part with the number seq among the parts that a run has written.
func partName(dataCentre string, windowMs int, run string, seq int) string {
	return fmt.Sprintf("%s.%013d.%s.%d", dataCentre, windowMs, run, seq)
}

// newPart returns a part that contains the batches counts. Its window is that of the first batch.
func newPart(dataCentre string, window time.Duration, counts []wire.UsageCount) wire.UsagePart {
	return wire.UsagePart{
		DataCentre: dataCentre, WindowStartMs: counts[0].WindowStartMs, WindowMs: int(window.Milliseconds()), Counts: counts,
	}
}

// storePart creates a part under a name that is used only once. If the outcome of the create is unknown, the part is
// created again; a conflict then shows that the first create took effect.
func storePart(ctx context.Context, store platform.Store, name string, part wire.UsagePart) error {
	_, err := store.Create(ctx, platform.KindUsagePart, name, part)
	if platform.IsErrUnknownOutcome(err) {
		_, retryErr := store.Create(ctx, platform.KindUsagePart, name, part)
		if platform.IsErrConflict(retryErr) {
			return nil
		}
		if retryErr != nil {
			return errors.Join(err, retryErr)
		}
		return nil
	}
	return err
}
