package instance

import (
	"net/http"
	"slices"

	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/request/dispatch"
	"github.com/toucanroute/toucanroute/version/keyring"
	"github.com/toucanroute/toucanroute/version/route"
	"github.com/toucanroute/toucanroute/wire"
)

// requestRights determines the rights of requests from one configuration and one set of keys.
type requestRights struct {
	table *route.Table
	keys  *keyring.Ring
}

// resolve returns the rights of a request. Errors are of type request.ErrResponse.
func (r requestRights) resolve(ask dispatch.AuthRequest) (dispatch.Authorization, error) {
	matched, err := r.route(ask)
	if err != nil {
		return dispatch.Authorization{}, err
	}
	caller, err := r.caller(ask.Key, matched)
	if err != nil {
		return dispatch.Authorization{}, err
	}
	class, idempotent, err := r.class(ask, matched)
	if err != nil {
		return dispatch.Authorization{}, err
	}
	workspace, ok := r.table.Workspace(caller.workspace)
	if !ok || !workspace.MayUse(class.Name) || !caller.mayUse(class.Name) {
		return dispatch.Authorization{}, refuse(http.StatusForbidden, request.CodeClassDenied,
			"the key's workspace may not use class "+class.Name)
	}
	return dispatch.Authorization{
		Workspace:  caller.workspace,
		KeyID:      caller.keyID,
		Route:      wire.Route{Name: matched.Name(), Kind: matched.Kind(), Pool: matched.Pool(), Class: matched.Class(), Open: matched.Open()},
		Class:      class,
		Idempotent: idempotent,
	}, nil
}

// refuse returns the error response to a request that has no right to what it asks for.
func refuse(status int, code, message string) error {
	return request.NewRefusal(status, code, message)
}

// route returns the route of the model or service that the request names.
func (r requestRights) route(ask dispatch.AuthRequest) (route.Route, error) {
	if ask.Kind == wire.RouteKindModel {
		if found, ok := r.table.Model(ask.Route); ok {
			return found, nil
		}
		return route.Route{}, refuse(http.StatusNotFound, request.CodeUnknownModel, "there is no model of that name")
	}
	if found, ok := r.table.Service(ask.Route); ok {
		return found, nil
	}
	return route.Route{}, refuse(http.StatusNotFound, request.CodeUnknownService, "there is no service of that name")
}

// callerRights holds the rights that a key, or an open route without a key, gives.
type callerRights struct {
	workspace string
	keyID     string
	mayUse    func(class string) bool
}

// caller returns the rights of the key of a request, or those of an open route if the request has no key.
func (r requestRights) caller(key string, found route.Route) (callerRights, error) {
	if key == "" {
		return openRouteCaller(found)
	}
	entry, ok := r.keys.Lookup(key)
	if !ok {
		return callerRights{}, refuse(http.StatusUnauthorized, request.CodeBadKey, "the key is not known")
	}
	if entry.Withdrawn() {
		return callerRights{}, refuse(http.StatusUnauthorized, request.CodeKeyWithdrawn, "the key was withdrawn")
	}
	return callerRights{workspace: entry.Workspace(), keyID: entry.ID(), mayUse: entry.MayUse}, nil
}

// openRouteCaller returns the rights of a request without a key, which may only use the class of an open route.
func openRouteCaller(found route.Route) (callerRights, error) {
	if !found.Open() {
		return callerRights{}, refuse(http.StatusUnauthorized, request.CodeNoKey, "the route needs a key")
	}
	onlyRouteClass := func(class string) bool { return class == found.Class() }
	return callerRights{workspace: found.OpenWorkspace(), mayUse: onlyRouteClass}, nil
}

// class returns the class of a request and whether the request is idempotent.
func (r requestRights) class(ask dispatch.AuthRequest, found route.Route) (wire.Class, bool, error) {
	name := found.Class()
	rule := found.Rule(ask.Method, ask.Path)
	if ask.Kind == wire.RouteKindService && rule.Class() != "" {
		name = rule.Class()
	}
	if ask.Class != "" {
		name = ask.Class
	}
	class, ok := r.table.Class(name)
	if !ok {
		return wire.Class{}, false, refuse(http.StatusForbidden, request.CodeClassDenied, "there is no class of that name")
	}
	if ask.Kind == wire.RouteKindService {
		return class, rule.Idempotent(), nil
	}
	return class, class.Idempotent, nil
}

// models lists the model names that a key may use.
func (r requestRights) models(key string) ([]string, error) {
	var names []string
	for _, name := range r.table.Models() {
		_, err := r.resolve(dispatch.AuthRequest{Key: key, Kind: wire.RouteKindModel, Route: name})
		if err == nil {
			names = append(names, name)
			continue
		}
		if response := request.ResponseOf(err); response.Status == http.StatusUnauthorized && key != "" {
			return nil, err
		}
	}
	return slices.Clip(names), nil
}
