package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// Objects is the client of the object API.
type Objects struct {
	Client
}

// Store returns the client's calls as seams.
func (o *Objects) Store() Store {
	return Store{Get: o.Get, List: o.List, Create: o.Create, Update: o.Update, Delete: o.Delete, Watch: o.Watch}
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// Get reads one object.
func (o *Objects) Get(ctx context.Context, kind, name string) (wire.Object, error) {
	k := call{name: "object_get", method: http.MethodGet, path: objectPath(kind, name)}
	var obj wire.Object
	err := o.object(ctx, k, kind, name, &obj)
	return obj, err
}

// List reads the objects of a kind whose names begin with the prefix.
func (o *Objects) List(ctx context.Context, kind, prefix string) (wire.ObjectList, error) {
	path := "/v1/objects/" + url.PathEscape(kind) + "?prefix=" + url.QueryEscape(prefix)
	k := call{name: "object_list", method: http.MethodGet, path: path}
	var list wire.ObjectList
	err := o.object(ctx, k, kind, prefix, &list)
	return list, err
}

// Create writes an object that doesn't exist yet.
func (o *Objects) Create(ctx context.Context, kind, name string, value any) (wire.Object, error) {
	k := call{name: "object_create", method: http.MethodPut, path: objectPath(kind, name), body: value}
	k.header = http.Header{"If-None-Match": {"*"}}
	return o.write(ctx, k, kind, name)
}

// Update writes an object that has the version.
func (o *Objects) Update(ctx context.Context, kind, name string, version int, value any) (wire.Object, error) {
	k := call{name: "object_update", method: http.MethodPut, path: objectPath(kind, name), body: value}
	k.header = http.Header{"If-Match": {strconv.Itoa(version)}}
	return o.write(ctx, k, kind, name)
}

// Delete removes an object that has the version.
func (o *Objects) Delete(ctx context.Context, kind, name string, version int) error {
	k := call{name: "object_delete", method: http.MethodDelete, path: objectPath(kind, name)}
	k.header = http.Header{"If-Match": {strconv.Itoa(version)}}
	return o.object(ctx, k, kind, name, nil)
}

// Watch waits for events of a kind after the version.
func (o *Objects) Watch(ctx context.Context, kind string, from int, wait time.Duration) (wire.ObjectEvents, error) {
	path := fmt.Sprintf("/v1/watch/%s?from=%d&timeout_ms=%d", url.PathEscape(kind), from, wait.Milliseconds())
	k := call{name: "object_watch", method: http.MethodGet, path: path, wait: wait}
	var events wire.ObjectEvents
	err := o.object(ctx, k, kind, strconv.Itoa(from), &events)
	return events, err
}

func (o *Objects) write(ctx context.Context, k call, kind, name string) (wire.Object, error) {
	var obj wire.Object
	if err := o.object(ctx, k, kind, name, &obj); err != nil {
		return wire.Object{}, err
	}
	return obj, nil
}

func (o *Objects) object(ctx context.Context, k call, kind, name string, v any) error {
	a, err := o.do(ctx, k)
	if err != nil {
		return err
	}
	if err := objectError(k, a, kind, name); err != nil {
		return err
	}
	if v == nil {
		return nil
	}
	return decode(k, a, v)
}

func objectError(k call, a answer, kind, name string) error {
	switch a.status {
	case http.StatusNotFound:
		return ErrNotFound{Kind: kind, Name: name}
	case http.StatusGone:
		from, _ := strconv.Atoi(name)
		return ErrTooOld{Kind: kind, From: from}
	case http.StatusConflict, http.StatusPreconditionFailed:
		var body wire.ObjectError
		_ = json.Unmarshal(a.body, &body)
		conflict := ErrConflict{Kind: kind, Name: name}
		if body.Current != nil {
			conflict.Current = *body.Current
		}
		return conflict
	}
	return statusError(k, a)
}
