package requestcount

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/wire"
)

// The length of a time window, and the time after the end of a window within which its report is due.
const (
	window      = 5 * time.Second
	reportDelay = 10 * time.Second
)

// reportReceiver receives reports. It fails the test if a window is reported late or with different counts.
type reportReceiver struct {
	t       *testing.T
	mu      sync.Mutex
	reports map[int64]map[string]int
	// failuresLeft is the number of reports that are still rejected.
	failuresLeft int
}

// report receives one report; it can be used as Reporter.Report.
func (r *reportReceiver) report(_ context.Context, _ int, start time.Time, counts map[string]int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failuresLeft > 0 {
		r.failuresLeft--
		return errors.New("the platform is unavailable")
	}
	assert.Assert(r.t, time.Since(start) < window+reportDelay, "the report is late")
	if previous, ok := r.reports[start.UnixMilli()]; ok {
		assert.DeepEqual(r.t, previous, counts)
	}
	r.reports[start.UnixMilli()] = maps.Clone(counts)
	return nil
}

func newCounter(store platform.Store, run, dc string, isWriter bool) *Counter {
	return &Counter{Run: run, DataCentre: dc, Window: window, Delay: reportDelay, Store: store, Log: zap.NewNop(), IsWriter: func() bool { return isWriter }}
}

func newReporter(store platform.Store, receiver *reportReceiver, fence int) *Reporter {
	return &Reporter{
		Window: window, Delay: reportDelay, Store: store, Log: zap.NewNop(),
		Held:   func() (int, bool) { return fence, true },
		Report: receiver.report,
		Sent:   &SentWindows{},
	}
}

// runFor runs the functions concurrently and cancels them after d.
func runFor(t *testing.T, d time.Duration, tasks ...func(context.Context)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	done := make(chan struct{})
	for _, task := range tasks {
		go func() { task(ctx); done <- struct{}{} }()
	}
	for range tasks {
		<-done
	}
}

// sleepToWindowStart sleeps until the start of the next window and returns it in Unix milliseconds.
func sleepToWindowStart() int64 {
	time.Sleep(time.Until(WindowStart(time.Now(), window).Add(window)))
	return time.Now().UnixMilli()
}

func TestWindowIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &platformtest.Objects{}
		receiver := &reportReceiver{t: t, reports: map[int64]map[string]int{}}
		a, b := newCounter(objects.Store("a"), "a.1", "x", true), newCounter(objects.Store("b"), "b.1", "x", false)
		r := newReporter(objects.Store("a"), receiver, 1)
		start := sleepToWindowStart()
		for range 30 {
			a.CountRequest("alba", time.Now())
			b.CountRequest("bela", time.Now())
		}
		a.MergeCopy("b.1", b.RecentCounts())
		runFor(t, 12*time.Second, a.Execute, b.Execute, r.Execute)
		assert.DeepEqual(t, receiver.reports[start], map[string]int{"alba": 30, "bela": 30})
		assert.Equal(t, objects.CallCount("create "+KindCounts), 1, "only the writing instance stores an object")
	})
}

// If two writing instances have copies of the same run's counts, only the larger copy is added to the sum.
func TestOnlyLargestCopyIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &platformtest.Objects{}
		receiver := &reportReceiver{t: t, reports: map[int64]map[string]int{}}
		a, b := newCounter(objects.Store("a"), "a.1", "x", true), newCounter(objects.Store("b"), "b.1", "x", true)
		lostRun := newCounter(objects.Store("c"), "c.1", "x", false)
		start := sleepToWindowStart()
		lostRun.CountRequest("alba", time.Now())
		a.MergeCopy("c.1", lostRun.RecentCounts())
		lostRun.CountRequest("alba", time.Now())
		b.MergeCopy("c.1", lostRun.RecentCounts())
		a.MergeCopy("c.1", []wire.NewsWindow{{StartMs: int(start), Counts: wire.NewsWindowCounts{"alba": 1}}})
		runFor(t, 12*time.Second, a.Execute, b.Execute, newReporter(objects.Store("a"), receiver, 1).Execute)
		assert.DeepEqual(t, receiver.reports[start], map[string]int{"alba": 2})
	})
}

