package objectapi

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/toucanroute/toucanroute/wire"
)

// objectKey identifies an object by its kind and its name.
type objectKey struct {
	kind string
	name string
}

// eventHistory holds the newest events of one kind of object.
type eventHistory struct {
	// lastDroppedVersion is the version of the newest event that was dropped. A watch from a lower version has missed
	// events.
	lastDroppedVersion int
	events             []wire.ObjectEvent
}

// store holds all objects in memory.
type store struct {
	// maxEvents is the number of events that are kept for each kind of object.
	maxEvents int

	mu sync.Mutex
	// version is the version of the last change of any object; each change increments it.
	version int
	objects map[objectKey]wire.Object
	// histories holds the newest events by kind of object.
	histories map[string]*eventHistory
	// changed is closed and replaced by a new channel at each change.
	changed chan struct{}
}

func newStore(maxEvents int) *store {
	return &store{
		maxEvents: maxEvents,
		objects:   map[objectKey]wire.Object{},
		histories: map[string]*eventHistory{},
		changed:   make(chan struct{}),
	}
}

func (s *store) get(kind, name string) (wire.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[objectKey{kind, name}]
	return obj, ok
}

func (s *store) list(kind, prefix string) wire.ObjectList {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := wire.ObjectList{Version: s.version, Items: []wire.Object{}}
	for k, obj := range s.objects {
		if k.kind == kind && strings.HasPrefix(k.name, prefix) {
			list.Items = append(list.Items, obj)
		}
	}
	slices.SortFunc(list.Items, func(a, b wire.Object) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (s *store) put(kind, name string, value json.RawMessage, cond precondition) (wire.Object, *wire.ObjectError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal := s.checkPrecondition(objectKey{kind, name}, cond); refusal != nil {
		return wire.Object{}, refusal
	}
	s.version++
	obj := wire.Object{Kind: kind, Name: name, Version: s.version, Value: value}
	s.objects[objectKey{kind, name}] = obj
	s.appendEvent(wire.ObjectEvent{Type: wire.ObjectEventTypePut, Object: obj})
	return obj, nil
}

func (s *store) remove(kind, name string, cond precondition) (wire.Object, *wire.ObjectError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[objectKey{kind, name}]
	if !ok {
		return obj, &wire.ObjectError{Code: wire.ObjectErrorCodeNotFound, Message: "no such object"}
	}
	if refusal := s.checkPrecondition(objectKey{kind, name}, cond); refusal != nil {
		return obj, refusal
	}
	s.version++
	obj.Version = s.version
	delete(s.objects, objectKey{kind, name})
	s.appendEvent(wire.ObjectEvent{Type: wire.ObjectEventTypeDelete, Object: obj})
	return obj, nil
}

// checkPrecondition returns an error if the object doesn't meet the precondition.
func (s *store) checkPrecondition(key objectKey, cond precondition) *wire.ObjectError {
	obj, ok := s.objects[key]
	if cond.mustBeAbsent && ok {
		return &wire.ObjectError{Code: wire.ObjectErrorCodeConflict, Message: "the object exists", Current: &obj}
	}
	if cond.version == 0 {
		return nil
	}
	if !ok {
		return &wire.ObjectError{Code: wire.ObjectErrorCodeConflict, Message: "the object does not exist"}
	}
	if obj.Version != cond.version {
		return &wire.ObjectError{Code: wire.ObjectErrorCodeConflict, Message: "the object has another version", Current: &obj}
	}
	return nil
}

func (s *store) appendEvent(event wire.ObjectEvent) {
	h := s.histories[event.Object.Kind]
	if h == nil {
		h = &eventHistory{}
		s.histories[event.Object.Kind] = h
	}
	h.events = append(h.events, event)
	if excess := len(h.events) - s.maxEvents; excess > 0 {
		h.lastDroppedVersion = h.events[excess-1].Object.Version
		h.events = slices.Clone(h.events[excess:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// changeSignal returns a channel that is closed at the next change.
func (s *store) changeSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// eventsAfter returns the events of a kind after a version. It returns false if some of them were dropped from the
// history, or if the version is newer than the store.
func (s *store) eventsAfter(kind string, version int) (wire.ObjectEvents, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := wire.ObjectEvents{Version: s.version, Events: []wire.ObjectEvent{}}
	if version > s.version {
		return events, false
	}
	h := s.histories[kind]
	if h == nil {
		return events, true
	}
	if version < h.lastDroppedVersion {
		return events, false
	}
	for _, event := range h.events {
		if event.Object.Version > version {
			events.Events = append(events.Events, event)
		}
	}
	return events, true
}

// size returns the version of the last change and the number of objects.
func (s *store) size() (version, objects int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, len(s.objects)
}

// isObject reports whether value is a JSON object.
func isObject(value []byte) bool {
	return json.Valid(value) && bytes.HasPrefix(bytes.TrimSpace(value), []byte("{"))
}
