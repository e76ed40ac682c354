package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/toucanroute/toucanroute/platform/platformtest"
)

func init() { cases["3"] = removedAfterOutage }

const (
	// outageTime is the length of the store's outage: 4.5 s, as in the list of troubles of the site file.
	outageTime = 4500 * time.Millisecond
	// stableAfter is the time after the outage from which the store counts as stable: contactMs, and some slack.
	stableAfter = 3300 * time.Millisecond
	// removalGap is the time between the two removals.
	removalGap = 50 * time.Millisecond
	// lingerTime is the time for which a backend server serves after its entry was removed: drainMs and a little longer.
	lingerTime = drainTime + 100*time.Millisecond
	// watchTime is the time for which requests go on after the last removal.
	watchTime = 4 * time.Second
)

// removedAfterOutage removes the entries of two backend servers, which never report that they drain, once the store has
// been back for longer than contactMs. The rule allows requests to reach them for drainMs.
func removedAfterOutage(w *world) int {
	w.configure(route{prefix: "/puxa403/", kind: "non_idempotent", service: "pedidos", attempts: 1, timeoutMs: 2000})
	var mu sync.Mutex
	removedAt := map[string]time.Time{}
	late, latest := 0, time.Duration(0)
	var runners []*runner
	for i := range 4 {
		name := fmt.Sprintf("i-%d", i)
		runners = append(runners, w.startRunner(name, "pedidos", "recife-a", func(rw http.ResponseWriter, req *http.Request) {
			now, id := time.Now(), req.Header.Get("X-Toucanroute-Attempt-Id")
			mu.Lock()
			if at, ok := removedAt[name]; ok && now.Sub(at) > drainTime {
				late++
				latest = max(latest, now.Sub(at))
				w.note("BROKEN DRAIN: %s reaches %s %d ms after the store acknowledged its removal", id, name, now.Sub(at).Milliseconds())
			}
			mu.Unlock()
			_, _ = io.Copy(io.Discard, req.Body)
			time.Sleep(5 * time.Millisecond)
			rw.Header().Set("X-Toucanroute-Response-Signature", mac(id, "ok"))
			rw.Header().Set("X-Toucanroute-Instance-Load", "1,0,64")
			_, _ = io.WriteString(rw, "ok")
		}))
	}
	zones := []string{"recife-a"}
	var daemons []*daemon
	for i := range 4 {
		daemons = append(daemons, w.startDaemon(fmt.Sprintf("edge-recife-a-%d", i+1), "recife-a", zones))
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var sent, failed atomic.Int64
	for i, d := range daemons {
		for k := range 4 {
			callers.Go(func() {
				c, err := dial(d.callers)
				if err != nil {
					return
				}
				defer c.Close()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					sent.Add(1)
					if r := c.send("POST", "/puxa403/2f", fmt.Sprintf("e%d-%d-%d", i+1, k, n), 1500, "", []byte("reserve")); r.status != 200 {
						failed.Add(1)
						w.note("at %s: %v", d.name, r)
						if r.err != nil || r.close {
							return
						}
					}
				}
			})
		}
	}
	time.Sleep(time.Second)
	if w.trouble {
		w.note("the store is down (503)")
		w.store.SetFault(platformtest.Unavailable)
	}
	time.Sleep(outageTime)
	if w.trouble {
		w.store.SetFault(platformtest.NoFault)
		w.note("the store is back")
	}
	time.Sleep(stableAfter)
	for _, r := range runners[:2] {
		mu.Lock()
		w.store.DeleteObject("servers", r.id)
		removedAt[r.id] = time.Now()
		mu.Unlock()
		w.note("the store removes the entry of %s, which serves on for %v and then exits", r.id, lingerTime)
		time.AfterFunc(lingerTime, r.close)
		time.Sleep(removalGap)
	}
	time.Sleep(watchTime)
	close(stop)
	callers.Wait()
	w.note("%d requests sent, %d not answered with 200; %d reached a removed server later than %v, the last %v after its removal", sent.Load(), failed.Load(), late, drainTime, latest)
	return late
}
