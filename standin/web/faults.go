package web

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Faults holds the current faults of a stand-in. F is the struct of the faults that this stand-in can simulate, as
// exchanged in JSON; its zero value means no fault.
type Faults[F any] struct {
	// OnChange, if set, is called with the new faults after each change by Patch or Update.
	OnChange func(F)

	mu    sync.Mutex
	value F
	// changed is the channel that Changed returns; nil if it hasn't been called since the last change.
	changed chan struct{}
}

// Get returns the current faults.
func (f *Faults[F]) Get() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Changed returns a channel that is closed at the next change by Patch or Update.
func (f *Faults[F]) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// Update calls update to change the faults, and closes the channel that Changed returned.
func (f *Faults[F]) Update(update func(*F)) {
	f.mu.Lock()
	update(&f.value)
	value := f.value
	f.notifyLocked()
	f.mu.Unlock()
	if f.OnChange != nil {
		f.OnChange(value)
	}
}

// Consume calls update with the faults, atomically, and returns the result of update. It is for faults that apply to a
// limited number of calls, which update counts down. It neither calls OnChange nor closes the channel that Changed
// returned.
func (f *Faults[F]) Consume(update func(*F) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return update(&f.value)
}

// Patch sets the fields that are present in data, a JSON object. An unknown field is an error.
func (f *Faults[F]) Patch(data []byte) error {
	f.mu.Lock()
	next, err := applyPatch(f.value, data)
	if err != nil {
		f.mu.Unlock()
		return err
	}
	f.value = next
	f.notifyLocked()
	f.mu.Unlock()
	if f.OnChange != nil {
		f.OnChange(next)
	}
	return nil
}

// ServeHTTP handles /admin/faults: a POST patches the faults. The response holds the current faults.
func (f *Faults[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxAdminBodyBytes))
	if err != nil {
		AbortConnection()
	}
	if r.Method == http.MethodPost {
		if err := f.Patch(data); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	WriteJSON(w, http.StatusOK, f.Get())
}

// notifyLocked closes the channel that Changed returned. The caller must hold mu.
func (f *Faults[F]) notifyLocked() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// applyPatch returns a deep copy of value with the fields that are present in data replaced.
func applyPatch[F any](value F, data []byte) (F, error) {
	var next F
	old, err := json.Marshal(value)
	if err != nil {
		return next, err
	}
	if err := json.Unmarshal(old, &next); err != nil {
		return next, err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&next); err != nil {
		return next, fmt.Errorf("faults: %w", err)
	}
	return next, nil
}
