package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/process/pool/tracecheck"
	"github.com/toucanroute/toucanroute/wire"
)

// TestNoClassStarvesWhileAHigherTierTakesAll offers three times the capacity in tier 1 for ten minutes.
// The lower classes, one with a tighter target than tier 1's, have to be served within the bound of
// docs/POLICY.md: the longest wait for a turn and the longest target above.
func TestNoClassStarvesWhileAHigherTierTakesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		longest := map[string]time.Duration{}
		last := map[string]time.Time{"question": time.Now(), "batch": time.Now(), "any": time.Now()}
		byTurn := 0
		w.home.Trace = func(e pool.Event) {
			w.checker.Add(e)
			if e.Kind != pool.EventGranted || e.Tier == 1 {
				return
			}
			longest[e.Class] = max(longest[e.Class], e.At.Sub(last[e.Class]))
			last[e.Class] = e.At
			if !e.TurnDue.IsZero() {
				byTurn++
			}
		}
		for i := range 6000 {
			w.flood(i)
			time.Sleep(100 * time.Millisecond)
		}
		w.wg.Wait()
		assert.NilError(t, w.verdict())
		bound := tracecheck.StarvedAfter + 1500*time.Millisecond + time.Second
		for class, at := range last {
			assert.Assert(t, max(longest[class], time.Since(at)-5*time.Second) <= bound, "%s waited %s", class, longest[class])
		}
		assert.Assert(t, byTurn > 0)
	})
}

func (w *world) flood(i int) {
	ask := func(class, workspace string) {
		w.asked++
		hold := time.Duration(1+w.rnd.ExpFloat64()*800) * time.Millisecond
		w.wg.Go(func() {
			w.request("i0", wire.GrantAsk{Pool: "p", Class: class, Workspace: workspace}, hold, 5*time.Second)
		})
	}
	ask("hazard", "a")
	ask("booking", "b")
	if i%5 == 0 {
		ask("question", "c")
		ask("batch", "a")
		ask("any", "b")
	}
}
