package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

func init() { cases["4"] = leadingSlashes }

// leadingSlashes sends requests whose path begins with two slashes, as it does if a requester joins a base address that
// ends in a slash and a path that begins with one. They match the route with the prefix "/".
func leadingSlashes(w *world) int {
	w.configure(route{prefix: "/", kind: "non_idempotent", service: "pedidos", attempts: 1, timeoutMs: 2000})
	received := make(chan string, 1)
	w.startRunner("i-0", "pedidos", "recife-a", func(rw http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("X-Toucanroute-Attempt-Id")
		_, _ = io.Copy(io.Discard, req.Body)
		received <- req.RequestURI
		rw.Header().Set("X-Toucanroute-Response-Signature", mac(id, "ok"))
		_, _ = io.WriteString(rw, "ok")
	})
	d := w.startDaemon("edge-recife-a-1", "recife-a", []string{"recife-a"})
	time.Sleep(contactTime + 500*time.Millisecond)
	paths := []string{"//puxa403/2f", "//v1/bookings/cancel?id=7", "//a//b"}
	if !w.trouble {
		paths = []string{"/puxa403/2f", "/v1/bookings/cancel?id=7", "/a//b"}
	}
	broken := 0
	for i, path := range paths {
		c, err := dial(d.callers)
		if err != nil {
			cantRun("dial: %v", err)
		}
		id := fmt.Sprintf("r%d", i)
		a := c.send("POST", path, id, 2000, "", []byte("reserve"))
		_ = c.Close()
		w.note("%s is sent with the path %s and answered: %v", id, path, a)
		select {
		case got := <-received:
			w.note("%s runs with the path %s", id, got)
			if got != path {
				broken++
				w.note("BROKEN UNASKED: the path of %s was changed", id)
			}
		default:
			w.note("%s doesn't run", id)
		}
	}
	return broken
}
