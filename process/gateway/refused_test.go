package gateway

import (
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/feed"
	"github.com/toucanroute/toucanroute/process/mesh"
	"github.com/toucanroute/toucanroute/process/registry"
)

// refuseCall answers the first call on a connection as an instance that is busy with other replies.
func refuseCall(in net.Conn) {
	defer func() { _ = in.Close() }()
	var call json.RawMessage
	if json.NewDecoder(in).Decode(&call) != nil {
		return
	}
	_, _ = io.WriteString(in, `{"jsonrpc":"2.0","id":0,"error":{"code":3,"message":"other replies are being sent"}}`+"\n")
	_, _ = io.Copy(io.Discard, in)
}

// Instances that are refused by all others, without end, get a new configuration and a changed list of servers from the store,
// by a few calls.
func TestRefusedInstancesReadStore(t *testing.T) {
	const (
		instances = 8
		// limit is much longer than the time within which a change must be known, since the machine may be busy; the exact time
		// is checked in package feed.
		limit = 10 * time.Second
		// readInterval is shorter than the time between two reads of an instance that is always refused.
		readInterval = time.Second
	)
	serving := registry.Entry{ID: "i-1", Address: "10.0.0.7:8080", Pool: "p", DataCentre: "one", Slots: 8}
	leaving := serving
	leaving.Draining = true
	for kind, tc := range map[string]struct {
		feedOf        func(*Gateway) *feed.Feed
		name          string
		before, after any
	}{
		"config":  {configFeedOf, "routes", map[string]int{"version": 1}, routesOf(2)},
		"servers": {serverFeedOf, "i-1", serving, leaving},
	} {
		t.Run(kind, func(t *testing.T) {
			f := startLinkedFleet(t, instances, tc.feedOf)
			operator := f.store.Store("operator")
			object, err := operator.Create(t.Context(), kind, tc.name, tc.before)
			assert.NilError(t, err)
			f.waitForChange(t, object.Version, time.Minute)
			f.settle(t)
			for _, l := range f.links {
				l.refuses.Store(true)
			}
			before := f.readsByOthers(kind)
			object, err = operator.Update(t.Context(), kind, tc.name, object.Version, tc.after)
			assert.NilError(t, err)
			took := f.waitForChange(t, object.Version, limit)
			reads := f.readsByOthers(kind) - before
			t.Logf("known everywhere after %v; instances that are refused read the store %d times", took, reads)
			assert.Check(t, reads <= (instances-mesh.ReadersPerDataCentre)*(1+int(took/readInterval)), "%d reads in %v", reads, took)
		})
	}
}

// waitForChange waits until all feeds know a version of the store and returns how long that took.
func (f *linkedFleet) waitForChange(t *testing.T, version int, limit time.Duration) time.Duration {
	t.Helper()
	for started := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		behind := 0
		for _, g := range f.instances {
			if f.feedOf(g).KnownVersion() < version {
				behind++
			}
		}
		if took := time.Since(started); behind == 0 || took > limit {
			assert.Assert(t, behind == 0, "%d of %d instances don't know the change after %v", behind, len(f.instances), took)
			return took
		}
	}
}
