package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/wire"
)

// Evacuations begins, ends and lists evacuations of data centres, whose backend servers get no requests meanwhile. Set the
// fields before use.
type Evacuations struct {
	*Writer
	// Kind is the kind of the objects that name evacuated data centres, and ServerKind that of the entries of backend
	// servers, which ParseServerEntry decodes.
	Kind, ServerKind string
	ParseServerEntry func(wire.Object) (registry.Entry, error)
}

// EvacuationRecord is what Begin stores with an evacuation. Other writers store less, or nothing.
type EvacuationRecord struct {
	Operator string `json:"operator,omitempty"`
	AtMs     int    `json:"at_ms,omitempty"`
}

// DataCentre is a data centre with backend servers, or with an evacuation.
type DataCentre struct {
	Name string `json:"data_centre"`
	// Servers is the number of its backend servers that aren't draining.
	Servers int `json:"servers"`
	// Pools holds the names of the pools of these servers, in order.
	Pools []string `json:"pools,omitempty"`
	// Evacuated is set if it has an evacuation, which Record describes.
	Evacuated bool             `json:"evacuated"`
	Record    EvacuationRecord `json:"record"`
}

// ErrLastDataCentre reports that no data centre with backend servers would be left.
type ErrLastDataCentre struct {
	// Name is the data centre that was to be evacuated, and Evacuated those that are already.
	Name      string
	Evacuated []string
}

func (e ErrLastDataCentre) Error() string {
	if len(e.Evacuated) == 0 {
		return fmt.Sprintf("%s is the only data centre with backend servers", e.Name)
	}
	return fmt.Sprintf("%s is the last data centre with backend servers; evacuated: %s", e.Name, strings.Join(e.Evacuated, ", "))
}

// List returns the data centres that have backend servers or an evacuation, in order.
func (e *Evacuations) List(ctx context.Context) ([]DataCentre, error) {
	servers, err := e.list(ctx, e.ServerKind)
	if err != nil {
		return nil, err
	}
	evacuations, err := e.list(ctx, e.Kind)
	if err != nil {
		return nil, err
	}
	byName := map[string]*DataCentre{}
	get := func(name string) *DataCentre {
		if byName[name] == nil {
			byName[name] = &DataCentre{Name: name}
		}
		return byName[name]
	}
	for _, o := range servers {
		// An entry that can't be read describes no server that could be used.
		if entry, err := e.ParseServerEntry(o); err == nil && !entry.Draining {
			dc := get(entry.DataCentre)
			dc.Servers++
			if !slices.Contains(dc.Pools, entry.Pool) {
				dc.Pools = append(dc.Pools, entry.Pool)
			}
		}
	}
	for _, o := range evacuations {
		dc := get(o.Name)
		dc.Evacuated = true
		// Whatever another writer stored, the evacuation holds.
		dc.Record, _ = platform.Decode[EvacuationRecord](o)
	}
	list := make([]DataCentre, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		slices.Sort(byName[name].Pools)
		list = append(list, *byName[name])
	}
	return list, nil
}

// list reads the objects of a kind, again if a call fails.
func (e *Evacuations) list(ctx context.Context, kind string) ([]wire.Object, error) {
	var items []wire.Object
	_, err := retry(ctx, func() (wire.Object, error) {
		list, err := e.Objects.List(ctx, kind, "")
		items = list.Items
		return wire.Object{}, err
	})
	return items, err
}

// Begin evacuates a data centre. An evacuation that exists isn't changed. Begin returns an ErrUnknown if the data centre has
// no backend servers, and an ErrLastDataCentre if no other one would be left. The pools that lose
// their last servers are logged.
func (e *Evacuations) Begin(ctx context.Context, name string) error {
	list, err := e.List(ctx)
	if err != nil {
		return err
	}
	if err := mayEvacuate(list, name); err != nil {
		return err
	}
	o, err := e.change(ctx, e.Kind, name, func(current wire.Object) (any, error) {
		if current.Version > 0 {
			return nil, nil
		}
		return EvacuationRecord{Operator: e.Operator, AtMs: nowMs()}, nil
	})
	if err != nil {
		return fmt.Errorf("the evacuation of %s may or may not have begun: %w", name, err)
	}
	fields := []zap.Field{zap.String("data_centre", name), zap.Int("version", o.Version)}
	if pools := poolsShut(list, name); len(pools) > 0 {
		fields = append(fields, zap.Strings("pools_shut", pools))
	}
	e.log("evacuation_begin", fields...)
	return nil
}

// mayEvacuate reports why a data centre can't be evacuated.
func mayEvacuate(list []DataCentre, name string) error {
	var known, left, evacuated []string
	for _, dc := range list {
		if dc.Servers > 0 {
			known = append(known, dc.Name)
		}
		switch {
		case dc.Name == name:
		case dc.Evacuated:
			evacuated = append(evacuated, dc.Name)
		case dc.Servers > 0:
			left = append(left, dc.Name)
		}
	}
	if !slices.Contains(known, name) {
		return ErrUnknown{Kind: "data centre with backend servers", Name: name, Known: known}
	}
	if len(left) == 0 {
		return ErrLastDataCentre{Name: name, Evacuated: evacuated}
	}
	return nil
}

// poolsShut returns the names of the pools whose last backend servers that aren't in evacuated data centres are in the named
// one.
func poolsShut(list []DataCentre, name string) []string {
	var here, left []string
	for _, dc := range list {
		switch {
		case dc.Name == name:
			here = dc.Pools
		case !dc.Evacuated:
			left = append(left, dc.Pools...)
		}
	}
	return slices.DeleteFunc(slices.Clone(here), func(pool string) bool { return slices.Contains(left, pool) })
}

// End ends the evacuation of a data centre. It returns an ErrUnknown if there is none.
func (e *Evacuations) End(ctx context.Context, name string) error {
	ended := false
	_, err := retry(ctx, func() (wire.Object, error) {
		current, err := e.read(ctx, e.Kind, name)
		if err != nil || current.Version == 0 {
			return current, err
		}
		ended = true
		return current, e.Objects.Delete(ctx, e.Kind, name, current.Version)
	})
	if err != nil {
		return fmt.Errorf("the evacuation of %s may or may not have ended: %w", name, err)
	}
	if !ended {
		return ErrUnknown{Kind: "evacuation", Name: name}
	}
	e.log("evacuation_end", zap.String("data_centre", name))
	return nil
}
