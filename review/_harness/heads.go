package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["5"] = longHeads }

const (
	// usualRequests and burstRequests are the numbers of requests that run at the same time, without and with a burst (x 2.3).
	usualRequests, burstRequests = 500, 1150
	// engines is the number of the servers, slots that of the requests that each runs at once, and queued that of those which
	// may wait there, as on the site.
	engines, slots, queued = 18, 64, 192
	// partsBytes is the length of the header that lists the parts of a prompt: the head stays below maxHeaderBytes (16,384).
	partsBytes = 15_000
	// engineTime is the time that a server works on a request.
	engineTime = 4 * time.Second
)

// longHeads has a burst of requests that list many parts of their prompts. The servers have room for all of them.
func longHeads(w *world) int {
	w.configure(route{prefix: "/lohu930/", kind: "non_idempotent", service: "assistente", attempts: 1, timeoutMs: 15000})
	var running atomic.Int64
	for i := range engines {
		room, waiting := make(chan struct{}, slots), make(chan struct{}, slots+queued)
		w.startRunner(fmt.Sprintf("i-%d", i), "assistente", "recife-a", func(rw http.ResponseWriter, req *http.Request) {
			id := req.Header.Get("X-Toucanroute-Attempt-Id")
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			select {
			case waiting <- struct{}{}:
			default:
				rw.Header().Set("X-Toucanroute-Not-Executed", "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			defer func() { <-waiting }()
			room <- struct{}{}
			defer func() { <-room }()
			if string(body) == "long" {
				running.Add(1)
				defer running.Add(-1)
				time.Sleep(engineTime)
			}
			rw.Header().Set("X-Toucanroute-Response-Signature", mac(id, "ok"))
			_, _ = io.WriteString(rw, "ok")
		})
	}
	d := w.startDaemon("edge-recife-a-1", "recife-a", []string{"recife-a"})
	time.Sleep(contactTime + 500*time.Millisecond)
	requests := burstRequests
	if !w.trouble {
		requests = usualRequests
	}
	stop := make(chan struct{})
	var background, wg sync.WaitGroup
	var peak, atWork int64
	background.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			taken := int64(d.memoryMb())
			peak = max(peak, taken)
			if taken > memoryMb {
				atWork = running.Load()
				w.note("%s takes %d MB of %d: the platform kills it; servers work on %d requests", d.name, taken, memoryMb, atWork)
				_ = d.cmd.Process.Kill()
				return
			}
		}
	})
	parts := "X-Toucanroute-Model-Id: m\r\nX-Toucanroute-Token-Usage: 20000,100\r\nX-Toucanroute-Prefix-Hash: " +
		strings.TrimSuffix(strings.Repeat("5c1e07a2:16,", partsBytes/12), ",") + "\r\n"
	var mu sync.Mutex
	statuses, lost := map[int]int{}, 0
	for i := range requests {
		wg.Go(func() {
			c, err := dial(d.callers)
			if err != nil {
				w.note("requester %d: %v", i, err)
				return
			}
			defer c.Close()
			// The channel is kept from an earlier request.
			if a := c.send("POST", "/lohu930/2f", fmt.Sprintf("r%d-0", i), 15000, "", []byte("short")); a.status != http.StatusOK || a.close {
				w.note("first request of channel %d: %v", i, a)
				return
			}
			time.Sleep(500 * time.Millisecond)
			a := c.send("POST", "/lohu930/2f", fmt.Sprintf("r%d-1", i), 15000, parts, []byte("long"))
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if a.status == 0 {
				lost++
				if lost <= 5 {
					w.note("second request of channel %d: %v", i, a)
				}
			}
		})
	}
	wg.Wait()
	close(stop)
	background.Wait()
	w.note("second requests by status (0: no answer): %v; peak %d MB", statuses, peak)
	w.note("%d requests of kept channels got no answer; servers worked on %d requests when the machine was killed", lost, atWork)
	if n := min(int64(lost), atWork); n > 3 {
		return int(n)
	}
	return 0
}
