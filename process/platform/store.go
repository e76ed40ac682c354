package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// Store is the object API as its users see it. Each field is a seam that Objects.Store fills; a test fills it with a fake.
type Store struct {
	Get    func(ctx context.Context, kind, name string) (wire.Object, error)
	List   func(ctx context.Context, kind, prefix string) (wire.ObjectList, error)
	Create func(ctx context.Context, kind, name string, value any) (wire.Object, error)
	// Update writes only where the stored object has the version.
	Update func(ctx context.Context, kind, name string, version int, value any) (wire.Object, error)
	// Delete removes only where the stored object has the version.
	Delete func(ctx context.Context, kind, name string, version int) error
	// Watch returns the events after the version, or none after the wait.
	Watch func(ctx context.Context, kind string, from int, wait time.Duration) (wire.ObjectEvents, error)
}

// Kinds of objects.
const (
	KindConfig        = "config"
	KindConfigVersion = "configversion"
	KindKeyring       = "keyring"
	KindLease         = "lease"
	KindIntent        = "intent"
	KindUsagePart     = "usagepart"
	KindUsageSeal     = "usageseal"
	KindClaim         = "claim"
	KindStop          = "stop"
)

// Decode returns the object's value as a record of type T.
func Decode[T any](o wire.Object) (T, error) {
	var v T
	err := json.Unmarshal(o.Value, &v)
	return v, err
}
