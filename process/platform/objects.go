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

// Store returns the calls of the client as function values, which tests can replace.
func (o *Objects) Store() Store {
	return Store{Get: o.Get, List: o.List, Create: o.Create, Update: o.Update, Delete: o.Delete, Watch: o.Watch}
}

// objectPath returns the URL path of an object.
func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// Get reads one object.
func (o *Objects) Get(ctx context.Context, kind, name string) (wire.Object, error) {
	spec := call{name: "object_get", method: http.MethodGet, path: objectPath(kind, name)}
	var obj wire.Object
	err := o.callObject(ctx, spec, kind, name, &obj)
	return obj, err
}

// List reads the objects of a kind whose names begin with the prefix.
func (o *Objects) List(ctx context.Context, kind, prefix string) (wire.ObjectList, error) {
	path := "/v1/objects/" + url.PathEscape(kind) + "?prefix=" + url.QueryEscape(prefix)
	spec := call{name: "object_list", method: http.MethodGet, path: path}
	var list wire.ObjectList
	err := o.callObject(ctx, spec, kind, prefix, &list)
	return list, err
}

// Create writes an object and returns ErrConflict if it already exists.
func (o *Objects) Create(ctx context.Context, kind, name string, value any) (wire.Object, error) {
	spec := call{name: "object_create", method: http.MethodPut, path: objectPath(kind, name), body: value}
	spec.header = http.Header{"If-None-Match": {"*"}}
	return o.write(ctx, spec, kind, name)
}

// Update replaces an object and returns ErrConflict if the stored object has another version.
func (o *Objects) Update(ctx context.Context, kind, name string, version int, value any) (wire.Object, error) {
	spec := call{name: "object_update", method: http.MethodPut, path: objectPath(kind, name), body: value}
	spec.header = http.Header{"If-Match": {strconv.Itoa(version)}}
	return o.write(ctx, spec, kind, name)
}

// Delete removes an object and returns ErrConflict if the stored object has another version.
func (o *Objects) Delete(ctx context.Context, kind, name string, version int) error {
	spec := call{name: "object_delete", method: http.MethodDelete, path: objectPath(kind, name)}
	spec.header = http.Header{"If-Match": {strconv.Itoa(version)}}
	return o.callObject(ctx, spec, kind, name, nil)
}

// Watch waits up to the duration wait for events of a kind after the version from.
func (o *Objects) Watch(ctx context.Context, kind string, from int, wait time.Duration) (wire.ObjectEvents, error) {
	path := fmt.Sprintf("/v1/watch/%s?from=%d&timeout_ms=%d", url.PathEscape(kind), from, wait.Milliseconds())
	spec := call{name: "object_watch", method: http.MethodGet, path: path, wait: wait}
	var events wire.ObjectEvents
	err := o.callObject(ctx, spec, kind, strconv.Itoa(from), &events)
	return events, err
}

// write sends a write and returns the written object.
func (o *Objects) write(ctx context.Context, spec call, kind, name string) (wire.Object, error) {
	var obj wire.Object
	if err := o.callObject(ctx, spec, kind, name, &obj); err != nil {
		return wire.Object{}, err
	}
	return obj, nil
}

// callObject sends a call of the object API and decodes the response into v unless v is nil.
func (o *Objects) callObject(ctx context.Context, spec call, kind, name string, v any) error {
	response, err := o.do(ctx, spec)
	if err != nil {
		return err
	}
	if err := objectError(spec, response, kind, name); err != nil {
		return err
	}
	if v == nil {
		return nil
	}
	return decode(spec, response, v)
}

// objectError returns the error for the status of an object API call, or nil for 2xx.
func objectError(spec call, response rawResponse, kind, name string) error {
	switch response.status {
	case http.StatusNotFound:
		return ErrNotFound{Kind: kind, Name: name}
	case http.StatusGone:
		from, _ := strconv.Atoi(name)
		return ErrWatchTooOld{Kind: kind, From: from}
	case http.StatusConflict, http.StatusPreconditionFailed:
		var body wire.ObjectError
		_ = json.Unmarshal(response.body, &body)
		conflict := ErrConflict{Kind: kind, Name: name}
		if body.Current != nil {
			conflict.Current = *body.Current
		}
		return conflict
	}
	return statusError(spec, response)
}
