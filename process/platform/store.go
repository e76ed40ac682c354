package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// Store holds the calls of the object API as function values. Objects.Store fills them in; tests fill in fakes.
type Store struct {
	Get    func(ctx context.Context, kind, name string) (wire.Object, error)
	List   func(ctx context.Context, kind, prefix string) (wire.ObjectList, error)
	Create func(ctx context.Context, kind, name string, value any) (wire.Object, error)
	// Update writes only if the stored object has the given version.
	Update func(ctx context.Context, kind, name string, version int, value any) (wire.Object, error)
	// Delete removes the object only if the stored object has the given version.
	Delete func(ctx context.Context, kind, name string, version int) error
	// Watch returns the events after the version from, or no events if there are none within the duration wait.
	Watch func(ctx context.Context, kind string, from int, wait time.Duration) (wire.ObjectEvents, error)
	// Era returns the newest era that is known of the store; nil means a store without eras. Call CurrentEra instead.
	Era func() int
}

// Kinds of objects in the object API.
const (
	KindConfig        = "config"        // which KindConfigVersion object is to be in force
	KindConfigVersion = "configversion" // one version of the configuration
	KindKeyring       = "keyring"       // the API keys of a workspace
	KindLease         = "lease"         // which instance does a job
	KindIntent        = "intent"        // an order of a backend server, stored before it is sent
	KindUsagePart     = "usagepart"     // usage counts of several instances
	KindUsageSeal     = "usageseal"     // the final usage counts of a window
	KindClaim         = "claim"         // the use of an idempotency key by a request
	KindStop          = "stop"          // an operator's planned stop of a backend server
)

// Decode decodes the JSON value of an object into a record of type T.
func Decode[T any](o wire.Object) (T, error) {
	var v T
	err := json.Unmarshal(o.Value, &v)
	return v, err
}
