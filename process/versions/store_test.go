package versions

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/wire"
)

// Limits of the time until a new configuration or the withdrawal of a key is in force on all instances.
const (
	configLimit     = 10 * time.Second
	withdrawalLimit = 5 * time.Second
)

var errDisconnected = errors.New("disconnected from the peer")

// fleet is a group of connected instances, of which the first two watch the object API.
type fleet struct {
	objectAPI *platformtest.Objects
	stores    []*Store
	// apiDown disconnects an instance from the object API.
	apiDown []atomic.Bool
	// isolated disconnects an instance from its peers.
	isolated []atomic.Bool
	mu       sync.Mutex
	// applied holds the configuration versions that each instance applied, in order.
	applied [][]int
}

// newFleet creates n instances that choose random peers by the seed.
func newFleet(n int, seed uint64) *fleet {
	f := &fleet{objectAPI: &platformtest.Objects{}, apiDown: make([]atomic.Bool, n), isolated: make([]atomic.Bool, n), applied: make([][]int, n)}
	f.objectAPI.ChooseFault = func(c platformtest.Call) platformtest.Fault {
		var i int
		if _, err := fmt.Sscanf(c.Instance, "i%d", &i); err == nil && f.apiDown[i].Load() {
			return platformtest.Fault{Outcome: platformtest.OutcomeUnavailable}
		}
		return platformtest.Fault{Before: 2 * time.Millisecond}
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range n {
		s := &Store{Instance: fmt.Sprintf("i%d", i), Objects: f.objectAPI.Store(fmt.Sprintf("i%d", i))}
		s.IsWatcher = func() bool { return i < 2 }
		s.OnConfig = func(cfg *wire.Config) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.applied[i] = append(f.applied[i], cfg.Version)
			return nil
		}
		randomPeer := func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return random.IntN(n)
		}
		s.Announce = func(digest wire.VersionDigest) {
			for range 3 {
				if peer := randomPeer(); peer != i && !f.isolated[i].Load() && !f.isolated[peer].Load() {
					f.stores[peer].HandleDigest(s.Instance, digest)
				}
			}
		}
		s.Exchange = func(_ context.Context, name string, digest wire.VersionDigest) (wire.VersionOffer, error) {
			peer := Parent(i)
			if name != "" {
				_, _ = fmt.Sscanf(name, "i%d", &peer)
			} else if other := randomPeer(); other%4 == 0 || peer >= n || f.isolated[peer].Load() {
				peer = other
			}
			if peer == i || f.isolated[i].Load() || f.isolated[peer].Load() {
				return wire.VersionOffer{}, errDisconnected
			}
			return f.stores[peer].OfferFor(digest), nil
		}
		f.stores = append(f.stores, s)
	}
	return f
}

// run starts all instances.
func (f *fleet) run(ctx context.Context) {
	for _, s := range f.stores {
		go s.Run(ctx)
	}
}

// storeConfig stores a configuration as an operator does: the document first, then the head that refers to it.
func (f *fleet) storeConfig(t *testing.T, version int) {
	t.Helper()
	store := f.objectAPI.Store("operator")
	name := fmt.Sprintf("v%08d-test", version)
	_, err := store.Create(t.Context(), platform.KindConfigVersion, name, wire.Config{Version: version})
	assert.NilError(t, err)
	head := wire.ConfigHead{Version: version, Document: name}
	if version == 1 {
		_, err = store.Create(t.Context(), platform.KindConfig, HeadName, head)
		assert.NilError(t, err)
		return
	}
	obj, err := store.Get(t.Context(), platform.KindConfig, HeadName)
	assert.NilError(t, err)
	_, err = store.Update(t.Context(), platform.KindConfig, HeadName, obj.Version, head)
	assert.NilError(t, err)
}

// putKeyring creates or updates the keyring of a workspace and returns its new version.
func (f *fleet) putKeyring(t *testing.T, workspace string, value any) int {
	t.Helper()
	store := f.objectAPI.Store("operator")
	obj, err := store.Get(t.Context(), platform.KindKeyring, workspace)
	if platform.IsErrNotFound(err) {
		obj, err = store.Create(t.Context(), platform.KindKeyring, workspace, value)
	} else {
		obj, err = store.Update(t.Context(), platform.KindKeyring, workspace, obj.Version, value)
	}
	assert.NilError(t, err)
	return obj.Version
}

