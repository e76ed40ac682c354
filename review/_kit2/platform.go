package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// platform is a stand-in of the platform: its metadata store and the calls of the singleton duties. It is sound: it loses
// nothing, answers at once and accepts all duty calls.
type platform struct {
	ln     net.Listener
	server *http.Server

	mu       sync.Mutex
	revision int
	objects  map[string]object
	events   []storeEvent
	changed  chan struct{}
	closed   chan struct{}
	calls    map[string]int
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        int      `json:"revision,omitempty"`
	Created         int64    `json:"created,omitempty"`
	Finalizers      []string `json:"finalizers,omitempty"`
	DeletionPending bool     `json:"deletionPending,omitempty"`
}

type storeEvent struct {
	kind     string
	revision int
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// pageEntries is the largest number of objects in a page of a list.
const pageEntries = 500

func newPlatform() (*platform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{ln: ln, revision: 1, objects: map[string]object{}, changed: make(chan struct{}), closed: make(chan struct{}), calls: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /toucanroute/objects/{kind}", p.list)
	mux.HandleFunc("POST /toucanroute/objects/{kind}", p.create)
	mux.HandleFunc("GET /toucanroute/objects/{kind}/{name}", p.get)
	mux.HandleFunc("PUT /toucanroute/objects/{kind}/{name}", p.put)
	mux.HandleFunc("DELETE /toucanroute/objects/{kind}/{name}", p.remove)
	mux.HandleFunc("POST /usage", p.duty)
	mux.HandleFunc("POST /scaling", p.duty)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

// Address returns the address of the store and of the duty calls.
func (p *platform) Address() string { return p.ln.Addr().String() }

// Close ends the platform.
func (p *platform) Close() {
	close(p.closed)
	_ = p.server.Close()
}

// WriteObject writes an object as the operator or a server does. A write that changes nothing makes no event.
func (p *platform) WriteObject(kind, name, spec string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.objects[kind+"/"+name]
	if ok && string(old.Spec) == spec {
		return
	}
	p.write(kind, name, json.RawMessage(spec), old.Metadata.Finalizers, old.Metadata.Created)
}

// write stores an object. The caller holds mu.
func (p *platform) write(kind, name string, spec json.RawMessage, finalizers []string, created int64) object {
	p.revision++
	if created == 0 {
		created = time.Now().UnixMilli()
	}
	o := object{Metadata: metadata{Name: name, Revision: p.revision, Created: created, Finalizers: finalizers}, Spec: spec}
	p.objects[kind+"/"+name] = o
	p.announce(storeEvent{kind: kind, revision: p.revision, Object: o})
	return o
}

// announce adds an event and wakes the watches. The caller holds mu.
func (p *platform) announce(e storeEvent) {
	p.events = append(p.events, e)
	close(p.changed)
	p.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	kind, query := r.PathValue("kind"), r.URL.Query()
	if query.Has("watch") {
		p.watch(w, r, kind)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for key := range p.objects {
		if name, ok := strings.CutPrefix(key, kind+"/"); ok && name > query.Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	hasMore := len(names) > pageEntries
	names = names[:min(len(names), pageEntries)]
	entries := make([]object, 0, len(names))
	for _, name := range names {
		entries = append(entries, p.objects[kind+"/"+name])
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, "hasMore": hasMore, "at": p.revision})
}

func (p *platform) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer timer.Stop()
	for done := false; ; {
		p.mu.Lock()
		events := []storeEvent{}
		for _, e := range p.events {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		at, changed := p.revision, p.changed
		p.mu.Unlock()
		if len(events) > 0 || done {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-p.closed:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[r.PathValue("kind")+"/"+r.PathValue("name")]
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, o)
}

func (p *platform) create(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Metadata.Name == "" {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.objects[r.PathValue("kind")+"/"+o.Metadata.Name]; ok {
		reply(w, http.StatusConflict, old)
		return
	}
	reply(w, http.StatusOK, p.write(r.PathValue("kind"), o.Metadata.Name, o.Spec, o.Metadata.Finalizers, 0))
}

func (p *platform) put(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	kind, name := r.PathValue("kind"), r.PathValue("name")
	old, ok := p.objects[kind+"/"+name]
	switch {
	case !ok:
		reply(w, http.StatusNotFound, nil)
	case o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case string(o.Spec) == string(old.Spec) && slices.Equal(o.Metadata.Finalizers, old.Metadata.Finalizers):
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, p.write(kind, name, o.Spec, o.Metadata.Finalizers, old.Metadata.Created))
	}
}

func (p *platform) remove(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.PathValue("kind") + "/" + r.PathValue("name")
	old, ok := p.objects[key]
	revision, _ := strconv.Atoi(r.URL.Query().Get("revision"))
	switch {
	case !ok:
		reply(w, http.StatusNotFound, nil)
	case revision != 0 && revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	default:
		delete(p.objects, key)
		p.revision++
		p.announce(storeEvent{kind: r.PathValue("kind"), revision: p.revision, Object: old, Deleted: true})
		reply(w, http.StatusOK, old)
	}
}

// duty accepts a usage report or an order.
func (p *platform) duty(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[r.URL.Path]++
	reply(w, http.StatusOK, nil)
}
