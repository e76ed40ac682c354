package registry

import (
	"maps"
	"slices"
	"time"
)

// MaxVersionMemory is the longest time for which the software version of servers that are gone is remembered: callers wait
// for a stream no longer.
const MaxVersionMemory = time.Hour

// rememberVersion remembers the software version of a server that is gone. The caller holds mu.
func (r *Registry) rememberVersion(e Entry) { r.goneVersionsOf(e.Pool)[e.Version] = time.Now() }

// goneVersionsOf returns the software versions of a pool's servers that are gone, without those that are forgotten. The
// caller holds mu.
func (r *Registry) goneVersionsOf(pool string) map[string]time.Time {
	if r.goneVersions == nil {
		r.goneVersions = map[string]map[string]time.Time{}
	}
	versions := r.goneVersions[pool]
	if versions == nil {
		versions = map[string]time.Time{}
		r.goneVersions[pool] = versions
	}
	now := time.Now()
	maps.DeleteFunc(versions, func(_ string, goneAt time.Time) bool { return now.Sub(goneAt) > MaxVersionMemory })
	return versions
}

// AddVersion records that servers of a pool had a software version, as another process observed it. If this one doesn't
// know the version, its last server counts as gone now.
func (r *Registry) AddVersion(pool, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	gone := r.goneVersionsOf(pool)
	if _, ok := gone[version]; !ok {
		gone[version] = time.Now()
		r.versionChanges++
	}
}

// VersionChanges returns a number that grows with each change of the servers, and so whenever Versions has more than before.
func (r *Registry) VersionChanges() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versionChanges
}

// Versions returns the software versions, in order, of a pool's servers and of those that were removed or restarted within
// a time, at most MaxVersionMemory.
func (r *Registry) Versions(pool string, within time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions, now := map[string]bool{}, time.Now()
	for version, goneAt := range r.goneVersions[pool] {
		if now.Sub(goneAt) <= within {
			versions[version] = true
		}
	}
	for _, srv := range r.servers {
		if e := srv.Entry(); e.Pool == pool {
			versions[e.Version] = true
		}
	}
	return slices.Sorted(maps.Keys(versions))
}
