package route

import (
	"cmp"
	"path"
	"slices"
	"strings"

	"github.com/toucanroute/toucanroute/wire"
)

// anyMethod is the method of a rule that matches every HTTP method.
const anyMethod = "*"

// Route maps a model name or a service name to a pool.
type Route struct {
	spec wire.Route
	// rules are sorted by descending length of their prefix; among equal prefixes, rules for one method come before
	// anyMethod.
	rules       []wire.MethodRule
	defaultRule Rule
}

// Rule holds the class of a call to a route, and whether the call is idempotent.
type Rule struct {
	class      string
	idempotent bool
}

// Class returns the class of a call that names no class itself.
func (r Rule) Class() string { return r.class }

// Idempotent reports whether the call may be repeated.
func (r Rule) Idempotent() bool { return r.idempotent }

func newRoute(spec wire.Route, classes map[string]wire.Class) Route {
	r := Route{spec: spec, rules: slices.Clone(spec.Methods)}
	slices.SortStableFunc(r.rules, compareRules)
	r.defaultRule = Rule{class: spec.Class}
	if spec.Kind == wire.RouteKindModel {
		r.defaultRule.idempotent = classes[spec.Class].Idempotent
	}
	return r
}

// compareRules orders rules as Route.rules is sorted.
func compareRules(a, b wire.MethodRule) int {
	if byLength := cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)); byLength != 0 {
		return byLength
	}
	return cmp.Compare(methodRank(a.Method), methodRank(b.Method))
}

func methodRank(method string) int {
	if method == anyMethod {
		return 1
	}
	return 0
}

// Name returns the model name or service name.
func (r Route) Name() string { return r.spec.Name }

// Kind returns whether the route is for a model or for a service.
func (r Route) Kind() wire.RouteKind { return r.spec.Kind }

// Pool returns the name of the pool that serves the route.
func (r Route) Pool() string { return r.spec.Pool }

// Class returns the class of a request that names no class itself.
func (r Route) Class() string { return r.spec.Class }

// Open reports whether requests on the route need no API key.
func (r Route) Open() bool { return r.spec.Open }

// OpenWorkspace returns the workspace to which requests without a key are counted.
func (r Route) OpenWorkspace() string { return r.spec.OpenWorkspace }

// Rule returns the rule for a call: the one with the longest matching prefix, and among equal prefixes the one for the
// exact method. callPath is the path after /v1/services/NAME and starts with a slash. If no rule matches a call to a
// service, or if a server may interpret its path in another way, the call has the route's class and is not idempotent.
func (r Route) Rule(method, callPath string) Rule {
	if r.spec.Kind == wire.RouteKindService && !isUnambiguous(callPath) {
		return r.defaultRule
	}
	for _, m := range r.rules {
		if m.Method != anyMethod && m.Method != method {
			continue
		}
		if !hasPathPrefix(callPath, m.PathPrefix) {
			continue
		}
		return Rule{class: cmp.Or(m.Class, r.spec.Class), idempotent: m.Idempotent}
	}
	return r.defaultRule
}

// isUnambiguous reports whether all servers interpret a path in the same way: it has no escapes, no empty segments, and
// no . or .. segments.
func isUnambiguous(p string) bool {
	p, _, _ = strings.Cut(p, "?")
	if p == "/" {
		return true
	}
	return !strings.ContainsAny(p, "%\\") && path.Clean(p) == strings.TrimSuffix(p, "/")
}

// hasPathPrefix reports whether p equals prefix or is a path below it: /order matches /order and /order/7, not /orders.
func hasPathPrefix(p, prefix string) bool {
	rest, ok := strings.CutPrefix(p, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || strings.HasPrefix(rest, "/") || strings.HasPrefix(rest, "?")
}
