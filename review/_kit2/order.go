package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents  = 56
	eventInterval = 25 * time.Millisecond
	streamCallers = 30
	// serverDown is the time for which a server is down while it is started again with other software. The next one is
	// stopped when it is back and has written its entry.
	serverDown  = 400 * time.Millisecond
	rollPause   = 5 * time.Second
	rolls       = 3
	streamRoute = `{"name":"chat","host":"h.example","pathPrefix":"/chat/","type":"streaming","streamResumption":true,"service":"app","timeoutMs":15000,"targetLatencyMs":250,"targetGapMs":200,"maxAttempts":2,"priority":0}`
)

// serveStream sends the events after the one that the request names, each with the version of the software.
func serveStream(w *world, s **server, c *serverConn, r *http.Request) bool {
	id, version := r.Header.Get("X-Toucanroute-Attempt-Id"), (*s).softwareVersion()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.record.add("%s (%s) runs %s after event %d", (*s).id, version, id, last)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Toucanroute-Attempt-Id: %s\r\nX-Toucanroute-Response-Signature: %s.%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, (*s).id, id); err != nil {
		return false
	}
	for n := last + 1; n <= streamEvents; n++ {
		time.Sleep(eventInterval)
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, version, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// stream is what a caller has of a stream, over its tries.
type stream struct {
	last     int
	versions []string
	inOrder  bool
	complete bool
	began    string
}

// read sends one request for the stream, or for the rest of it, and reads the events.
func (t *stream) read(address, id string) (status int, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	headers := keyHeader
	if t.last > 0 {
		headers += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", t.last, t.began)
	}
	if _, err := fmt.Fprintf(c, "POST /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Toucanroute-Attempt-Id: %s\r\nX-Toucanroute-Deadline-Ms: 15000\r\n%sContent-Length: 1\r\n\r\nx", id, headers); err != nil {
		return 0, err
	}
	// Callers give a stream up after a gap of two seconds.
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		text, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		version, number, _ := strings.Cut(text, " ")
		n, _ := strconv.Atoi(number)
		if t.last == 0 {
			t.began = id
		}
		t.inOrder = t.inOrder && n == t.last+1
		t.last = n
		if len(t.versions) == 0 || t.versions[len(t.versions)-1] != version {
			t.versions = append(t.versions, version)
		}
	}
	if err := lines.Err(); err != nil {
		return res.StatusCode, err
	}
	t.complete = res.StatusCode == http.StatusOK
	return res.StatusCode, nil
}

func init() {
	cases["order"] = func(w *world, trouble bool) error {
		w.writeConfig(streamRoute, services, oneTenant)
		for i := range 6 {
			var s *server
			s, err := w.addServer(fmt.Sprintf("i-%d", i), "app", zones[i%len(zones)], "v1", 64, func(c *serverConn, r *http.Request, _ []byte) bool { return serveStream(w, &s, c, r) })
			if err != nil {
				return err
			}
		}
		if err := w.addDaemons(zones); err != nil {
			return err
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		var bad []string
		n, complete := 0, 0
		done := make(chan struct{})
		for k := range streamCallers {
			wg.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-done:
						return
					default:
					}
					t := &stream{inOrder: true}
					id := fmt.Sprintf("c%d-%d", k, i)
					w.record.add("%s sent", id)
					status, err := t.read(w.daemons[k%len(w.daemons)].callers, id)
					if err != nil && t.last > 0 {
						w.record.add("%s broke off with status %d after event %d: %v", id, status, t.last, err)
						status, err = t.read(w.daemons[(k+1)%len(w.daemons)].callers, id+"b")
					}
					w.record.add("%s ended with status %d after event %d, versions %v, complete %t, error %v", id, status, t.last, t.versions, t.complete, err)
					mu.Lock()
					n++
					if t.complete {
						complete++
					}
					if len(t.versions) > 1 || !t.inOrder {
						bad = append(bad, fmt.Sprintf("%s has events of %v, in order %t", id, t.versions, t.inOrder))
					}
					mu.Unlock()
					time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
				}
			})
		}
		time.Sleep(2 * time.Second)
		for k := range rolls {
			for _, s := range w.servers {
				if !trouble {
					time.Sleep(serverDown)
					continue
				}
				if err := s.restart(serverDown, fmt.Sprintf("v%d", k+2)); err != nil {
					return err
				}
			}
			time.Sleep(rollPause)
		}
		close(done)
		wg.Wait()
		w.record.add("%d streams, %d complete, %d with events of two versions", n, complete, len(bad))
		for _, b := range bad {
			w.record.add("broken: %s", b)
		}
		if len(bad) > 2 {
			return broken(fmt.Sprintf("ORDER: %d of %d streams (%d complete) have events of two versions; the first: %s", len(bad), n, complete, bad[0]))
		}
		return nil
	}
}
