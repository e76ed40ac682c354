package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/version/keyring"
	"github.com/toucanroute/toucanroute/version/route"
	"github.com/toucanroute/toucanroute/wire"
)

// withdrawnRetention is the time for which a withdrawn key stays in its keyring.
const withdrawnRetention = 30 * 24 * time.Hour

// ErrUnknown reports that no workspace, class, key, planned stop or backend server has the given name.
type ErrUnknown struct {
	// Kind is the kind of the named thing, such as "workspace".
	Kind string
	// Name is the unknown name.
	Name string
	// Known lists the valid names.
	Known []string
}

func (e ErrUnknown) Error() string {
	if len(e.Known) == 0 {
		return fmt.Sprintf("no %s is named %q, and there are none", e.Kind, e.Name)
	}
	return fmt.Sprintf("no %s is named %q; known: %s", e.Kind, e.Name, strings.Join(e.Known, ", "))
}

// IsErrUnknown reports whether err is or wraps an ErrUnknown, which reports a name that doesn't exist.
func IsErrUnknown(err error) bool {
	var unknown ErrUnknown
	return errors.As(err, &unknown)
}

// GrantedKey is the result of Grant: a new key. Only its hash is stored, so the key can't be shown again.
type GrantedKey struct {
	Workspace string   `json:"workspace"`
	ID        string   `json:"id"`
	Key       string   `json:"key"`
	Classes   []string `json:"classes,omitempty"`
	// Version is the object version of the keyring that contains the key.
	Version int `json:"version"`
}

// Grant adds a new key to the keyring of a workspace. Without classes the key may use all classes of the workspace.
func (w *Writer) Grant(ctx context.Context, workspace string, classes []string) (GrantedKey, error) {
	if err := w.checkClasses(ctx, workspace, classes); err != nil {
		return GrantedKey{}, err
	}
	key, id, hash := keyring.Generate()
	entry := wire.KeyEntry{Id: id, Hash: hash, Classes: classes, GrantedAtMs: nowMs(), GrantedBy: w.Operator}
	obj, err := w.changeKeyring(ctx, workspace, func(k *wire.Keyring) (bool, error) {
		if slices.ContainsFunc(k.Keys, func(e wire.KeyEntry) bool { return e.Hash == hash }) {
			return false, nil
		}
		k.Keys = append(k.Keys, entry)
		return true, nil
	})
	if err != nil {
		return GrantedKey{}, fmt.Errorf("key %s may or may not have been granted: %w", id, err)
	}
	w.log("key_grant", zap.String("workspace", workspace), zap.String("key_id", id), zap.Int("version", obj.Version))
	return GrantedKey{Workspace: workspace, ID: id, Key: key, Classes: classes, Version: obj.Version}, nil
}

// checkClasses returns an ErrUnknown if the accepted configuration doesn't have the workspace or doesn't let it use one
// of the classes.
func (w *Writer) checkClasses(ctx context.Context, workspace string, classes []string) error {
	routeTable, err := w.routeTable(ctx)
	if err != nil {
		return err
	}
	ws, ok := routeTable.Workspace(workspace)
	if !ok {
		var known []string
		for _, s := range routeTable.Config().Workspaces {
			known = append(known, s.Name)
		}
		return ErrUnknown{Kind: "workspace", Name: workspace, Known: known}
	}
	for _, class := range classes {
		if !ws.MayUse(class) {
			return ErrUnknown{Kind: "class of " + workspace, Name: class, Known: ws.Classes()}
		}
	}
	return nil
}

// routeTable returns the lookup table of the accepted configuration.
func (w *Writer) routeTable(ctx context.Context) (*route.Table, error) {
	_, cfg, err := w.Head(ctx)
	if err != nil {
		return nil, err
	}
	if cfg == nil {
		return nil, errors.New("no configuration was applied yet")
	}
	return route.NewTable(cfg)
}

