package streamorigin

import (
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/version/hostroute"
)

// fakeServers holds the versions of the servers of the pools p and q with the times at which they left; zero for those that
// serve.
type fakeServers struct {
	mu       sync.Mutex
	versions map[string]map[string]time.Time
}

func (s *fakeServers) set(pool, version string, leftAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions == nil {
		s.versions = map[string]map[string]time.Time{}
	}
	if s.versions[pool] == nil {
		s.versions[pool] = map[string]time.Time{}
	}
	s.versions[pool][version] = leftAt
}

func (s *fakeServers) list(pool string, within time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, v := range slices.Sorted(maps.Keys(s.versions[pool])) {
		if leftAt := s.versions[pool][v]; leftAt.IsZero() || time.Since(leftAt) <= within {
			list = append(list, v)
		}
	}
	return list
}

func (s *fakeServers) add(pool, version string) {
	s.mu.Lock()
	_, ok := s.versions[pool][version]
	s.mu.Unlock()
	if !ok {
		s.set(pool, version, time.Now())
	}
}

// routeTimeout is the timeout of the route "r".
const routeTimeout = 10 * time.Second

// streamRoute returns the route "r" to some pools.
func streamRoute(pools ...string) []hostroute.Route {
	r := hostroute.Route{Name: "r", Host: "h", Prefix: "/s/", Kind: hostroute.Stream, Resumable: true, Timeout: routeTimeout}
	for _, pool := range pools {
		r.Shares = append(r.Shares, hostroute.Share{Pool: pool, Weight: 1})
	}
	return []hostroute.Route{r}
}

// newHistory returns the history of a process that has just started, in front of servers of some versions of the pool p.
func newHistory(versions ...string) (*History, *fakeServers) {
	s := &fakeServers{}
	for _, v := range versions {
		s.set("p", v, time.Time{})
	}
	h := &History{Versions: s.list, AddVersion: s.add}
	h.SetRoutes(streamRoute("p"))
	h.BeginWatch()
	return h, s
}

// only returns the only origin of the route "r" as POOL/VERSION; empty if that isn't certain.
func (h *History) only() string {
	origin, answer := h.Only("h", "/s/")
	if answer != Single {
		return ""
	}
	return origin.Pool + "/" + origin.Version
}

func TestOnlyOriginIsCertainAfterLongWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, s := newHistory("v1")
		assert.Equal(t, h.only(), "")
		time.Sleep(takeUpTime + routeTimeout)
		assert.Equal(t, h.only(), "", "a stream of what left before the start may still be taken up")
		time.Sleep(time.Second)
		assert.Equal(t, h.only(), "p/v1")
		s.set("p", "v2", time.Now())
		time.Sleep(takeUpTime + routeTimeout)
		assert.Equal(t, h.only(), "")
		time.Sleep(time.Second)
		assert.Equal(t, h.only(), "p/v1")
	})
}

// A route that was led to another pool, or to one more, has streams of both for a while.
func TestFormerPoolCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, s := newHistory("v1")
		h.MarkComplete()
		s.set("q", "v1", time.Time{})
		assert.Equal(t, h.only(), "p/v1")
		h.SetRoutes(streamRoute("p", "q"))
		assert.Equal(t, h.only(), "")
		h.SetRoutes(streamRoute("q"))
		time.Sleep(takeUpTime + routeTimeout)
		assert.Equal(t, h.only(), "")
		time.Sleep(time.Second)
		assert.Equal(t, h.only(), "q/v1")
		time.Sleep(maxRouteMemory)
		h.SetRoutes(nil)
		assert.Assert(t, h.HasRoutes())
		time.Sleep(maxRouteMemory + time.Second)
		h.SetRoutes(nil)
		assert.Assert(t, !h.HasRoutes())
	})
}

// A stream is taken up under the path under which it began: a route that has another name or another prefix now may have led
// it to another pool, also in the life of an earlier process.
func TestFormerRouteOfPathCounts(t *testing.T) {
	at := func(name, host, prefix, pool string) hostroute.Route {
		r := streamRoute(pool)[0]
		r.Name, r.Host, r.Prefix = name, host, prefix
		return r
	}
	for name, tc := range map[string]struct {
		former []hostroute.Route
		want   Answer
	}{
		"the same":                {streamRoute("q"), Single},
		"renamed":                 {[]hostroute.Route{at("old", "h", "/s/", "p")}, Several},
		"host in capital letters": {[]hostroute.Route{at("old", "H", "/s/", "p")}, Several},
		"narrower prefix removed": {[]hostroute.Route{at("r", "h", "/s/", "q"), at("narrow", "h", "/s/x/", "p")}, Several},
		"narrower prefix added":   {[]hostroute.Route{at("wide", "h", "/", "p")}, Several},
		"other prefix":            {[]hostroute.Route{at("r", "h", "/s/", "q"), at("other", "h", "/t/", "p")}, Single},
		"other host":              {[]hostroute.Route{at("r", "h", "/s/", "q"), at("other", "h.example", "/s/", "p")}, Single},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeServers{}
				s.set("p", "v1", time.Time{})
				s.set("q", "v1", time.Time{})
				h := &History{Versions: s.list, AddVersion: s.add}
				h.MarkComplete()
				h.SetRoutes(tc.former)
				next := &History{Versions: s.list, AddVersion: s.add}
				next.SetRoutes(streamRoute("q"))
				next.Merge(h.Record(0))
				next.MarkComplete()
				h.SetRoutes(streamRoute("q"))
				for _, h := range []*History{h, next} {
					_, got := h.Only("h", "/s/")
					assert.Equal(t, got, tc.want)
				}
				time.Sleep(takeUpTime + routeTimeout + time.Second)
				for _, h := range []*History{h, next} {
					assert.Equal(t, h.only(), "q/v1")
				}
			})
		})
	}
}

// What an earlier process recorded counts as leaving at the start of the next one.
func TestRecordHoldsForNextProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, s := newHistory("v1")
		before.MarkComplete()
		s.set("p", "v0", time.Now())
		time.Sleep(time.Minute)
		record := before.Record(0)
		after, _ := newHistory("v2")
		after.Merge(record)
		after.MarkComplete()
		assert.DeepEqual(t, after.Record(0).Pools["p"], []string{"v0", "v1", "v2"})
		time.Sleep(takeUpTime + routeTimeout)
		assert.Equal(t, after.only(), "")
		after.Merge(record)
		time.Sleep(time.Second)
		assert.Equal(t, after.only(), "p/v2", "a record that is read again doesn't renew what has left")
	})
}
