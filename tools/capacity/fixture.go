package main

import (
	"encoding/json"
	"fmt"

	"github.com/toucanroute/toucanroute/version/keyring"
	"github.com/toucanroute/toucanroute/wire"
)

// firstTokenTargetMs is so long that the measured scheduler refuses no request for missing its target.
const firstTokenTargetMs = 600_000

// smallServers and smallWorkspaces are the numbers of servers and workspaces in measurements that vary another size.
const (
	smallServers    = 10
	smallWorkspaces = 10
)

func dataCentreName(i int) string { return fmt.Sprintf("region%d-%c", i%2+1, 'a'+i%6/2) }

func instanceName(i int) string { return fmt.Sprintf("%s-%03d", dataCentreName(i), i) }

func workspaceName(i int) string { return fmt.Sprintf("workspace-%04d", i) }

func className(i int) string { return fmt.Sprintf("class-%d", i+1) }

func poolName(i int) string { return fmt.Sprintf("model-%02d", i) }

// newConfig returns a configuration with the given numbers of backend servers and workspaces.
func newConfig(t Target, servers, workspaces int) *wire.Config {
	cfg := &wire.Config{Version: 1, Deployment: "capacity", UsageWindowSeconds: 60}
	for i := range t.DataCentres {
		cfg.DataCentres = append(cfg.DataCentres, dataCentreName(i))
	}
	var classes []string
	for i := range t.Classes {
		classes = append(classes, className(i))
		cfg.Classes = append(cfg.Classes, wire.Class{
			Name: className(i), Tier: i + 1, TtftMs: firstTokenTargetMs, TbtMs: 50, Attainment: 0.95, Idempotent: true, Weight: 1,
		})
	}
	for i := range t.Models {
		cfg.Pools = append(cfg.Pools, wire.PoolSpec{Name: poolName(i), Kind: wire.PoolSpecKindModel, ExpectedTokens: 400})
		cfg.Routes = append(cfg.Routes, wire.Route{Name: poolName(i), Kind: wire.RouteKindModel, Pool: poolName(i), Class: classes[0]})
	}
	for i := range servers {
		cfg.Servers = append(cfg.Servers, newServer(t, i))
	}
	for i := range workspaces {
		cfg.Workspaces = append(cfg.Workspaces, wire.Workspace{Name: workspaceName(i), Classes: classes, Weight: 1})
	}
	return cfg
}

func newServer(t Target, i int) wire.Server {
	dc := dataCentreName(i)
	return wire.Server{
		Name:        fmt.Sprintf("%s-server-%04d", dc, i),
		Address:     fmt.Sprintf("10.%d.%d.%d:8000", i%6, i/250%250, i%250),
		DataCentre:  dc,
		Pool:        poolName(i / t.DataCentres % t.Models),
		Kind:        wire.ServerKindRegular,
		Slots:       64,
		CostPerHour: 12.5,
	}
}

// keys returns the keyring of the i-th workspace.
func keys(t Target, i int) wire.Keyring {
	k := wire.Keyring{Workspace: workspaceName(i)}
	for n := range t.KeysPerWorkspace {
		hash := keyring.Hash(fmt.Sprintf("%d.%d", i, n))
		k.Keys = append(k.Keys, wire.KeyEntry{Id: "key-" + hash[:12], Hash: hash, GrantedAtMs: 1_700_000_000_000, GrantedBy: "operator"})
	}
	return k
}

// declaredGrantBytes returns the size of one grant when it is declared to a new home instance.
func declaredGrantBytes(t Target) float64 {
	grant := wire.GrantHeld{Grant: 1_000_000_000, Server: newServer(t, 0).Name, Class: className(0), Workspace: workspaceName(0)}
	return float64(len(toJSON(grant)) + 1)
}

// serverStateBytes returns the size of one server's state in a response of the ordering interface.
func serverStateBytes(t Target) float64 {
	s := newServer(t, 0)
	state := wire.ServerState{Server: s.Name, DataCentre: s.DataCentre, Kind: wire.ServerStateKindRegular, State: wire.ServerStateStateRunning}
	return float64(len(toJSON(state)) + 1)
}

// toJSON encodes v as JSON.
func toJSON(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