// WithdrawnKeys is the result of Withdraw.
type WithdrawnKeys struct {
	Workspace string   `json:"workspace"`
	IDs       []string `json:"ids"`
	// Version is the object version of the keyring in which the keys are withdrawn.
	Version int `json:"version"`
}

// Withdraw withdraws the keys of a workspace with the given ids, or all its keys if no ids are given. The workspace may
// have been removed from the configuration. Keys that are withdrawn already aren't changed.
func (w *Writer) Withdraw(ctx context.Context, workspace string, ids []string) (WithdrawnKeys, error) {
	result := WithdrawnKeys{Workspace: workspace}
	obj, err := w.changeKeyring(ctx, workspace, func(k *wire.Keyring) (bool, error) {
		wanted, err := selectKeys(k, ids)
		if err != nil {
			return false, err
		}
		result.IDs = wanted
		changed := false
		for i := range k.Keys {
			if k.Keys[i].WithdrawnAtMs > 0 || !slices.Contains(wanted, k.Keys[i].Id) {
				continue
			}
			k.Keys[i].WithdrawnAtMs = nowMs()
			k.Keys[i].WithdrawnBy = w.Operator
			changed = true
		}
		return changed, nil
	})
	if err != nil {
		return WithdrawnKeys{}, err
	}
	result.Version = obj.Version
	w.log("key_withdraw", zap.String("workspace", workspace), zap.Strings("key_ids", result.IDs), zap.Int("version", obj.Version))
	return result, nil
}

// selectKeys returns ids or, if it is empty, the ids of all keys. Ids that the keyring doesn't have, and a keyring
// without keys, give an ErrUnknown.
func selectKeys(k *wire.Keyring, ids []string) ([]string, error) {
	known := make([]string, len(k.Keys))
	for i, e := range k.Keys {
		known[i] = e.Id
	}
	for _, id := range ids {
		if !slices.Contains(known, id) {
			return nil, ErrUnknown{Kind: "key of " + k.Workspace, Name: id, Known: known}
		}
	}
	if len(ids) > 0 {
		return ids, nil
	}
	if len(known) == 0 {
		return nil, ErrUnknown{Kind: "workspace with keys", Name: k.Workspace}
	}
	return known, nil
}

// changeKeyring calls edit with the stored keyring and, if edit returns true, writes the edited one. It also removes
// withdrawn keys whose retention is over.
func (w *Writer) changeKeyring(ctx context.Context, workspace string, edit func(*wire.Keyring) (bool, error)) (wire.Object, error) {
	return w.change(ctx, platform.KindKeyring, workspace, func(current wire.Object) (any, error) {
		k := wire.Keyring{Workspace: workspace, Keys: []wire.KeyEntry{}}
		if current.Version > 0 {
			var err error
			if k, err = platform.Decode[wire.Keyring](current); err != nil {
				return nil, err
			}
		}
		changed, err := edit(&k)
		if err != nil || !changed {
			return nil, err
		}
		k.Keys = slices.DeleteFunc(k.Keys, isPastRetention)
		return k, nil
	})
}

// isPastRetention reports whether a key was withdrawn longer ago than withdrawnRetention. Such a key can be removed
// from the keyring, since instances refuse an unknown key as well.
func isPastRetention(e wire.KeyEntry) bool {
	return e.WithdrawnAtMs > 0 && time.Since(time.UnixMilli(int64(e.WithdrawnAtMs))) > withdrawnRetention
}

// Keyrings returns the keyrings of all workspaces or, if workspace isn't empty, only the keyring of that one.
func (w *Writer) Keyrings(ctx context.Context, workspace string) ([]wire.Keyring, error) {
	objects, err := w.list(ctx, platform.KindKeyring)
	if err != nil {
		return nil, err
	}
	keyrings := []wire.Keyring{}
	for _, obj := range objects {
		if workspace != "" && obj.Name != workspace {
			continue
		}
		k, err := platform.Decode[wire.Keyring](obj)
		if err != nil {
			return nil, err
		}
		keyrings = append(keyrings, k)
	}
	return keyrings, nil
}
