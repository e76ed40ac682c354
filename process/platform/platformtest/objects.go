// Package platformtest holds in-memory fakes of the platform's interfaces for tests. They use no sockets, so that they
// work in a testing/synctest bubble, and they inject a fault into each call for which the test chooses one.
package platformtest

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

// Outcome is the way in which a fake handles a call.
type Outcome int

// Outcomes of a call. Only writes can have OutcomeResponseLost and the outcomes after it; a read for which the test
// chooses one of them returns ErrUnavailable.
const (
	// OutcomeServed serves the call normally.
	OutcomeServed Outcome = iota
	// OutcomeUnavailable returns ErrUnavailable without carrying out the call.
	OutcomeUnavailable
	// OutcomeResponseLost carries out the write and returns ErrUnknownOutcome.
	OutcomeResponseLost
	// OutcomeWriteLost does not carry out the write and returns ErrUnknownOutcome.
	OutcomeWriteLost
	// OutcomeWriteLate returns ErrUnknownOutcome and carries out the write after Fault.WriteDelay.
	OutcomeWriteLate
)

// Call describes a call, so that a test can choose its fault.
type Call struct {
	Instance string
	// Method is get, list, create, update, delete or watch.
	Method string
	Kind   string
	Name   string
}

// Methods of the calls that write.
const (
	methodCreate = "create"
	methodUpdate = "update"
	methodDelete = "delete"
)

// IsWrite reports whether the call changes the store.
func (c Call) IsWrite() bool {
	return c.Method == methodCreate || c.Method == methodUpdate || c.Method == methodDelete
}

// Fault holds the outcome and the delays of one call.
type Fault struct {
	Outcome Outcome
	// Before is the delay until the call reaches the store, and After the delay of the response.
	Before time.Duration
	After  time.Duration
	// WriteDelay is the delay of the write with OutcomeWriteLate.
	WriteDelay time.Duration
}

// errInjected is the cause in the errors that injected faults return.
var errInjected = errors.New("injected fault")

// Objects is an in-memory object API. The fields must be set before the first call.
type Objects struct {
	// ChooseFault returns the fault of each call; nil means no faults.
	ChooseFault func(Call) Fault
	// History is the number of past events from which a watch can continue; 0 means all.
	History int

	mu sync.Mutex
	// version is the version of the newest change; each change of any object has the next version of the era.
	version int
	// objects holds the stored objects under "kind/name".
	objects map[string]wire.Object
	// events holds the past events, oldest first.
	events []wire.ObjectEvent
	// changed is closed and replaced at each change.
	changed chan struct{}
	// calls holds the number of calls by method, such as "get", and by method and kind, such as "get lease".
	calls map[string]int
	// lateWrites counts the writes with OutcomeWriteLate that haven't been carried out yet.
	lateWrites sync.WaitGroup
}

// Store returns the calls of the object API for one instance.
func (o *Objects) Store(instance string) platform.Store {
	return platform.Store{
		Get: func(ctx context.Context, kind, name string) (wire.Object, error) {
			return serveRead(ctx, o, Call{instance, "get", kind, name}, func() (wire.Object, error) { return o.get(kind, name) })
		},
		List: func(ctx context.Context, kind, prefix string) (wire.ObjectList, error) {
			return serveRead(ctx, o, Call{instance, "list", kind, prefix}, func() (wire.ObjectList, error) { return o.list(kind, prefix) })
		},
		Create: func(ctx context.Context, kind, name string, value any) (wire.Object, error) {
			return o.serveWrite(ctx, Call{instance, methodCreate, kind, name}, 0, value)
		},
		Update: func(ctx context.Context, kind, name string, version int, value any) (wire.Object, error) {
			return o.serveWrite(ctx, Call{instance, methodUpdate, kind, name}, version, value)
		},
		Delete: func(ctx context.Context, kind, name string, version int) error {
			_, err := o.serveWrite(ctx, Call{instance, methodDelete, kind, name}, version, nil)
			return err
		},
		Watch: func(ctx context.Context, kind string, from int, wait time.Duration) (wire.ObjectEvents, error) {
			return o.watch(ctx, Call{instance, "watch", kind, ""}, from, wait)
		},
		Era: o.era,
	}
}

// CallCount returns the number of calls of a method, such as "get", or "get lease" for one kind.
func (o *Objects) CallCount(method string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls[method]
}

// Wait waits until all writes with OutcomeWriteLate have been carried out.
func (o *Objects) Wait() { o.lateWrites.Wait() }

// beginCall counts a call, has the test choose the call's fault and waits for the delay Fault.Before.
func (o *Objects) beginCall(ctx context.Context, c Call) (Fault, error) {
	o.mu.Lock()
	if o.calls == nil {
		o.calls = map[string]int{}
		o.objects = map[string]wire.Object{}
		o.changed = make(chan struct{})
	}
	o.calls[c.Method]++
	o.calls[c.Method+" "+c.Kind]++
	o.mu.Unlock()
	var fault Fault
	if o.ChooseFault != nil {
		fault = o.ChooseFault(c)
	}
	return fault, sleep(ctx, fault.Before)
}

