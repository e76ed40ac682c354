package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// versionMemory is the time for which the version of a server that is gone is asked for.
const versionMemory = 2 * time.Minute

// Streams that a server began may still be taken up when the server is gone, so its version counts for a while.
func TestVersionsCountServersThatAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Registry{Log: zap.NewNop()}
		put := func(id, version string, startedMs int64) {
			r.Put(Entry{ID: id, Address: "10.0.0.1:1", Pool: "p", Version: version, Slots: 4, StartedMs: startedMs})
		}
		only := func() string {
			versions := r.Versions("p", versionMemory)
			if len(versions) != 1 {
				return ""
			}
			return versions[0]
		}
		assert.Equal(t, only(), "", "a pool without servers has no version")
		put("a", "v1", 1)
		put("b", "v1", 1)
		r.Put(Entry{ID: "other", Address: "10.0.0.1:2", Pool: "q", Version: "v9", Slots: 4})
		assert.Equal(t, only(), "v1")
		put("c", "v2", 1)
		assert.Equal(t, only(), "")
		r.Remove("c")
		time.Sleep(versionMemory)
		assert.Equal(t, only(), "")
		time.Sleep(time.Second)
		assert.Equal(t, only(), "v1")
		r.Remove("b")
		put("a", "v2", 2)
		assert.Equal(t, only(), "", "a restart under the same id with another version")
		time.Sleep(versionMemory + time.Second)
		assert.Equal(t, only(), "v2")
		r.Put(Entry{ID: "no-start", Address: "10.0.0.2:1", Pool: "q", Version: "v8", Slots: 4})
		r.Put(Entry{ID: "no-start", Address: "10.0.0.2:1", Pool: "q", Version: "v7", Slots: 4})
		// A server that tells no start may have restarted.
		assert.DeepEqual(t, r.Versions("q", versionMemory), []string{"v7", "v8", "v9"})
		r.Put(Entry{ID: "a", Address: "10.0.0.1:1", Pool: "q", Version: "v2", Slots: 4, StartedMs: 2})
		assert.Equal(t, only(), "v2", "a server that went to another pool without a restart")
	})
}

// A version that another process observed counts as gone from the moment at which this one is told, unless it knew better.
func TestAddedVersionCountsAsGoneNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Registry{Log: zap.NewNop()}
		r.Put(Entry{ID: "a", Address: "10.0.0.1:1", Pool: "p", Version: "v1", Slots: 4, StartedMs: 1})
		before := r.VersionChanges()
		r.AddVersion("p", "v1")
		assert.Assert(t, r.VersionChanges() > before)
		r.AddVersion("p", "v0")
		assert.DeepEqual(t, r.Versions("p", time.Minute), []string{"v0", "v1"})
		time.Sleep(time.Minute)
		r.AddVersion("p", "v0")
		time.Sleep(time.Second)
		assert.DeepEqual(t, r.Versions("p", time.Minute), []string{"v1"})
		time.Sleep(MaxVersionMemory)
		r.AddVersion("p", "v0")
		// The version was forgotten.
		assert.DeepEqual(t, r.Versions("p", time.Minute), []string{"v0", "v1"})
	})
}
