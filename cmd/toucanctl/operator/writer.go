// Package operator makes operators' changes (configurations, keys and planned stops) through the platform's object API,
// which stores versioned objects by kind and name, and polls instances until the changes are in force.
//
// Each version of the configuration is stored in an object of its own, the document. Another object, the head, names
// the document of the accepted configuration, which is the one that instances put in force.
package operator

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// minRetryDelay and maxRetryDelay limit the exponential backoff between two tries of a call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Writer changes objects on behalf of an operator. If the response to a write is lost, the object is read back before
// the write is sent again.
type Writer struct {
	// Objects is the client of the object API.
	Objects platform.Store
	// Log gets one line for each change that took effect.
	Log *zap.Logger
	// Operator is the name of the operator, which is recorded with each change.
	Operator string
}

// log writes the log line of one change.
func (w *Writer) log(action string, fields ...zap.Field) {
	all := append([]zap.Field{zap.String("operator", w.Operator), zap.String("action", action)}, fields...)
	w.Log.Info("operator_action", all...)
}

// change reads an object, calls edit with it and writes the value that edit returns, on condition that the object
// hasn't changed meanwhile. If it has, or if the outcome of the write is unknown, change starts again. A missing object
// has version 0. If edit returns nil, nothing is written. change returns the object that is then stored.
func (w *Writer) change(ctx context.Context, kind, name string, edit func(current wire.Object) (any, error)) (wire.Object, error) {
	return retry(ctx, func() (wire.Object, error) {
		current, err := w.read(ctx, kind, name)
		if err != nil {
			return wire.Object{}, err
		}
		value, err := edit(current)
		if err != nil || value == nil {
			return current, err
		}
		if current.Version == 0 {
			return w.Objects.Create(ctx, kind, name, value)
		}
		return w.Objects.Update(ctx, kind, name, current.Version, value)
	})
}

// read returns an object. If it doesn't exist, the returned object has version 0.
func (w *Writer) read(ctx context.Context, kind, name string) (wire.Object, error) {
	obj, err := w.Objects.Get(ctx, kind, name)
	if platform.IsErrNotFound(err) {
		return wire.Object{Kind: kind, Name: name}, nil
	}
	return obj, err
}

// list returns all objects of a kind.
func (w *Writer) list(ctx context.Context, kind string) ([]wire.Object, error) {
	list, err := retry(ctx, func() (wire.ObjectList, error) { return w.Objects.List(ctx, kind, "") })
	return list.Items, err
}

// retry calls op until it succeeds, fails with an error that isn't transient, or ctx ends. If ctx ends, the returned
// error includes op's last error.
func retry[T any](ctx context.Context, op func() (T, error)) (T, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minRetryDelay
	delays.MaxInterval = maxRetryDelay
	var lastErr error
	v, err := backoff.Retry(ctx, func() (T, error) {
		v, err := op()
		if err != nil && !isTransient(err) {
			return v, backoff.Permanent(err)
		}
		if err != nil {
			lastErr = err
		}
		return v, err
	}, backoff.WithBackOff(delays))
	if err != nil && ctx.Err() != nil && lastErr != nil {
		return v, errors.Join(err, lastErr)
	}
	return v, err
}

// isTransient reports whether a later try may succeed.
func isTransient(err error) bool {
	return platform.IsErrUnavailable(err) || platform.IsErrRateLimited(err) ||
		platform.IsErrUnknownOutcome(err) || platform.IsErrConflict(err)
}
