package registry

import (
	"maps"
	"time"
)

// versionMemory is the time for which the software version of a server that is gone counts: streams that it began may
// still be taken up.
const versionMemory = 2 * time.Minute

// rememberVersion remembers the software version of a server that is gone. The caller holds mu.
func (r *Registry) rememberVersion(e Entry) {
	if r.goneVersions == nil {
		r.goneVersions = map[string]map[string]time.Time{}
	}
	versions := r.goneVersions[e.Pool]
	if versions == nil {
		versions = map[string]time.Time{}
		r.goneVersions[e.Pool] = versions
	}
	now := time.Now()
	maps.DeleteFunc(versions, func(_ string, goneAt time.Time) bool { return now.Sub(goneAt) > versionMemory })
	versions[e.Version] = now
}

// OnlyVersion returns the software version of a pool's servers if all of them have the same, also those that were
// removed within versionMemory.
func (r *Registry) OnlyVersion(pool string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions, now := map[string]bool{}, time.Now()
	for version, goneAt := range r.goneVersions[pool] {
		if now.Sub(goneAt) <= versionMemory {
			versions[version] = true
		}
	}
	for _, srv := range r.servers {
		if e := srv.Entry(); e.Pool == pool {
			versions[e.Version] = true
		}
	}
	for version := range versions {
		return version, len(versions) == 1
	}
	return "", false
}
