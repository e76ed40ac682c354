package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["1"] = refusedForMemory }

const (
	// usualCallers is the usual number of requesters that upload at the same time, and burstCallers that of a burst (x 2.3).
	usualCallers, burstCallers = 26, 60
	// uploadBytes is the size of an upload, well below maxBodyBytes.
	uploadBytes = 1_600_000
	// bursts is the number of times that they all upload.
	bursts = 3
	// uploadTime is the time that a server works on an upload.
	uploadTime = 1200 * time.Millisecond
	// pause is the time after which a requester uses its channel again: longer than any Retry-After that it got.
	pause = 400 * time.Millisecond
)

// refusedForMemory has a burst of uploads for whose bodies the machine has no memory. It refuses some of them with 503, as
// it should. Requesters then send small requests on the same channels.
func refusedForMemory(w *world) int {
	w.configure(route{prefix: "/puxa403/", kind: "non_idempotent", service: "pedidos", attempts: 1, timeoutMs: 5000})
	var mu sync.Mutex
	runs, broken := map[string]int{}, 0
	for i := range 3 {
		w.startRunner("i-"+strconv.Itoa(i), "pedidos", "recife-a", func(rw http.ResponseWriter, req *http.Request) {
			id := req.Header.Get("X-Toucanroute-Attempt-Id")
			n, err := io.Copy(io.Discard, req.Body)
			if err != nil {
				return
			}
			mu.Lock()
			runs[id]++
			mu.Unlock()
			w.note("%s runs, %d bytes", id, n)
			if n == uploadBytes {
				time.Sleep(uploadTime)
			}
			body := "booked " + id
			rw.Header().Set("X-Toucanroute-Response-Signature", mac(id, body))
			_, _ = io.WriteString(rw, body)
		})
	}
	d := w.startDaemon("edge-recife-a-1", "recife-a", []string{"recife-a"})
	time.Sleep(contactTime + 500*time.Millisecond)
	callers := burstCallers
	if !w.trouble {
		callers = usualCallers
	}
	payload := bytes.Repeat([]byte("x"), uploadBytes)
	send := func(c *channel, id string, body []byte) answer {
		w.note("%s is sent, %d bytes", id, len(body))
		a := c.send("POST", "/puxa403/2f", id, 5000, "", body)
		w.note("%s is answered: %v", id, a)
		if a.status/100 == 2 && (a.err != nil || string(a.body) != "booked "+id || a.header.Get("X-Toucanroute-Response-Signature") != mac(id, string(a.body))) {
			mu.Lock()
			broken++
			w.note("BROKEN MIXED: %s gets a success without the server's MAC and body; it has run %d times", id, runs[id])
			mu.Unlock()
		}
		return a
	}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			var c *channel
			defer func() {
				if c != nil {
					_ = c.Close()
				}
			}()
			for k := range bursts {
				for n := range 3 {
					if c == nil {
						var err error
						if c, err = dial(d.callers); err != nil {
							w.note("requester %d: %v", i, err)
							return
						}
					}
					body := []byte("reserve")
					if n == 0 {
						body = payload
					}
					if a := send(c, fmt.Sprintf("c%d-%d-%d", i, k, n), body); a.err != nil || a.close {
						_ = c.Close()
						c = nil
					}
					time.Sleep(pause)
				}
				time.Sleep(time.Until(w.started.Add(contactTime + 500*time.Millisecond + time.Duration(k+1)*4*time.Second)))
			}
		})
	}
	wg.Wait()
	return broken
}
