package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/process/streamorigin"
	"github.com/toucanroute/toucanroute/version/hostroute"
	"github.com/toucanroute/toucanroute/wire"
)

// While another instance has a newer configuration or list of servers, this one can't tell what began a stream.
func TestNothingBeganCertainlyWhileOthersKnowMore(t *testing.T) {
	for name, tc := range map[string]struct {
		reported wire.News
		want     streamorigin.Answer
	}{
		"the same":            {wire.News{From: "other", Version: 1}, streamorigin.Several},
		"newer configuration": {wire.News{From: "other", Version: 2}, streamorigin.NotKnown},
		"newer servers":       {wire.News{From: "other", Version: 1, Servers: 5}, streamorigin.NotKnown},
	} {
		t.Run(name, func(t *testing.T) {
			g := newFuzzGateway(t)
			g.streamHistory.MarkComplete()
			g.receiveStatus(tc.reported)
			_, answer := g.onlyOrigin(t.Context(), "h", "/")
			assert.Equal(t, answer, tc.want)
		})
	}
}

// An instance that has missed the newest changes, since it was cut off or frozen, doesn't infer what began a stream from what
// it knew before.
func TestInstanceOutOfStepInfersNoOrigin(t *testing.T) {
	served := platformtest.Fault{Before: 4 * time.Millisecond}
	unavailable := platformtest.Fault{Outcome: platformtest.OutcomeUnavailable}
	hanging := platformtest.Fault{Before: time.Hour}
	for name, tc := range map[string]struct {
		versions []string
		// config is the version of the configuration in the store; 1 is in force.
		config int
		fault  platformtest.Fault
		want   streamorigin.Answer
	}{
		"in step":               {[]string{"v1", "v1"}, 1, served, streamorigin.Single},
		"a version joined":      {[]string{"v1", "v2"}, 1, served, streamorigin.Several},
		"configuration changed": {[]string{"v1", "v1"}, 2, served, streamorigin.NotKnown},
		"store refuses":         {[]string{"v1", "v1"}, 1, unavailable, streamorigin.NotKnown},
		"store hangs":           {[]string{"v1", "v1"}, 1, hanging, streamorigin.NotKnown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFuzzGateway(t)
				g.registry.Reset([]registry.Entry{{ID: "s0", Pool: "p", Version: "v1"}}, false)
				time.Sleep(time.Hour) // The other server's version counts for a while.
				fault := served
				store := &platformtest.Objects{ChooseFault: func(platformtest.Call) platformtest.Fault { return fault }}
				operator := store.Store("operator")
				first, err := operator.Create(t.Context(), "config", "main", 1)
				assert.NilError(t, err)
				g.configObject.Store(&first)
				_, err = operator.Update(t.Context(), "config", "main", first.Version, tc.config)
				assert.NilError(t, err)
				for i, version := range tc.versions {
					_, err = operator.Create(t.Context(), "servers", string(rune('a'+i)), version)
					assert.NilError(t, err)
				}
				g.Platform.Store, g.Platform.ConfigKind, g.Platform.ConfigName, g.Platform.ServerKind = store.Store("a"), "config", "main", "servers"
				g.Platform.ParseServerEntry = func(o wire.Object) (registry.Entry, error) {
					version, err := platform.Decode[string](o)
					return registry.Entry{ID: o.Name, Pool: "p", Version: version}, err
				}
				g.Platform.Config = func(o wire.Object) (hostroute.Config, error) {
					version, err := platform.Decode[int](o)
					return hostroute.Config{Version: version}, err
				}
				g.streamHistory.MarkComplete()
				fault = tc.fault
				began := time.Now()
				_, answer := g.onlyOrigin(t.Context(), "h", "/")
				assert.Equal(t, answer, tc.want)
				assert.Assert(t, time.Since(began) < time.Second, "callers give a stream up after a pause of two seconds")
			})
		})
	}
}
