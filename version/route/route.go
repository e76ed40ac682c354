package route

import (
	"cmp"
	"path"
	"slices"
	"strings"

	"github.com/toucanroute/toucanroute/wire"
)

// anyMethod in a rule matches each HTTP method.
const anyMethod = "*"

// Route leads a model name or a service name to a pool.
type Route struct {
	spec wire.Route
	// rules are sorted by falling length of their prefix; exact methods go before any method.
	rules    []wire.MethodRule
	fallback Rule
}

// Rule is what holds for one call.
type Rule struct {
	class      string
	idempotent bool
}

// Class returns the class of a call that names none.
func (r Rule) Class() string { return r.class }

// Idempotent tells whether the call may be repeated.
func (r Rule) Idempotent() bool { return r.idempotent }

func newRoute(spec wire.Route, classes map[string]wire.Class) Route {
	r := Route{spec: spec, rules: slices.Clone(spec.Methods)}
	slices.SortStableFunc(r.rules, compareRules)
	r.fallback = Rule{class: spec.Class}
	if spec.Kind == wire.RouteKindModel {
		r.fallback.idempotent = classes[spec.Class].Idempotent
	}
	return r
}

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

// Kind returns what the route leads to.
func (r Route) Kind() wire.RouteKind { return r.spec.Kind }

// Pool returns the name of the pool that serves the route.
func (r Route) Pool() string { return r.spec.Pool }

// Class returns the class of a request that names none.
func (r Route) Class() string { return r.spec.Class }

// Open tells whether the route needs no key.
func (r Route) Open() bool { return r.spec.Open }

// OpenWorkspace returns the workspace to which open requests are counted.
func (r Route) OpenWorkspace() string { return r.spec.OpenWorkspace }

// Rule returns what holds for a call: the longest matching prefix, and among equal ones the exact method.
// callPath is that below /v1/services/NAME and starts with a slash. A call to a service that no rule
// matches, or whose path a server may read in another way, has the route's class and is not idempotent.
func (r Route) Rule(method, callPath string) Rule {
	if r.spec.Kind == wire.RouteKindService && !isPlain(callPath) {
		return r.fallback
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
	return r.fallback
}

// isPlain tells whether a path has one reading only: no escapes, no empty segments and none of dots.
func isPlain(p string) bool {
	p, _, _ = strings.Cut(p, "?")
	if p == "/" {
		return true
	}
	return !strings.ContainsAny(p, "%\\") && path.Clean(p) == strings.TrimSuffix(p, "/")
}

// hasPathPrefix tells whether p is prefix or lies below it: /order matches /order and /order/7, not /orders.
func hasPathPrefix(p, prefix string) bool {
	rest, ok := strings.CutPrefix(p, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || strings.HasPrefix(rest, "/") || strings.HasPrefix(rest, "?")
}
