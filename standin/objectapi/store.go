package objectapi

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/toucanroute/toucanroute/wire"
)

// key names an object.
type key struct {
	kind string
	name string
}

// history holds the newest events of one kind.
type history struct {
	// floor is the version of the newest event that was dropped; a watch from below it has missed events.
	floor  int
	events []wire.ObjectEvent
}

// store holds all objects in memory.
type store struct {
	limit int

	mu sync.Mutex
	// version is that of the last change; it only grows.
	version   int
	objects   map[key]wire.Object
	histories map[string]*history
	changed   chan struct{}
}

func newStore(limit int) *store {
	return &store{
		limit:     limit,
		objects:   map[key]wire.Object{},
		histories: map[string]*history{},
		changed:   make(chan struct{}),
	}
}

func (s *store) get(kind, name string) (wire.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[key{kind, name}]
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

func (s *store) put(kind, name string, value json.RawMessage, cond condition) (wire.Object, *wire.ObjectError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal := s.check(key{kind, name}, cond); refusal != nil {
		return wire.Object{}, refusal
	}
	s.version++
	obj := wire.Object{Kind: kind, Name: name, Version: s.version, Value: value}
	s.objects[key{kind, name}] = obj
	s.record(wire.ObjectEvent{Type: wire.ObjectEventTypePut, Object: obj})
	return obj, nil
}

func (s *store) remove(kind, name string, cond condition) (wire.Object, *wire.ObjectError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[key{kind, name}]
	if !ok {
		return obj, &wire.ObjectError{Code: wire.ObjectErrorCodeNotFound, Message: "no such object"}
	}
	if refusal := s.check(key{kind, name}, cond); refusal != nil {
		return obj, refusal
	}
	s.version++
	obj.Version = s.version
	delete(s.objects, key{kind, name})
	s.record(wire.ObjectEvent{Type: wire.ObjectEventTypeDelete, Object: obj})
	return obj, nil
}

// check returns a refusal if the object's state does not meet cond.
func (s *store) check(k key, cond condition) *wire.ObjectError {
	obj, ok := s.objects[k]
	if cond.absent && ok {
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

func (s *store) record(event wire.ObjectEvent) {
	h := s.histories[event.Object.Kind]
	if h == nil {
		h = &history{}
		s.histories[event.Object.Kind] = h
	}
	h.events = append(h.events, event)
	if drop := len(h.events) - s.limit; drop > 0 {
		h.floor = h.events[drop-1].Object.Version
		h.events = slices.Clone(h.events[drop:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// changes returns a channel that closes at the next change.
func (s *store) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// after returns the events of kind after version, or false where history is gone.
func (s *store) after(kind string, version int) (wire.ObjectEvents, bool) {
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
	if version < h.floor {
		return events, false
	}
	for _, event := range h.events {
		if event.Object.Version > version {
			events.Events = append(events.Events, event)
		}
	}
	return events, true
}

// size returns the version and the number of objects.
func (s *store) size() (version, objects int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, len(s.objects)
}

// isObject tells whether value is a JSON object.
func isObject(value []byte) bool {
	return json.Valid(value) && bytes.HasPrefix(bytes.TrimSpace(value), []byte("{"))
}
