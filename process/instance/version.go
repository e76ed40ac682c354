package instance

import (
	"encoding/json"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/version/route"
	"github.com/toucanroute/toucanroute/wire"
)

// applyConfig puts a configuration in force.
func (i *Instance) applyConfig(cfg *wire.Config) error {
	table, err := route.NewTable(cfg)
	if err != nil {
		return err
	}
	i.table.Store(table)
	if i.dataCentreJobs.Load() == nil {
		i.dataCentreJobs.Store(i.buildJobs(usageWindow(cfg)))
	}
	i.Log.Info("config_in_force", zap.Int("version", cfg.Version))
	i.poolHomes.reconfigure()
	i.updateHomes()
	return nil
}

// applyKeyring puts the keys of a workspace in force and ends the requests of newly withdrawn keys.
func (i *Instance) applyKeyring(object wire.KeyringObject) {
	newKeyring := wire.Keyring{Workspace: object.Workspace}
	if !object.Deleted && object.Value != nil {
		if err := json.Unmarshal(*object.Value, &newKeyring); err != nil {
			i.Log.Error("keyring_unreadable", zap.String("workspace", object.Workspace), zap.Int("version", object.Version), zap.Error(err))
			return
		}
	}
	withdrawn := withdrawnKeys(newKeyring)
	i.mu.Lock()
	i.keys.Store(i.keys.Load().WithKeyring(newKeyring))
	knownWithdrawn := i.withdrawn[newKeyring.Workspace]
	i.withdrawn[newKeyring.Workspace] = withdrawn
	i.mu.Unlock()
	i.Log.Info("keys_in_force", zap.String("workspace", newKeyring.Workspace), zap.Int("version", object.Version))
	if object.Deleted {
		i.cancelKey(newKeyring.Workspace, "")
	}
	for id := range withdrawn {
		if !knownWithdrawn[id] {
			i.cancelKey(newKeyring.Workspace, id)
		}
	}
}

// cancelKey ends the running requests of a withdrawn key, or of all keys of the workspace if id is empty.
func (i *Instance) cancelKey(workspace, id string) {
	cancelledRequests := i.dispatch.CancelKey(workspace, id)
	i.Log.Info("key_withdrawn", zap.String("workspace", workspace), zap.String("key", id), zap.Int("ended", cancelledRequests))
}

// withdrawnKeys returns the IDs of the withdrawn keys of a keyring.
func withdrawnKeys(keyring wire.Keyring) map[string]bool {
	ids := map[string]bool{}
	for _, key := range keyring.Keys {
		if key.WithdrawnAtMs != 0 {
			ids[key.Id] = true
		}
	}
	return ids
}
