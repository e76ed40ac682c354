package web

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Faults holds the faults in force, a struct of plain JSON fields. The zero value has no fault.
type Faults[F any] struct {
	// OnChange, if set, gets the new faults after each change by Patch or Update.
	OnChange func(F)

	mu      sync.Mutex
	value   F
	changed chan struct{}
}

// Get returns the faults in force.
func (f *Faults[F]) Get() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Changed returns a channel that closes at the next change.
func (f *Faults[F]) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// Update changes the faults in place and wakes those that wait for a change.
func (f *Faults[F]) Update(change func(*F)) {
	f.mu.Lock()
	change(&f.value)
	value := f.value
	f.wake()
	f.mu.Unlock()
	if f.OnChange != nil {
		f.OnChange(value)
	}
}

// Take calls take with the faults in force and returns what it tells; it wakes nobody.
func (f *Faults[F]) Take(take func(*F) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return take(&f.value)
}

// Patch sets the fields that data, a JSON object, names; an unknown field is an error.
func (f *Faults[F]) Patch(data []byte) error {
	f.mu.Lock()
	next, err := patched(f.value, data)
	if err != nil {
		f.mu.Unlock()
		return err
	}
	f.value = next
	f.wake()
	f.mu.Unlock()
	if f.OnChange != nil {
		f.OnChange(next)
	}
	return nil
}

// ServeHTTP answers POST /admin/faults with the faults then in force.
func (f *Faults[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxAdminBody))
	if err != nil {
		Drop()
	}
	if r.Method == http.MethodPost {
		if err := f.Patch(data); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	Write(w, http.StatusOK, f.Get())
}

func (f *Faults[F]) wake() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// patched returns a deep copy of value with the fields of data set.
func patched[F any](value F, data []byte) (F, error) {
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
