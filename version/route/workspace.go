package route

import "github.com/toucanroute/toucanroute/wire"

// defaultWeight is the weight of a workspace whose configuration gives none.
const defaultWeight = 1

// Workspace is a customer with its rights, its weight and its rate limits.
type Workspace struct {
	spec    wire.Workspace
	classes map[string]bool
}

func newWorkspace(spec wire.Workspace) Workspace {
	w := Workspace{spec: spec, classes: make(map[string]bool, len(spec.Classes))}
	for _, class := range spec.Classes {
		w.classes[class] = true
	}
	return w
}

// Name returns the name of the workspace.
func (w Workspace) Name() string { return w.spec.Name }

// MayUse reports whether the workspace has the right to use class.
func (w Workspace) MayUse(class string) bool { return w.classes[class] }

// Classes returns the names of the classes that the workspace may use. Callers must not change them.
func (w Workspace) Classes() []string { return w.spec.Classes }

// Weight returns the workspace's weight against the other workspaces of a tier when capacity is short; it is more than
// 0.
func (w Workspace) Weight() float64 {
	if w.spec.Weight == 0 {
		return defaultWeight
	}
	return w.spec.Weight
}

// RequestsPerSecond returns the rate limit on requests; 0 means no limit.
func (w Workspace) RequestsPerSecond() float64 { return w.spec.RequestsPerSecond }

// TokensPerSecond returns the rate limit on generated tokens; 0 means no limit.
func (w Workspace) TokensPerSecond() float64 { return w.spec.TokensPerSecond }
