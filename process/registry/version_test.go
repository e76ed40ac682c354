package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// Streams that a server began may still be taken up when the server is gone, so its version counts for a while.
func TestOnlyVersionCountsServersThatAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Registry{Log: zap.NewNop()}
		put := func(id, version string, startedMs int64) {
			r.Put(Entry{ID: id, Address: "10.0.0.1:1", Pool: "p", Version: version, Slots: 4, StartedMs: startedMs})
		}
		only := func() string {
			version, ok := r.OnlyVersion("p")
			if !ok {
				return ""
			}
			return version
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
	})
}