// sleep sleeps for d or until ctx ends, and returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serveRead reads from the store by calling serve, with the delays of the fault that the test chooses for the call. It
// returns ErrUnavailable if the outcome of the fault isn't OutcomeServed or if ctx ends.
func serveRead[T any](ctx context.Context, o *Objects, c Call, serve func() (T, error)) (T, error) {
	var zero T
	fault, err := o.beginCall(ctx, c)
	if err != nil {
		return zero, platform.ErrUnavailable{Call: c.Method, Cause: err}
	}
	if fault.Outcome != OutcomeServed {
		return zero, platform.ErrUnavailable{Call: c.Method, Cause: errInjected}
	}
	v, serveErr := serve()
	if err := sleep(ctx, fault.After); err != nil {
		return zero, platform.ErrUnavailable{Call: c.Method, Cause: err}
	}
	return v, serveErr
}

// get returns one stored object, without faults.
func (o *Objects) get(kind, name string) (wire.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.objects[kind+"/"+name]
	if !ok {
		return wire.Object{}, platform.ErrNotFound{Kind: kind, Name: name}
	}
	return obj, nil
}

// list returns the stored objects of a kind whose names begin with the prefix, without faults.
func (o *Objects) list(kind, prefix string) (wire.ObjectList, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := wire.ObjectList{Version: o.version}
	for _, obj := range o.objects {
		if obj.Kind == kind && strings.HasPrefix(obj.Name, prefix) {
			list.Items = append(list.Items, obj)
		}
	}
	sort.Slice(list.Items, func(i, j int) bool { return list.Items[i].Name < list.Items[j].Name })
	return list, nil
}

// serveWrite changes the store as the fault that the test chooses for the call demands: now, later or not at all. The
// returned error says as much about the write as a caller over a network would learn.
func (o *Objects) serveWrite(ctx context.Context, c Call, version int, value any) (wire.Object, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return wire.Object{}, platform.ErrRejected{Call: c.Method, Message: err.Error()}
	}
	fault, err := o.beginCall(ctx, c)
	if err != nil {
		return wire.Object{}, platform.ErrUnavailable{Call: c.Method, Cause: err}
	}
	unknown := platform.ErrUnknownOutcome{Call: c.Method, Cause: errInjected}
	switch fault.Outcome {
	case OutcomeUnavailable:
		return wire.Object{}, platform.ErrUnavailable{Call: c.Method, Cause: errInjected}
	case OutcomeWriteLost:
		_ = sleep(ctx, fault.After)
		return wire.Object{}, unknown
	case OutcomeWriteLate:
		o.lateWrites.Go(func() {
			time.Sleep(fault.WriteDelay)
			_, _ = o.apply(c, version, data)
		})
		_ = sleep(ctx, fault.After)
		return wire.Object{}, unknown
	}
	obj, applyErr := o.apply(c, version, data)
	if err := sleep(ctx, fault.After); err != nil || fault.Outcome == OutcomeResponseLost {
		return wire.Object{}, unknown
	}
	return obj, applyErr
}

// apply applies a create, update or delete to the store and wakes the watches.
func (o *Objects) apply(c Call, version int, data json.RawMessage) (wire.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := c.Kind + "/" + c.Name
	current, ok := o.objects[key]
	switch {
	case c.Method == methodCreate && ok, c.Method != methodCreate && ok && current.Version != version:
		return wire.Object{}, platform.ErrConflict{Kind: c.Kind, Name: c.Name, Current: current}
	case c.Method != methodCreate && !ok:
		return wire.Object{}, platform.ErrNotFound{Kind: c.Kind, Name: c.Name}
	}
	o.version++
	obj := wire.Object{Kind: c.Kind, Name: c.Name, Version: o.version, Value: data}
	event := wire.ObjectEvent{Type: wire.ObjectEventTypePut, Object: obj}
	o.objects[key] = obj
	if c.Method == methodDelete {
		delete(o.objects, key)
		event.Type = wire.ObjectEventTypeDelete
		event.Object.Value = current.Value
	}
	o.events = append(o.events, event)
	if o.History > 0 && len(o.events) > o.History {
		o.events = o.events[len(o.events)-o.History:]
	}
	close(o.changed)
	o.changed = make(chan struct{})
	return obj, nil
}

// watch waits for events of a kind after the version from.
func (o *Objects) watch(ctx context.Context, c Call, from int, wait time.Duration) (wire.ObjectEvents, error) {
	fault, err := o.beginCall(ctx, c)
	if err != nil || fault.Outcome != OutcomeServed {
		return wire.ObjectEvents{}, platform.ErrUnavailable{Call: c.Method, Cause: errors.Join(err, errInjected)}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, changed, err := o.eventsAfter(c.Kind, from)
		if err != nil || len(events.Events) > 0 {
			return events, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return events, nil
		case <-ctx.Done():
			return wire.ObjectEvents{}, platform.ErrUnavailable{Call: c.Method, Cause: ctx.Err()}
		}
	}
}

// eventsAfter returns the events of a kind after the version from, and a channel that is closed at the next change.
func (o *Objects) eventsAfter(kind string, from int) (wire.ObjectEvents, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	oldestVersion := o.version - len(o.events) + 1
	if from+1 < oldestVersion {
		return wire.ObjectEvents{}, nil, platform.ErrWatchTooOld{Kind: kind, From: from}
	}
	events := wire.ObjectEvents{Version: o.version}
	for _, e := range o.events {
		if e.Object.Version > from && e.Object.Kind == kind {
			events.Events = append(events.Events, e)
		}
	}
	return events, o.changed, nil
}
