// Package evacuation keeps which data centres operators have evacuated: no request is sent to the backend servers of such a
// data centre until its evacuation ends. Evacuations are objects of the platform's store, named after data centres.
package evacuation

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// keptAfterRewind is the time for which an evacuation is kept that a store which came back from an older copy has lost.
	// An operator notices the loss and begins it again in that time, or wants it no more.
	keptAfterRewind = time.Minute
	// maxIgnored bounds the names of unknown data centres that are remembered as logged.
	maxIgnored = 100
)

// Table holds the evacuations as one instance knows them. Set the fields before use.
type Table struct {
	// DataCentres returns the data centres of the deployment. Evacuations of others are ignored. While all of them are
	// evacuated, which can't be meant, the evacuation that changed last isn't in force.
	DataCentres func() []string
	// OnChange is called with the data centres whose evacuations are in force when these change. It must not call the table.
	OnChange func(inForce map[string]bool)
	Log      *zap.Logger

	mu sync.Mutex
	// versions holds the store's versions of the evacuations at their last change, by data centre.
	versions map[string]int
	// lostAt holds the times at which a rewind of the store lost evacuations that are kept.
	lostAt map[string]time.Time
	// ignored holds the names that were logged as unknown, and spared the data centre whose evacuation was logged as not in
	// force.
	ignored map[string]bool
	spared  string
	inForce map[string]bool
}

// Replace replaces the evacuations by a list, which holds versions by data centre. After a rewind of the store, those that
// the list lacks are kept for a while.
func (t *Table) Replace(list map[string]int, rewound bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	now := time.Now()
	for name := range t.versions {
		if _, ok := list[name]; ok {
			continue
		}
		lostAt, lost := t.lostAt[name]
		switch {
		case rewound && !lost:
			t.lostAt[name] = now
			t.Log.Warn("evacuation_kept", zap.String("data_centre", name), zap.Duration("for", keptAfterRewind))
			time.AfterFunc(keptAfterRewind, t.expire)
		case lost && now.Sub(lostAt) < keptAfterRewind:
		default:
			t.remove(name)
		}
	}
	for name, version := range list {
		t.put(name, version)
	}
	t.update()
}

// Put adds an evacuation that the store has.
func (t *Table) Put(name string, version int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.put(name, version)
	t.update()
}

// Remove removes an evacuation that was deleted.
func (t *Table) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.remove(name)
	t.update()
}

// Refresh finds the evacuations that are in force again, after the data centres of the deployment have changed.
func (t *Table) Refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.versions != nil {
		t.update()
	}
}

// InForce returns the data centres whose evacuations are in force, in order.
func (t *Table) InForce() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.inForce))
}

func (t *Table) init() {
	if t.versions == nil {
		t.versions, t.lostAt, t.ignored = map[string]int{}, map[string]time.Time{}, map[string]bool{}
	}
}

// put adds an evacuation. The caller holds mu.
func (t *Table) put(name string, version int) {
	delete(t.lostAt, name)
	t.versions[name] = version
}

// remove removes an evacuation. The caller holds mu.
func (t *Table) remove(name string) {
	delete(t.lostAt, name)
	delete(t.versions, name)
	delete(t.ignored, name)
}

// expire removes the evacuations that a rewind of the store has lost and that have been kept for long enough.
func (t *Table) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, at := range t.lostAt {
		if time.Since(at) >= keptAfterRewind {
			t.remove(name)
		}
	}
	t.update()
}

// update finds the evacuations that are in force, and logs and reports a change. The caller holds mu.
func (t *Table) update() {
	known := t.DataCentres()
	inForce := map[string]bool{}
	for name := range t.versions {
		if slices.Contains(known, name) {
			inForce[name] = true
			continue
		}
		if !t.ignored[name] && len(t.ignored) < maxIgnored {
			t.ignored[name] = true
			t.Log.Warn("evacuation_ignored", zap.String("data_centre", name), zap.Strings("known", known))
		}
	}
	t.spareOne(inForce, known)
	if maps.Equal(inForce, t.inForce) {
		return
	}
	for _, name := range known {
		if inForce[name] != t.inForce[name] {
			event := "evacuation_ended"
			if inForce[name] {
				event = "evacuation_begun"
			}
			t.logChange(event, name)
		}
	}
	t.inForce = inForce
	t.OnChange(maps.Clone(inForce))
}

func (t *Table) logChange(event, name string) {
	t.Log.Info(event, zap.String("data_centre", name), zap.Int("version", t.versions[name]))
}

// spareOne takes the newest evacuation out if all data centres are evacuated. The caller holds mu.
func (t *Table) spareOne(inForce map[string]bool, known []string) {
	if len(inForce) == 0 || len(inForce) < len(known) {
		t.spared = ""
		return
	}
	newest := slices.MaxFunc(slices.Sorted(maps.Keys(inForce)), func(a, b string) int { return t.versions[a] - t.versions[b] })
	delete(inForce, newest)
	if newest != t.spared {
		t.spared = newest
		t.Log.Warn("evacuation_not_in_force", zap.String("data_centre", newest), zap.Strings("known", known))
	}
}
