package web

import (
	"net/http"
	"slices"
	"time"
)

// PlatformFaults are the faults that all of the platform's stand-ins share.
type PlatformFaults struct {
	// Down answers 503 to every call.
	Down bool `json:"down"`
	// SlowMs delays each call before it takes effect, also when the caller has left meanwhile.
	SlowMs int `json:"slow_ms"`
	// LoseAnswers is the number of writes that still take effect without an answer.
	LoseAnswers int `json:"lose_answers"`
	// LoseKind limits LoseAnswers to one kind of object; empty is any.
	LoseKind string `json:"lose_kind"`
	// CutInstances are instances, by their X-Instance header, whose connections are closed unanswered.
	CutInstances []string `json:"cut_instances"`
}

// Cuts tells whether the sender of r is cut off.
func (f PlatformFaults) Cuts(r *http.Request) bool {
	return slices.Contains(f.CutInstances, r.Header.Get(InstanceHeader))
}

// Wait waits as long as a slow platform takes before a call has effect.
func (f PlatformFaults) Wait() {
	if f.SlowMs > 0 {
		time.Sleep(Millis(f.SlowMs))
	}
}

// TakeLost tells whether the answer to a write of kind gets lost, and counts it.
func (f *PlatformFaults) TakeLost(kind string) bool {
	if f.LoseAnswers <= 0 || (f.LoseKind != "" && f.LoseKind != kind) {
		return false
	}
	f.LoseAnswers--
	return true
}

// Guard answers calls of platform interfaces under the faults in force.
func Guard(faults *Faults[PlatformFaults], next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := faults.Get()
		if f.Cuts(r) {
			Drop()
		}
		if f.Down {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		f.Wait()
		next(w, r)
	}
}
