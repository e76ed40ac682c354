package usage

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/lease"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// DefaultGracePeriod is the usual time from the end of a window until it is sealed. In this time, instances can
	// still store the counts of the window.
	DefaultGracePeriod = 10 * time.Second
	// sealInterval is how often the holder of the lease checks for windows to seal or report.
	sealInterval = 2 * time.Second
	// SealRetention is how long reported seals are kept after the end of their window.
	SealRetention = 5 * time.Minute
	// MaxCountAge is the maximum delay with which a count is still accepted; a later one is dropped and logged.
	MaxCountAge = 24 * time.Hour
)

// Sealer seals and reports the windows of a data centre while its instance holds the lease. To seal a window is to
// store the final sum of its counts; later counts are added to a later window as a correction. The exported fields
// are set before Run.
type Sealer struct {
	DataCentre string
	Instance   string
	Window     time.Duration
	// GracePeriod is the time between the end of a window and its seal; 0 means DefaultGracePeriod.
	GracePeriod time.Duration
	Lease       *lease.Lease
	Objects     platform.Store
	Log         *zap.Logger
	// Report sends a report and calls the guard immediately before it sends the first byte.
	Report func(ctx context.Context, report wire.UsageReport, guard func() error) error
	// create replaces the conditional create of a seal; only tests set it.
	create func(ctx context.Context, name string, seal wire.UsageSeal) (wire.Object, error)

	// healthySince is the time since which all calls to the object API have succeeded; zero after a failed step.
	healthySince time.Time
	// idleUntil is the time until which Step has nothing to do: the last seal was reported, and the next isn't due
	// earlier. It applies only under the fencing token idleFence.
	idleUntil time.Time
	idleFence int
}

// storedSeal is a seal together with the object that stores it.
type storedSeal struct {
	obj  wire.Object
	seal wire.UsageSeal
}

// end returns the end of the sealed window in Unix milliseconds.
func (s storedSeal) end() int { return s.seal.WindowStartMs + s.seal.WindowMs }

// sealName returns the name of the seal of the window that starts at windowMs, in Unix milliseconds.
func sealName(dataCentre string, windowMs int) string {
	return fmt.Sprintf("%s.%013d", dataCentre, windowMs)
}

