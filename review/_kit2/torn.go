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

// The deployment of the cases on answers that are sent twice: one daemon and one server in each of three zones, and the two
// kinds of plain requests of doceluz-pedidos.
const (
	// tornCapacity and tornQueue are the requests that run, and that wait, at a server; one more is refused.
	tornCapacity, tornQueue = 3, 1
	tornWork                = 15 * time.Millisecond
	tornCallers             = 45
	// tornShare is the largest share of its answers of which the faulty server sends a second copy, in tornRounds times of
	// tornRoundTime.
	tornShare     = 0.03
	tornRounds    = 5
	tornRoundTime = 5 * time.Second
	tornPause     = 500 * time.Millisecond
	// failedShare is the share of the idempotent requests that servers fail, as on the sheet.
	failedShare = 0.14
)

var zones = []string{"recife-a", "fortaleza-b", "salvador-c"}

const (
	services    = `{"name":"app","healthCheckPath":"/healthz","maxConnections":110}`
	plainRoutes = `{"name":"pay","host":"h.example","pathPrefix":"/pay/","type":"non_idempotent","service":"app","timeoutMs":800,"targetLatencyMs":100,"maxAttempts":1,"priority":2},` +
		`{"name":"look","host":"h.example","pathPrefix":"/look/","type":"idempotent","service":"app","timeoutMs":800,"targetLatencyMs":100,"maxAttempts":2,"priority":2}`
	oneTenant = `{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}`
	keyHeader = "X-Toucanroute-Key: n2ctnfzs989anu6wsjnb\r\n"
	deadline  = 1500 * time.Millisecond
)

// run is one request that a server ran.
type run struct {
	server    string
	status    int
	signature string
}

// runs holds what the servers ran, by the id of the request.
type runs struct {
	mu sync.Mutex
	by map[string][]run
}

func (r *runs) add(id string, n run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[id] = append(r.by[id], n)
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.by[id]
}

// tornServer is a server that refuses what it has no room for. While it is in trouble, it sends a second copy of some of its
// answers: late, at the point where the next answer is expected, and broken off inside the head.
type tornServer struct {
	id        string
	w         *world
	inTrouble *atomic.Bool
	// isCopied reports whether an answer with the status may be sent twice.
	isCopied func(status int) bool
	held     atomic.Int64
	slots    chan struct{}
	runs     *runs
	copies   *atomic.Int64

	mu sync.Mutex
	// answers counts the answers in times of trouble, and copied those of them that are sent twice.
	answers, copied int
}

// mayCopy counts an answer in a time of trouble and reports whether it is sent twice.
func (s *tornServer) mayCopy(status int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	if !s.isCopied(status) || float64(s.copied+1) > tornShare*float64(s.answers) {
		return false
	}
	s.copied++
	return true
}

func (s *tornServer) handle(c *serverConn, r *http.Request, _ []byte) bool {
	id := r.Header.Get("X-Toucanroute-Attempt-Id")
	if s.held.Add(1) > tornCapacity+tornQueue {
		s.held.Add(-1)
		s.w.record.add("%s refused %s: 503, not executed", s.id, id)
		s.send(c, id, http.StatusServiceUnavailable, "X-Toucanroute-Not-Executed: full\r\nX-Toucanroute-Attempt-Id: "+id+"\r\n", "full")
		return true
	}
	s.slots <- struct{}{}
	time.Sleep(tornWork)
	<-s.slots
	s.held.Add(-1)
	status, text := http.StatusOK, "done "+id
	if strings.HasPrefix(r.URL.Path, "/look/") && rand.Float64() < failedShare {
		status, text = http.StatusInternalServerError, "failed "+id
	}
	signature := fmt.Sprintf("%s.%s.%d", s.id, id, status)
	s.runs.add(id, run{s.id, status, signature})
	s.w.record.add("%s ran %s: %d", s.id, id, status)
	s.send(c, id, status, "Content-Type: text/plain\r\nX-Toucanroute-Attempt-Id: "+id+"\r\nX-Toucanroute-Response-Signature: "+signature+"\r\n", text)
	return true
}

