package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["2"] = endlessHead }

// link shares out the bytes that servers in trouble send: 1,000 Mbit/s, as the link of a machine.
type link struct {
	mu   sync.Mutex
	next time.Time
}

const linkBytesPerS = 125_000_000

func (l *link) take(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(time.Duration(float64(n) / linkBytesPerS * float64(time.Second)))
	wait := l.next.Sub(now)
	l.mu.Unlock()
	if wait > time.Millisecond {
		time.Sleep(wait)
	}
}

// startTroubled starts a backend server that answers each request with a head without end, until the caller closes. If it
// is sound it answers as usual.
func (w *world) startTroubled(id, service, zone string, l *link, sent *atomic.Int64, trouble bool) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cantRun("runner: %v", err)
	}
	chunk := bytes.Repeat([]byte("x"), 64<<10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 64<<10)
				n, err := c.Read(buf)
				if err != nil {
					return
				}
				line, _, _ := bytes.Cut(buf[:n], []byte("\r\n"))
				w.note("%s got %s", id, line)
				if !trouble {
					io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
					return
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Junk: ")
				total := 0
				for {
					l.take(len(chunk))
					n, err := c.Write(chunk)
					total += n
					sent.Add(int64(n))
					if err != nil {
						w.note("%s: caller closed %s after %d kB", id, line, total>>10)
						return
					}
				}
			}()
		}
	}()
	w.store.WriteObject("servers", id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":64,"state":"available","seq":1,"born":%d}`, service, ln.Addr().String(), zone, time.Now().UnixMilli()))
}

// endlessHead has the servers of one service answer with a head without end. The machine that gets requests for them is
// killed by the platform once it takes more memory than it has, and with it requests that a sound server works on.
func endlessHead(w *world) int {
	w.configure(
		route{prefix: "/status/", kind: "idempotent", service: "consulta", attempts: 2, timeoutMs: 3000},
		route{prefix: "/pay/", kind: "non_idempotent", service: "pedidos", attempts: 1, timeoutMs: 5000},
	)
	var l link
	var sent atomic.Int64
	zones := []string{"recife-a", "fortaleza-b"}
	for i := range 3 {
		w.startTroubled(fmt.Sprintf("i-c%d", i), "consulta", zones[i%2], &l, &sent, w.trouble)
	}
	w.startRunner("i-p0", "pedidos", "recife-a", func(rw http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("X-Toucanroute-Attempt-Id")
		body, _ := io.ReadAll(req.Body)
		if len(body) > 100 {
			w.note("%s runs at a sound server, %d bytes", id, len(body))
			time.Sleep(4 * time.Second)
			w.note("%s ends", id)
		} else {
			time.Sleep(15 * time.Millisecond)
		}
		rw.Header().Set("X-Toucanroute-Response-Signature", mac(id, "ok"))
		_, _ = io.WriteString(rw, "ok")
	})
	a := w.startDaemon("edge-recife-a-1", "recife-a", zones)
	b := w.startDaemon("edge-fortaleza-b-1", "fortaleza-b", zones)
	time.Sleep(contactTime + 500*time.Millisecond)
	stop := make(chan struct{})
	var background, wg sync.WaitGroup
	// The other machine serves payments.
	for i := range 3 {
		background.Go(func() {
			c, err := dial(b.callers)
			if err != nil {
				return
			}
			defer c.Close()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if r := c.send("POST", "/pay/2f", fmt.Sprintf("b%d-%d", i, k), 5000, "", []byte("short")); r.status != 200 {
					w.note("at b: %v", r)
				}
			}
		})
	}
	// The platform ends a process that exceeds its memory.
	peak := 0
	background.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			taken := a.memoryMb()
			peak = max(peak, taken)
			if taken > memoryMb {
				w.note("%s takes %d MB of %d: the platform kills it", a.name, taken, memoryMb)
				_ = a.cmd.Process.Kill()
				return
			}
		}
	})
	var lost atomic.Int64
	upload := bytes.Repeat([]byte("x"), 4_000_000)
	for i := range 9 {
		wg.Go(func() {
			c, err := dial(a.callers)
			if err != nil {
				return
			}
			defer c.Close()
			w.note("first request of channel %d: %v", i, c.send("POST", "/pay/2f", fmt.Sprintf("a%d-short", i), 5000, "", []byte("short")))
			time.Sleep(200 * time.Millisecond)
			r := c.send("POST", "/pay/2f", fmt.Sprintf("a%d-long", i), 5000, "", upload)
			w.note("second request of channel %d: %v", i, r)
			if r.status == 0 {
				lost.Add(1)
			}
		})
	}
	time.Sleep(600 * time.Millisecond)
	for i := range 20 {
		c, err := dial(a.callers)
		if err != nil {
			w.note("dial: %v", err)
			break
		}
		w.note("status request: %v", c.send("GET", "/status/2f", fmt.Sprintf("s%d", i), 3000, "", nil))
		_ = c.Close()
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	close(stop)
	background.Wait()
	w.note("peak %d MB, %d MB sent by servers in trouble", peak, sent.Load()>>20)
	w.note("%d requests of kept channels were passed on to a sound runner, and their channels closed without an answer", lost.Load())
	if lost.Load() > 3 {
		return int(lost.Load())
	}
	return 0
}
