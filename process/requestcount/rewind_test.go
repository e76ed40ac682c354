package requestcount

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/wire"
)

// TestRewoundWindowIsReportedOnce checks that a window is never reported with other counts after the store came back
// from a copy without its sum, although more counts have arrived: not by the process that reported it, nor by one that
// heard of the report, nor by one that started later and heard of nothing. A process whose report wasn't accepted sends
// the same counts again.
func TestRewoundWindowIsReportedOnce(t *testing.T) {
	for _, next := range []string{"same process", "not accepted", "heard of it", "started later"} {
		t.Run(next, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				objects := &platformtest.Objects{}
				receiver := &reportReceiver{t: t, reports: map[int64]map[string]int{}}
				a := newCounter(objects.Store("a"), "a.1", "x", true)
				r := newReporter(objects.Store("a"), receiver, 1)
				r.StartedAt = time.Now()
				start := sleepToWindowStart()
				a.CountRequest("alba", time.Now())
				withoutSum := objects.Copy()
				ownSteps := func(r *Reporter, steps int) {
					for range steps {
						_ = r.step(t.Context(), 1, time.Now())
						time.Sleep(pollInterval)
					}
				}
				r.reported, r.sent = map[int64]bool{}, map[int64]map[string]int{}
				time.Sleep(window + writeAfter)
				assert.NilError(t, a.Write(t.Context()))
				if next == "not accepted" {
					receiver.failuresLeft = 4
				}
				ownSteps(r, 4)
				if next != "not accepted" {
					assert.Equal(t, receiver.reports[start]["alba"], 1)
				}

				objects.Rewind(withoutSum)
				a.MergeCopy("late.1", []wire.NewsWindow{{StartMs: int(start), Counts: wire.NewsWindowCounts{"alba": 7}}})
				assert.Assert(t, a.Write(t.Context()) != nil, "the object of the earlier era is gone")
				assert.NilError(t, a.Write(t.Context()))
				if next == "heard of it" || next == "started later" {
					second := newReporter(objects.Store("b"), receiver, 1)
					second.reported, second.sent = map[int64]bool{}, map[int64]map[string]int{}
					second.StartedAt = time.Now()
					if next == "heard of it" {
						second.StartedAt = r.StartedAt
						second.Sent.Observe(r.Sent.NewestMs())
					}
					r = second
				}
				ownSteps(r, 6)
				assert.Equal(t, receiver.reports[start]["alba"], 1)

				// The next window is reported as usual.
				start = sleepToWindowStart()
				a.CountRequest("alba", time.Now())
				time.Sleep(window + writeAfter)
				assert.NilError(t, a.Write(t.Context()))
				ownSteps(r, 6)
				assert.Equal(t, receiver.reports[start]["alba"], 1)
			})
		})
	}
}

// TestLostCountsAreWrittenAgain checks that a writing instance stores its counts again soon after the store came back
// from a copy without them, before the next window ends.
func TestLostCountsAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &platformtest.Objects{}
		a := newCounter(objects.Store("a"), "a.1", "x", true)
		sleepToWindowStart()
		empty := objects.Copy()
		a.CountRequest("alba", time.Now())
		go a.Execute(t.Context())
		time.Sleep(window + writeAfter + 100*time.Millisecond)
		list, err := objects.Store("b").List(t.Context(), KindCounts, "")
		assert.NilError(t, err)
		assert.Equal(t, len(list.Items), 1)
		objects.Rewind(empty)
		time.Sleep(eraCheckInterval + 2*minWriteRetryDelay)
		list, err = objects.Store("b").List(t.Context(), KindCounts, "")
		assert.NilError(t, err)
		assert.Equal(t, len(list.Items), 1)
	})
}