// If the instances of a data centre can't write, the report is delayed, but not beyond the time when it is due.
func TestReportWaitsForEachDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var writesDown atomic.Bool
		objects := &platformtest.Objects{ChooseFault: func(c platformtest.Call) platformtest.Fault {
			if writesDown.Load() && c.Instance == "b" && c.IsWrite() {
				return platformtest.Fault{Outcome: platformtest.OutcomeUnavailable}
			}
			return platformtest.Fault{}
		}}
		receiver := &reportReceiver{t: t, reports: map[int64]map[string]int{}}
		a, b := newCounter(objects.Store("a"), "a.1", "x", true), newCounter(objects.Store("b"), "b.1", "y", true)
		sleepToWindowStart()
		a.CountRequest("alba", time.Now())
		b.CountRequest("alba", time.Now())
		runFor(t, 7*time.Second, a.Execute, b.Execute)
		start := sleepToWindowStart()
		writesDown.Store(true)
		for range 5 {
			a.CountRequest("alba", time.Now())
			b.CountRequest("alba", time.Now())
		}
		time.AfterFunc(10*time.Second, func() { writesDown.Store(false) })
		runFor(t, 14500*time.Millisecond, a.Execute, b.Execute, newReporter(objects.Store("a"), receiver, 1).Execute)
		assert.DeepEqual(t, receiver.reports[start], map[string]int{"alba": 10})
	})
}

// The response to the write of the sums is lost, and another instance becomes the lease holder. It must report the
// stored sums again, although more counts have arrived.
func TestLaterHolderReportsSameCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var responseLost atomic.Bool
		objects := &platformtest.Objects{ChooseFault: func(c platformtest.Call) platformtest.Fault {
			if c.IsWrite() && c.Kind == KindSums && !responseLost.Swap(true) {
				return platformtest.Fault{Outcome: platformtest.OutcomeResponseLost}
			}
			return platformtest.Fault{}
		}}
		receiver := &reportReceiver{t: t, reports: map[int64]map[string]int{}}
		a := newCounter(objects.Store("a"), "a.1", "x", true)
		start := sleepToWindowStart()
		a.CountRequest("alba", time.Now())
		runFor(t, 8*time.Second, a.Execute, newReporter(objects.Store("a"), receiver, 1).Execute)
		assert.Equal(t, receiver.reports[start]["alba"], 1)
		a.MergeCopy("late.1", []wire.NewsWindow{{StartMs: int(start), Counts: wire.NewsWindowCounts{"alba": 7}}})
		assert.NilError(t, a.Write(t.Context()))
		runFor(t, 3*time.Second, newReporter(objects.Store("b"), receiver, 2).Execute)
		assert.Equal(t, receiver.reports[start]["alba"], 1)
	})
}

// Two reporters that hold the lease at the same time must send the same counts.
func TestConcurrentReportersSendSameCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &platformtest.Objects{}
		receiver := &reportReceiver{t: t, reports: map[int64]map[string]int{}}
		a := newCounter(objects.Store("a"), "a.1", "x", true)
		start := sleepToWindowStart()
		a.CountRequest("alba", time.Now())
		runFor(t, 12*time.Second, a.Execute, newReporter(objects.Store("a"), receiver, 1).Execute, newReporter(objects.Store("b"), receiver, 2).Execute)
		assert.Equal(t, receiver.reports[start]["alba"], 1)
	})
}

func TestFailedReportIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &platformtest.Objects{}
		receiver := &reportReceiver{t: t, reports: map[int64]map[string]int{}, failuresLeft: 4}
		a := newCounter(objects.Store("a"), "a.1", "x", true)
		start := sleepToWindowStart()
		a.CountRequest("alba", time.Now())
		runFor(t, 13*time.Second, a.Execute, newReporter(objects.Store("a"), receiver, 1).Execute)
		assert.Equal(t, receiver.reports[start]["alba"], 1)
	})
}
