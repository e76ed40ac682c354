package feed

import (
	"context"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/wire"
)

// A list that confirms the known objects makes its version known, so that reports of it aren't taken for newer objects. A
// watch without changes doesn't, since it may have missed one.
func TestKnownVersionRestsOnLists(t *testing.T) {
	list := wire.ObjectList{Version: 5, Items: []wire.Object{{Name: "a", Version: 3}}}
	f := &Feed{
		Kind: kind, Log: zap.NewNop(), OnList: func([]wire.Object, Gap) {},
		ListFromPeer: func(context.Context) (wire.ObjectList, error) { return list, nil },
	}
	assert.Equal(t, f.KnownVersion(), 0)
	assert.Assert(t, f.updateFromPeer(t.Context()))
	assert.Equal(t, f.KnownVersion(), 5)
	f.version = 20
	assert.Equal(t, f.KnownVersion(), 5)

	list.Version = 12
	assert.Assert(t, f.updateFromPeer(t.Context()))
	assert.Equal(t, f.KnownVersion(), 12)
	assert.Equal(t, f.ChangedVersion(), 5)

	list = wire.ObjectList{Version: 15, Items: []wire.Object{{Name: "a", Version: 14}}}
	assert.Assert(t, f.updateFromPeer(t.Context()))
	assert.Equal(t, f.KnownVersion(), 12, "the list shows a change that isn't known here")
	list.Version = 21
	assert.Assert(t, f.updateFromPeer(t.Context()))
	assert.Equal(t, f.KnownVersion(), 21)
}
