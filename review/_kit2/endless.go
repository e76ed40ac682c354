package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// endlessShare is the share of its answers that don't end, of one server of three.
	endlessShare  = 0.03
	endlessTime   = 20 * time.Second
	endlessChunk  = 4096
	endlessPause  = 2 * time.Millisecond
	endlessCaller = 30
	routeTimeout  = 800 * time.Millisecond
	// unansweredSlack is the time after the route's timeout at which a request must have its final answer.
	unansweredSlack = 500 * time.Millisecond
)

// endlessServer is a server that answers a part of its requests with a body that doesn't end until the caller closes.
type endlessServer struct {
	id      string
	w       *world
	trouble bool
	endless *atomic.Int64
}

func (s *endlessServer) handle(c *serverConn, r *http.Request, _ []byte) bool {
	id := r.Header.Get("X-Toucanroute-Attempt-Id")
	time.Sleep(tornWork)
	s.w.record.add("%s ran %s", s.id, id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Toucanroute-Attempt-Id: %s\r\nX-Toucanroute-Response-Signature: %s.%s\r\n", id, s.id, id)
	if !s.trouble || rand.Float64() >= endlessShare {
		text := "done " + id
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
		return true
	}
	s.endless.Add(1)
	s.w.record.add("%s begins a body without end for %s", s.id, id)
	_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", endlessChunk, strings.Repeat("x", endlessChunk))
	for began, n := time.Now(), 0; ; n++ {
		if _, err := io.WriteString(c, chunk); err != nil {
			s.w.record.add("%s: the daemon closed %s after %d ms and %d bytes", s.id, id, time.Since(began).Milliseconds(), n*endlessChunk)
			return false
		}
		time.Sleep(endlessPause)
	}
}

func init() {
	cases["endless"] = func(w *world, trouble bool) error {
		w.writeConfig(plainRoutes, services, oneTenant)
		var endless atomic.Int64
		for i, zone := range zones {
			s := &endlessServer{id: fmt.Sprintf("i-%d", i), w: w, trouble: trouble && i == 0, endless: &endless}
			if _, err := w.addServer(s.id, "app", zone, "v1", 6, s.handle); err != nil {
				return err
			}
		}
		if err := w.addDaemons(zones); err != nil {
			return err
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		// late counts the requests without a final answer at the route's timeout, and unanswered those of them without one
		// unansweredSlack later.
		n, late, unanswered := 0, 0, 0
		end := time.Now().Add(endlessTime)
		for k := range endlessCaller {
			wg.Go(func() {
				caller := &keptCaller{address: w.daemons[k%len(w.daemons)].callers}
				for i := 0; time.Now().Before(end); i++ {
					path := "/pay/x"
					if k%2 == 1 {
						path = "/look/x"
					}
					id := fmt.Sprintf("c%d-%d", k, i)
					a := caller.call("POST", "h.example", path, id, keyHeader, "x", deadline)
					took := a.ended.Sub(a.began)
					w.record.add("%s (%s) answered %d after %d ms, %d bytes, error %v", id, path, a.status, took.Milliseconds(), len(a.body), a.err)
					mu.Lock()
					n++
					if took > routeTimeout {
						late++
					}
					if took > routeTimeout+unansweredSlack {
						unanswered++
					}
					mu.Unlock()
					time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
				}
			})
		}
		wg.Wait()
		w.record.add("%d requests, %d bodies without end, %d requests without a final answer at the route's timeout, %d of them without one %s later", n, endless.Load(), late, unanswered, unansweredSlack)
		if unanswered >= 8 && 4*unanswered > late {
			return broken(fmt.Sprintf("CONFIG: %d of %d requests had no final answer at the route's timeout, %d of them had none %s later", late, n, unanswered, unansweredSlack))
		}
		return nil
	}
}