// Run seals and reports windows while the lease is held, until ctx ends.
func (s *Sealer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := sealInterval
		if fence, _, held := s.Lease.Held(); held {
			more, err := s.Step(ctx, fence)
			if err != nil {
				s.healthySince = time.Time{}
				s.log().Warn("usage_seal_failed", zap.Error(err))
			}
			if more {
				wait = 0
			}
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// log returns the logger, or one that drops everything if Log is nil.
func (s *Sealer) log() *zap.Logger {
	if s.Log == nil {
		return zap.NewNop()
	}
	return s.Log
}

// Step reports the sealed windows, seals the next window if it is due, and returns whether there may be more to do at
// once.
func (s *Sealer) Step(ctx context.Context, fence int) (more bool, err error) {
	if fence == s.idleFence && time.Now().Before(s.idleUntil) {
		return false, nil
	}
	seals, err := s.seals(ctx)
	if err != nil {
		return false, err
	}
	if s.healthySince.IsZero() {
		s.healthySince = time.Now()
	}
	if len(seals) == 0 {
		return true, s.createFirstSeal(ctx, fence)
	}
	if err := s.report(ctx, seals, fence); err != nil {
		return false, err
	}
	last := seals[len(seals)-1]
	if !s.isDue(last.end()) {
		s.idleUntil = time.UnixMilli(int64(last.end())).Add(s.Window + s.gracePeriod())
		s.idleFence = fence
		return false, nil
	}
	parts, err := s.Objects.List(ctx, platform.KindUsagePart, s.DataCentre+".")
	if err != nil {
		return false, err
	}
	s.deleteObsolete(ctx, seals, parts, fence)
	return true, s.seal(ctx, last.seal, parts, fence)
}

// gracePeriod returns GracePeriod or its default.
func (s *Sealer) gracePeriod() time.Duration {
	if s.GracePeriod > 0 {
		return s.GracePeriod
	}
	return DefaultGracePeriod
}

// isDue reports whether the window that starts at startMs, in Unix milliseconds, may be sealed. The grace period after
// the end of the window must have passed, and the object API must have been healthy for at least as long.
func (s *Sealer) isDue(startMs int) bool {
	end := time.UnixMilli(int64(startMs)).Add(s.Window)
	return time.Since(end) >= s.gracePeriod() && time.Since(s.healthySince) >= s.gracePeriod()
}

// seals returns the data centre's seals, oldest first.
func (s *Sealer) seals(ctx context.Context) ([]storedSeal, error) {
	list, err := s.Objects.List(ctx, platform.KindUsageSeal, s.DataCentre+".")
	if err != nil {
		return nil, err
	}
	seals := make([]storedSeal, 0, len(list.Items))
	for _, obj := range list.Items {
		seal, err := platform.Decode[wire.UsageSeal](obj)
		if err != nil {
			return nil, fmt.Errorf("seal %s: %w", obj.Name, err)
		}
		seals = append(seals, storedSeal{obj, seal})
	}
	sort.Slice(seals, func(i, j int) bool { return seals[i].seal.WindowStartMs < seals[j].seal.WindowStartMs })
	return seals, nil
}

// createFirstSeal fixes the start of the first window: it creates an empty seal that covers all time before. All
// sealers use the same name for this seal, so that only one of them can create it.
func (s *Sealer) createFirstSeal(ctx context.Context, fence int) error {
	return s.createSeal(ctx, wire.UsageSeal{
		DataCentre: s.DataCentre, WindowMs: windowStart(time.Now().Add(-s.gracePeriod()), s.Window), Fence: fence, Sealer: s.Instance,
		ReportedMs: int(time.Now().UnixMilli()), Lines: []wire.UsageLine{}, Counted: []wire.CountedRun{},
	}, fence)
}

// createSeal creates a seal if the lease is still held with the fencing token fence. It returns no error if another
// sealer has already sealed the window, since that seal is then the valid one.
func (s *Sealer) createSeal(ctx context.Context, seal wire.UsageSeal, fence int) error {
	if err := s.Lease.CheckFence(fence); err != nil {
		return err
	}
	name := sealName(s.DataCentre, seal.WindowStartMs)
	create := s.create
	if create == nil {
		create = func(ctx context.Context, name string, seal wire.UsageSeal) (wire.Object, error) {
			return s.Objects.Create(ctx, platform.KindUsageSeal, name, seal)
		}
	}
	_, err := create(ctx, name, seal)
	if platform.IsErrConflict(err) {
		return nil
	}
	return err
}

// seal sums the stored counts that belong to the window after the last seal, or to earlier windows without having been
// counted in their seals, and stores the sum as a new seal.
func (s *Sealer) seal(ctx context.Context, last wire.UsageSeal, parts wire.ObjectList, fence int) error {
	start := last.WindowStartMs + last.WindowMs
	counted := newCountedBatches(last.Counted)
	lines := map[lineKey]*wire.UsageLine{}
	correction := false
	for _, obj := range parts.Items {
		part, err := platform.Decode[wire.UsagePart](obj)
		if err != nil {
			s.log().Error("usage_part_unreadable", zap.String("name", obj.Name), zap.Error(err))
			continue
		}
		for _, count := range part.Counts {
			if count.WindowStartMs > start || !counted.add(count, start) {
				continue
			}
			if start-count.WindowStartMs > int(MaxCountAge.Milliseconds()) {
				s.log().Error("usage_too_late", zap.String("run", count.Run), zap.Int("seq", count.Seq))
				continue
			}
			correction = correction || count.WindowStartMs < start
			for _, l := range count.Lines {
				addLine(lines, l)
			}
		}
	}
	return s.createSeal(ctx, wire.UsageSeal{
		DataCentre: s.DataCentre, WindowStartMs: start, WindowMs: int(s.Window.Milliseconds()), Fence: fence, Sealer: s.Instance,
		Lines: sortedLines(lines), Counted: counted.runs(start), Correction: correction,
	}, fence)
}

// report reports the unreported seals, oldest first. It never reports a seal that is older than a reported one: such a
// seal was written late by a process that had been frozen until the valid seal of the window had been removed.
func (s *Sealer) report(ctx context.Context, seals []storedSeal, fence int) error {
	reported := lastReported(seals)
	for i, stored := range seals {
		if stored.seal.ReportedMs > 0 {
			continue
		}
		if i < reported {
			s.log().Error("usage_seal_out_of_order", zap.Int("window_ms", stored.seal.WindowStartMs))
			continue
		}
		if err := s.reportOne(ctx, stored, fence); err != nil {
			return err
		}
	}
	return nil
}

// lastReported returns the index of the newest reported seal, or 0 if none was reported.
func lastReported(seals []storedSeal) int {
	reported := 0
	for i, stored := range seals {
		if stored.seal.ReportedMs > 0 {
			reported = i
		}
	}
	return reported
}

// reportOne sends the report of one seal and marks the seal as reported.
func (s *Sealer) reportOne(ctx context.Context, stored storedSeal, fence int) error {
	seal := stored.seal
	report := wire.UsageReport{
		DataCentre: seal.DataCentre, WindowStartMs: seal.WindowStartMs, WindowMs: seal.WindowMs,
		Fence: fence, Reporter: s.Instance, Lines: seal.Lines,
	}
	err := s.Lease.Do(fence, func() error {
		return s.Report(ctx, report, func() error { return s.Lease.CheckFence(fence) })
	})
	if err != nil {
		return err
	}
	now := time.Now()
	lag := now.Sub(time.UnixMilli(int64(stored.end())))
	s.log().Info("usage_reported", zap.String("data_centre", s.DataCentre), zap.Int("window_ms", seal.WindowStartMs),
		zap.Int("fence", fence), zap.String("reporter", s.Instance), zap.Int64("lag_ms", lag.Milliseconds()))
	if lag > s.Window+s.gracePeriod() {
		metrics.GetOrCreateCounter("toucanroute_usage_reports_late_total").Inc()
	}
	if seal.Correction {
		metrics.GetOrCreateCounter("toucanroute_usage_reports_corrected_total").Inc()
	}
	seal.ReportedMs = int(now.UnixMilli())
	_, err = s.Objects.Update(ctx, platform.KindUsageSeal, stored.obj.Name, stored.obj.Version, seal)
	if platform.IsErrConflict(err) {
		return nil
	}
	return err
}

// deleteObsolete deletes the parts whose batches are all counted in seals, and the reported seals that are older than
// SealRetention.
func (s *Sealer) deleteObsolete(ctx context.Context, seals []storedSeal, parts wire.ObjectList, fence int) {
	last := seals[len(seals)-1].seal
	counted := newCountedBatches(last.Counted)
	var failures error
	for _, obj := range parts.Items {
		part, err := platform.Decode[wire.UsagePart](obj)
		if err == nil && counted.hasAll(part.Counts) && s.Lease.CheckFence(fence) == nil {
			failures = errors.Join(failures, s.Objects.Delete(ctx, platform.KindUsagePart, obj.Name, obj.Version))
		}
	}
	reported := lastReported(seals)
	for i, stored := range seals[:len(seals)-1] {
		age := time.Since(time.UnixMilli(int64(stored.end())))
		if i < reported && age > SealRetention && s.Lease.CheckFence(fence) == nil {
			failures = errors.Join(failures, s.Objects.Delete(ctx, platform.KindUsageSeal, stored.obj.Name, stored.obj.Version))
		}
	}
	if failures != nil {
		s.log().Warn("usage_not_cleaned", zap.Error(failures))
	}
}
