package web

import (
	"net/http"
	"slices"
	"time"
)

// PlatformFaults are the faults that all stand-ins of platform services have in common.
type PlatformFaults struct {
	// Down responds to every call with status 503.
	Down bool `json:"down"`
	// SlowMs delays the execution of each call, in milliseconds. The call is executed even if the caller disconnects in
	// the meantime.
	SlowMs int `json:"slow_ms"`
	// LoseAnswers is the number of next writes that take effect but get no response.
	LoseAnswers int `json:"lose_answers"`
	// LoseKind limits LoseAnswers to writes of one kind of object; empty means any kind.
	LoseKind string `json:"lose_kind"`
	// CutInstances are the instances, by their X-Instance header, whose connections are closed without a response.
	CutInstances []string `json:"cut_instances"`
}

// IsCutOff reports whether the instance that sent r is in CutInstances.
func (f PlatformFaults) IsCutOff(r *http.Request) bool {
	return slices.Contains(f.CutInstances, r.Header.Get(InstanceHeader))
}

// Delay waits for the delay of SlowMs.
func (f PlatformFaults) Delay() {
	if f.SlowMs > 0 {
		time.Sleep(Millis(f.SlowMs))
	}
}

// ConsumeLostAnswer reports whether the response to a write of an object of this kind is to be lost. If so, it
// decrements LoseAnswers.
func (f *PlatformFaults) ConsumeLostAnswer(kind string) bool {
	if f.LoseAnswers <= 0 || (f.LoseKind != "" && f.LoseKind != kind) {
		return false
	}
	f.LoseAnswers--
	return true
}

// WithFaults wraps the handler of a platform API so that the faults apply to each call.
func WithFaults(faults *Faults[PlatformFaults], next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := faults.Get()
		if f.IsCutOff(r) {
			AbortConnection()
		}
		if f.Down {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		f.Delay()
		next(w, r)
	}
}
