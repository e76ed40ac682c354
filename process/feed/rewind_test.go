package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/wire"
)

// TestFeedFollowsRewoundStore checks that the feed takes over the state of a store that came back from an older copy,
// twice within a second, although its revisions are lower, and then follows its changes.
func TestFeedFollowsRewoundStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &platformtest.Objects{}
		createObject(t, objects, "one")
		f, recorded := newFeed(objects)
		stop := runFeed(t, f)
		time.Sleep(10 * time.Millisecond)
		old := objects.Copy()
		for _, name := range []string{"two", "three", "four"} {
			createObject(t, objects, name)
		}
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, recorded.hasObject("four"))
		before := f.ChangedVersion()
		for range 2 {
			objects.Rewind(old)
			time.Sleep(300 * time.Millisecond)
			assert.Assert(t, recorded.hasObject("one") && !recorded.hasObject("four"))
			assert.Equal(t, recorded.gaps[len(recorded.gaps)-1], Rewind)
			assert.Assert(t, f.ChangedVersion() > before, "another instance must see the later era as newer")
			before = f.ChangedVersion()
			createObject(t, objects, "five")
			time.Sleep(10 * time.Millisecond)
			assert.Assert(t, recorded.hasObject("five"))
			assert.Assert(t, f.ChangedVersion() > before)
		}
		stop()
	})
}

// TestFeedLearnsEraFromPeer checks that a feed that is told of the later era by another instance takes over its list
// before the store itself answers, and doesn't go back to a list of an earlier era.
func TestFeedLearnsEraFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &platformtest.Objects{}
		createObject(t, objects, "one")
		f, recorded := newFeed(objects)
		newer := make(chan struct{}, 1)
		f.NewerElsewhere = newer
		var peerList atomic.Pointer[wire.ObjectList]
		peerList.Store(&wire.ObjectList{Version: platform.Version(1, 1), Items: []wire.Object{{Kind: kind, Name: "peer's", Version: platform.Version(1, 1)}}})
		f.ListFromPeer = func(context.Context) (wire.ObjectList, error) { return *peerList.Load(), nil }
		f.ReadsStore = func() bool { return false }
		var olderLists atomic.Int32
		f.OnPeerList = func([]wire.Object) { olderLists.Add(1) }
		stop := runFeed(t, f)
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, recorded.hasObject("one"))
		newer <- struct{}{}
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, recorded.hasObject("peer's") && !recorded.hasObject("one"))
		assert.Equal(t, recorded.gaps[len(recorded.gaps)-1], Rewind)
		peerList.Store(&wire.ObjectList{Version: platform.Version(0, 900), Items: []wire.Object{{Kind: kind, Name: "lost"}}})
		newer <- struct{}{}
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, recorded.hasObject("peer's") && !recorded.hasObject("lost"))
		assert.Equal(t, olderLists.Load(), int32(1))
		stop()
	})
}
