package operator

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

// PlanStop plans the graceful stop of a backend server. Draining begins at notBefore or, if it is zero, at once. A stop
// that is already planned or in progress isn't changed; PlanStop then returns its record.
func (w *Writer) PlanStop(ctx context.Context, server string, notBefore time.Time) (wire.StopRecord, error) {
	if err := w.checkServer(ctx, server); err != nil {
		return wire.StopRecord{}, err
	}
	want := wire.StopRecord{Server: server, State: wire.StopRecordStatePlanned, Operator: w.Operator, AtMs: nowMs()}
	if !notBefore.IsZero() {
		want.NotBeforeMs = int(notBefore.UnixMilli())
	}
	return w.changeStop(ctx, "stop_plan", want, func(current wire.StopRecord) bool {
		return current.State == "" || current.State == wire.StopRecordStateCancelled
	})
}

// CancelStop cancels a planned stop. The backend server gets requests again as soon as it runs.
func (w *Writer) CancelStop(ctx context.Context, server string) (wire.StopRecord, error) {
	want := wire.StopRecord{Server: server, State: wire.StopRecordStateCancelled, Operator: w.Operator, AtMs: nowMs()}
	record, err := w.changeStop(ctx, "stop_cancel", want, func(current wire.StopRecord) bool {
		return current.State != "" && current.State != wire.StopRecordStateCancelled
	})
	if err == nil && record.State == "" {
		return record, ErrUnknown{Kind: "planned stop", Name: server}
	}
	return record, err
}

// changeStop writes want if mayReplace returns true for the stored record. It returns the record that is then stored.
func (w *Writer) changeStop(ctx context.Context, action string, want wire.StopRecord, mayReplace func(wire.StopRecord) bool) (wire.StopRecord, error) {
	stored := wire.StopRecord{}
	obj, err := w.change(ctx, platform.KindStop, want.Server, func(current wire.Object) (any, error) {
		stored = wire.StopRecord{}
		if current.Version > 0 {
			var err error
			if stored, err = platform.Decode[wire.StopRecord](current); err != nil {
				return nil, err
			}
		}
		if !mayReplace(stored) {
			return nil, nil
		}
		stored = want
		return want, nil
	})
	if err != nil {
		return wire.StopRecord{}, fmt.Errorf("the stop of %s may or may not have changed: %w", want.Server, err)
	}
	if stored == want {
		w.log(action, zap.String("server", want.Server), zap.Int("version", obj.Version))
	}
	return stored, nil
}

// checkServer returns an ErrUnknown if the accepted configuration doesn't have the backend server.
func (w *Writer) checkServer(ctx context.Context, server string) error {
	routeTable, err := w.routeTable(ctx)
	if err != nil {
		return err
	}
	if _, ok := routeTable.Server(server); ok {
		return nil
	}
	var known []string
	for _, s := range routeTable.Config().Servers {
		known = append(known, s.Name)
	}
	return ErrUnknown{Kind: "backend server", Name: server, Known: known}
}

// Stops returns all stop records, cancelled ones included.
func (w *Writer) Stops(ctx context.Context) ([]wire.StopRecord, error) {
	objects, err := w.list(ctx, platform.KindStop)
	if err != nil {
		return nil, err
	}
	records := make([]wire.StopRecord, 0, len(objects))
	for _, obj := range objects {
		record, err := platform.Decode[wire.StopRecord](obj)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