// send sends an answer, after the part of a copy of the last answer on the connection, if there is one.
func (s *tornServer) send(c *serverConn, id string, status int, headers, text string) {
	if c.late != "" {
		s.copies.Add(1)
		s.w.record.add("%s sends %q late, before the answer to %s", s.id, c.late, id)
		_, _ = io.WriteString(c, c.late)
		c.late = ""
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), headers)
	_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(text), text)
	if s.inTrouble.Load() && s.mayCopy(status) {
		// The copy breaks off inside the header before the id.
		c.late = head[:strings.Index(head, "\r\nX-Toucanroute-Attempt-Id")-rand.IntN(3)]
	}
}

// runTorn runs the deployment. One of the three servers gets in trouble. check returns how an answer and the runs of its
// request break the rule; empty if they don't.
func runTorn(w *world, trouble bool, isCopied func(int) bool, check func(id, path string, a answer, rs []run) string) error {
	w.writeConfig(plainRoutes, services, oneTenant)
	all := &runs{by: map[string][]run{}}
	var copies atomic.Int64
	inTrouble := make([]atomic.Bool, len(zones))
	for i, zone := range zones {
		s := &tornServer{id: fmt.Sprintf("i-%d", i), w: w, inTrouble: &inTrouble[i], isCopied: isCopied, slots: make(chan struct{}, tornCapacity), runs: all, copies: &copies}
		if _, err := w.addServer(s.id, "app", zone, "v1", tornCapacity, s.handle); err != nil {
			return err
		}
	}
	if err := w.addDaemons(zones); err != nil {
		return err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var bad []string
	n := 0
	end := time.Now().Add(tornRounds * (tornRoundTime + tornPause))
	wg.Go(func() {
		for range tornRounds {
			inTrouble[0].Store(trouble)
			time.Sleep(tornRoundTime)
			inTrouble[0].Store(false)
			time.Sleep(tornPause)
		}
	})
	for k := range tornCallers {
		wg.Go(func() {
			caller := &keptCaller{address: w.daemons[k%len(w.daemons)].callers}
			for i := 0; time.Now().Before(end); i++ {
				path := "/pay/x"
				if k%2 == 1 {
					path = "/look/x"
				}
				id := fmt.Sprintf("c%d-%d", k, i)
				w.record.add("%s sent to %s", id, path)
				a := caller.call("POST", "h.example", path, id, keyHeader, "x", deadline)
				w.record.add("%s answered %d %q signature %q error %v", id, a.status, a.body, a.header.Get("X-Toucanroute-Response-Signature"), a.err)
				text := check(id, path, a, all.of(id))
				mu.Lock()
				n++
				if text != "" {
					bad = append(bad, text)
				}
				mu.Unlock()
				time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	w.record.add("%d requests, %d copies that were broken off", n, copies.Load())
	for _, b := range bad {
		w.record.add("broken: %s", b)
	}
	if len(bad) > 0 {
		return broken(fmt.Sprintf("%d of %d requests, after %d copies that were broken off; the first: %s", len(bad), n, copies.Load(), bad[0]))
	}
	return nil
}

func init() {
	// A second copy of refusals.
	cases["twice"] = func(w *world, trouble bool) error {
		return runTorn(w, trouble, func(status int) bool { return status == http.StatusServiceUnavailable }, func(id, path string, a answer, rs []run) string {
			if path == "/pay/x" && len(rs) > 1 {
				return fmt.Sprintf("TWICE: %s ran at %v and was answered %d", id, rs, a.status)
			}
			if path == "/pay/x" && a.status == http.StatusServiceUnavailable && len(rs) > 0 {
				w.record.add("REFUSED is broken too: %s was answered %d and ran at %v", id, a.status, rs)
			}
			return ""
		})
	}
	// A second copy of successes.
	cases["mixed"] = func(w *world, trouble bool) error {
		return runTorn(w, trouble, func(status int) bool { return status == http.StatusOK }, func(id, _ string, a answer, rs []run) string {
			if a.status < 200 || a.status >= 300 || a.err != nil {
				return ""
			}
			for _, r := range rs {
				if r.status == http.StatusOK && a.body == "done "+id && a.header.Get("X-Toucanroute-Response-Signature") == r.signature {
					return ""
				}
			}
			return fmt.Sprintf("MIXED: %s was answered %d %q, and the servers' answers were %v", id, a.status, a.body, rs)
		})
	}
}