// waitUntil waits until done returns true and returns how long that took. It fails the test after the limit.
func waitUntil(t *testing.T, limit time.Duration, done func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !done() {
		if time.Since(start) > limit {
			t.Fatalf("condition not met after %s", limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

func (f *fleet) allHaveConfig(version int) bool {
	for _, s := range f.stores {
		if cfg := s.Config(); cfg == nil || cfg.Version != version {
			return false
		}
	}
	return true
}

// keyringVersion returns the version of the keyring that an instance has for the workspace; 0 if it has none.
func (f *fleet) keyringVersion(i int, workspace string) int {
	for _, k := range f.stores[i].Keyrings() {
		if k.Workspace == workspace {
			return k.Version
		}
	}
	return 0
}

func TestConfigReachesAllInstances(t *testing.T) {
	rates := map[int]float64{}
	for _, n := range []int{1, 10, 100} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(n, 1)
			f.storeConfig(t, 1)
			f.run(t.Context())
			waitUntil(t, configLimit, func() bool { return f.allHaveConfig(1) })
			reads := f.objectAPI.CallCount("watch") + f.objectAPI.CallCount("get") + f.objectAPI.CallCount("list")
			start := time.Now()
			for v := 2; v <= 5; v++ {
				f.storeConfig(t, v)
				took := waitUntil(t, configLimit, func() bool { return f.allHaveConfig(v) })
				t.Logf("instances=%d version=%d in_force_ms=%d", n, v, took.Milliseconds())
			}
			time.Sleep(time.Minute)
			reads = f.objectAPI.CallCount("watch") + f.objectAPI.CallCount("get") + f.objectAPI.CallCount("list") - reads
			rates[n] = float64(reads) / time.Since(start).Seconds()
			t.Logf("instances=%d reads_per_second=%.1f", n, rates[n])
		})
	}
	assert.Assert(t, rates[100] < 2*rates[10], "the rate of reads grows with the number of instances: %v", rates)
}

// An instance with stale versions must read the object API itself. Otherwise all instances depend on the watchers,
// which are disconnected from the object API here.
func TestWithdrawalReachesConnectedInstances(t *testing.T) {
	for _, readWhenStale := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(8, 2)
			for _, s := range f.stores {
				if !readWhenStale {
					s.StaleAfter = time.Hour
				}
			}
			f.storeConfig(t, 1)
			f.putKeyring(t, "ladoo", struct{}{})
			f.run(t.Context())
			waitUntil(t, configLimit, func() bool { return f.allHaveConfig(1) && f.keyringVersion(7, "ladoo") > 0 })
			f.apiDown[0].Store(true)
			f.apiDown[1].Store(true)
			time.Sleep(30 * time.Second)
			v := f.putKeyring(t, "ladoo", struct{}{})
			time.Sleep(withdrawalLimit)
			for i := range f.stores {
				assert.Equal(t, f.keyringVersion(i, "ladoo") == v, readWhenStale, "i%d", i)
			}
		})
	}
}

// A version must only replace an older one. Without the comparison of versions, a late response of a peer restores an
// older version.
func TestVersionsNeverDecrease(t *testing.T) {
	for _, compareVersions := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(4, 3)
			s := f.stores[3]
			if !compareVersions {
				s.newer = func(_, _ int) bool { return true }
			}
			for v := 1; v <= 3; v++ {
				f.storeConfig(t, v)
			}
			firstVersion, lastVersion := f.putKeyring(t, "w", struct{}{}), f.putKeyring(t, "w", struct{}{})
			f.run(t.Context())
			waitUntil(t, configLimit, func() bool { return f.allHaveConfig(3) && f.keyringVersion(3, "w") == lastVersion })
			oldConfig, err := json.Marshal(wire.Config{Version: 2})
			assert.NilError(t, err)
			oldDocument := json.RawMessage(oldConfig)
			oldKeyrings := []wire.KeyringObject{{Workspace: "w", Version: firstVersion}}
			s.ApplyOffer(wire.VersionOffer{Config: &oldDocument, Keyrings: oldKeyrings})
			assert.Equal(t, s.Config().Version == 3, compareVersions)
			assert.Equal(t, f.keyringVersion(3, "w") == lastVersion, compareVersions)
		})
	}
}

// An instance that starts during an outage of the object API must get the versions from its peers. If it can't reach
// them either, it has none.
func TestStartDuringOutage(t *testing.T) {
	for _, peersReachable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(3, 4)
			f.storeConfig(t, 1)
			f.storeConfig(t, 2)
			f.stores[2].init()
			f.apiDown[2].Store(true)
			go f.stores[0].Run(t.Context())
			go f.stores[1].Run(t.Context())
			waitUntil(t, configLimit, func() bool { return f.stores[0].Config() != nil && f.stores[1].Config() != nil })
			f.apiDown[0].Store(true)
			f.apiDown[1].Store(true)
			f.isolated[2].Store(!peersReachable)
			go f.stores[2].Run(t.Context())
			time.Sleep(configLimit)
			cfg := f.stores[2].Config()
			assert.Equal(t, cfg != nil && cfg.Version == 2, peersReachable)
		})
	}
}

// TestRandomOutages runs configuration changes, keyring changes, outages and disconnections in a seeded random order.
// It checks that the versions that an instance applies only increase.
func TestRandomOutages(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 7))
			f := newFleet(6, seed)
			f.objectAPI.History = 3
			f.storeConfig(t, 1)
			f.run(t.Context())
			version := 1
			for range 40 {
				switch i := rnd.IntN(len(f.stores)); rnd.IntN(4) {
				case 0:
					version++
					f.storeConfig(t, version)
				case 1:
					f.apiDown[i].Store(!f.apiDown[i].Load())
				case 2:
					f.isolated[i].Store(!f.isolated[i].Load())
				case 3:
					f.putKeyring(t, fmt.Sprintf("w%d", rnd.IntN(3)), struct{}{})
				}
				time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
			}
			for i := range f.stores {
				f.apiDown[i].Store(false)
				f.isolated[i].Store(false)
			}
			waitUntil(t, configLimit, func() bool { return f.allHaveConfig(version) })
			f.mu.Lock()
			defer f.mu.Unlock()
			for i, versions := range f.applied {
				for j := 1; j < len(versions); j++ {
					assert.Assert(t, versions[j] > versions[j-1], "seed %d: i%d applied versions %v, which don't increase", seed, i, versions)
				}
			}
		})
	}
}

// An offer that is still being sent must not change with the configuration in force.
func TestOfferKeepsItsConfiguration(t *testing.T) {
	var s Store
	assert.Assert(t, s.ApplyConfig(json.RawMessage(`{"version":1}`)))
	offer := s.OfferFor(wire.VersionDigest{})
	assert.Assert(t, s.ApplyConfig(json.RawMessage(`{"version":2}`)))
	assert.Equal(t, string(*offer.Config), `{"version":1}`)
}
