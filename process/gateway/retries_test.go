package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/version/settings"
	"github.com/toucanroute/toucanroute/wire"
)

// Figures of the deployment whose retries the tests count.
const (
	testRetryInstances = 20
	testRetryRatio     = 0.2
	testRetryExtra     = 50
	testRetryWindow    = 10 * time.Second
	// testRequestInterval is the interval between two requests at one instance.
	testRequestInterval = 100 * time.Millisecond
)

// retryFleet counts the retries of a deployment whose backend servers fail all requests.
type retryFleet struct {
	store     *platformtest.Objects
	instances []*retryInstance
	// requests and retries hold the times of the requests and the retries.
	requests, retries []time.Time
}

// retryInstance is one instance with its running process.
type retryInstance struct {
	name    string
	gateway *Gateway
	kill    context.CancelFunc
}

func newRetryFleet(t *testing.T, storeDown *atomic.Bool) *retryFleet {
	f := &retryFleet{store: &platformtest.Objects{ChooseFault: func(platformtest.Call) platformtest.Fault {
		if storeDown.Load() {
			return platformtest.Fault{Outcome: platformtest.OutcomeUnavailable}
		}
		return platformtest.Fault{Before: 4 * time.Millisecond}
	}}}
	for i := range testRetryInstances {
		f.instances = append(f.instances, &retryInstance{name: fmt.Sprintf("i%02d", i), kill: func() {}})
	}
	f.restart(t)
	t.Cleanup(func() {
		for _, i := range f.instances {
			i.kill()
		}
	})
	return f
}

// restart kills all processes and starts new ones.
func (f *retryFleet) restart(t *testing.T) {
	for n, i := range f.instances {
		i.kill()
		ctx, cancel := context.WithCancel(t.Context())
		i.kill = cancel
		i.gateway = &Gateway{
			Log: zap.NewNop(), Platform: Platform{Store: f.store.Store(i.name), ConfigKind: "config", ServerKind: "servers", EvacuationKind: evacuationKind},
			Settings: &settings.Settings{Instance: i.name, DataCentre: "dc", Forwarding: &wire.SettingsForwarding{
				DataCentres: []string{"dc"}, MemoryMb: 8192, LeaseMs: 3000, UsageWindowS: 5, UsageDelayS: 10,
				RetryRatio: testRetryRatio, RetryExtra: testRetryExtra, RetryWindowS: testRetryWindow.Seconds(),
			}},
		}
		i.gateway.Settings.Listen.Peers = fmt.Sprintf("10.0.0.%d:7000", n)
		i.gateway.build()
		i.gateway.mesh.Send = func(netip.AddrPort, []byte) {}
		go i.gateway.mesh.Execute(ctx)
	}
}

// serve has each instance get failing requests for a time, and retry them as often as its budget permits.
func (f *retryFleet) serve(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(testRequestInterval) {
		for _, i := range f.instances {
			budget := i.gateway.retryBudget("p")
			budget.CountRequest()
			f.requests = append(f.requests, time.Now())
			if budget.TryTake() {
				f.retries = append(f.retries, time.Now())
			}
		}
	}
}

// countIn returns the number of times in the window that begins at a time.
func countIn(times []time.Time, from time.Time) int {
	return len(slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return at.Before(from) || !at.Before(from.Add(testRetryWindow)) }))
}

// excess returns the largest number of retries beyond the budget in a window.
func (f *retryFleet) excess() float64 {
	worst := -1.0 * testRetryExtra
	for _, from := range slices.CompactFunc(slices.Clone(f.retries), time.Time.Equal) {
		requests := max(countIn(f.requests, from), countIn(f.requests, from.Add(-testRetryWindow/2)), countIn(f.requests, from.Add(-testRetryWindow)))
		worst = max(worst, float64(countIn(f.retries, from))-testRetryRatio*float64(requests)-testRetryExtra)
	}
	return worst
}

// Instances that are killed and start again, several times in a window, don't exceed the budget of retries.
func TestRestartedInstancesKeepRetryBudget(t *testing.T) {
	for name, storeDown := range map[string]bool{"store_reached": false, "store_down": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var isStoreDown atomic.Bool
				f := newRetryFleet(t, &isStoreDown)
				f.serve(2 * testRetryWindow)
				isStoreDown.Store(storeDown)
				for range 4 {
					f.restart(t)
					f.serve(testRetryWindow / 4)
				}
				excess := f.excess()
				assert.Assert(t, excess <= 0, "%.1f retries beyond the budget", excess)
			})
		})
	}
}

// The first processes of a deployment have the whole fixed number of retries at once, and later ones after a window.
func TestFixedRetriesAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRetryFleet(t, &atomic.Bool{})
		remaining := func() float64 {
			sum := 0.0
			for _, i := range f.instances {
				sum += i.gateway.retryBudget("p").Remaining()
			}
			return sum
		}
		time.Sleep(time.Second)
		assert.Equal(t, remaining(), float64(testRetryExtra))
		f.restart(t)
		time.Sleep(testRetryWindow)
		assert.Equal(t, remaining(), 0.0)
		time.Sleep(time.Second)
		assert.Equal(t, remaining(), float64(testRetryExtra))
	})
}
