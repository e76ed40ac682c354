// Command kit2 runs the scripts of the second review: the daemon as separate processes between stand-ins of the platform,
// of backend servers and of callers, all on loopback addresses.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one run: a platform, backend servers and daemons.
type world struct {
	dir, binary string
	platform    *platform
	daemons     []*daemon
	servers     []*server
	record      *record
	version     int
	memoryMb    int
}

// record collects what was sent, answered and run; it becomes record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}

// daemon is one toucanrouted process.
type daemon struct {
	name, zone                          string
	callers, readiness, peers, operator string
	settings, log                       string
	w                                   *world
	mu                                  sync.Mutex
	cmd                                 *exec.Cmd
	exited                              chan struct{}
	exit                                error
}

// The ports of daemons are below those that the system gives to outgoing connections, so that none is taken before the
// daemon listens.
const (
	firstPort = 20000
	portCount = 10000
)

var usedPorts = map[int]bool{}

// freeAddress returns an address that is free for TCP and UDP, and that wasn't returned before.
func freeAddress() string {
	for {
		port := firstPort + rand.IntN(portCount)
		address := "127.0.0.1:" + strconv.Itoa(port)
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = ln.Close()
		if err != nil {
			continue
		}
		_ = packets.Close()
		return address
	}
}

// newWorld starts a platform.
func newWorld(binary string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	p, err := newPlatform()
	if err != nil {
		return nil, err
	}
	return &world{dir: dir, binary: binary, platform: p, record: &record{start: time.Now()}, memoryMb: 134}, nil
}

// close ends all that the world started.
func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	for _, s := range w.servers {
		s.close()
	}
	w.platform.Close()
	_ = os.RemoveAll(w.dir)
}

// addDaemon starts a daemon. The settings are those that deploy/settings.tmpl gives for doceluz-pedidos.
func (w *world) addDaemon(name, zone, store, cloud string) (*daemon, error) {
	d := &daemon{name: name, zone: zone, callers: freeAddress(), readiness: freeAddress(), peers: freeAddress(), operator: freeAddress(), w: w}
	settings := map[string]any{
		"instance": name, "data_centre": zone,
		"listen":   map[string]any{"callers": d.callers, "readiness": d.readiness, "peers": d.peers, "operators": d.operator, "private_network": true},
		"platform": map[string]any{"objects": store, "ordering": cloud, "usage": cloud},
		"forwarding": map[string]any{
			"data_centres":  []string{"recife-a", "fortaleza-b", "salvador-c"},
			"regions":       map[string]string{"recife-a": "nordeste", "fortaleza-b": "nordeste", "salvador-c": "nordeste"},
			"evacuation_ms": 0, "lease_ms": 3000, "usage_window_s": 5, "usage_delay_s": 10, "shutdown_s": 8,
			"retry_ratio": 0.2, "retry_window_s": 10, "retry_extra": 58, "heartbeat_ms": 1200, "memory_mb": w.memoryMb,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	d.settings, d.log = filepath.Join(w.dir, name+".json"), filepath.Join(w.dir, name+".log")
	if err := os.WriteFile(d.settings, data, 0o600); err != nil {
		return nil, err
	}
	w.daemons = append(w.daemons, d)
	return d, d.start()
}

// addDaemons starts a daemon in each of the zones and waits until all are ready and know each other.
func (w *world) addDaemons(zones []string) error {
	for i, zone := range zones {
		if _, err := w.addDaemon(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, w.platform.Address(), w.platform.Address()); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if !d.awaitReady(10 * time.Second) {
			return fmt.Errorf("%s isn't ready", d.name)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// start starts the process.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.w.binary)
	cmd.Env = append(os.Environ(), "TOUCANROUTE_SETTINGS="+d.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	exited := make(chan struct{})
	d.cmd, d.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		d.mu.Lock()
		d.exit = err
		d.mu.Unlock()
		close(exited)
	}()
	d.w.record.add("start %s", d.name)
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
	d.w.record.add("signal %s to %s", s, d.name)
}

// kill ends the process, also a stopped one.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd, exited := d.cmd, d.exited
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// hasExited reports whether the process has ended.
func (d *daemon) hasExited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// rssKB returns the resident memory and its peak.
func (d *daemon) rssKB() (now, peak int) {
	data, _ := os.ReadFile("/proc/" + strconv.Itoa(d.cmd.Process.Pid) + "/status")
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		switch f[0] {
		case "VmRSS:":
			now, _ = strconv.Atoi(f[1])
		case "VmHWM:":
			peak, _ = strconv.Atoi(f[1])
		}
	}
	return now, peak
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady(timeout time.Duration) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		res, err := client.Get("http://" + d.readiness + "/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// writeConfig writes a configuration as the operator does.
func (w *world) writeConfig(routes, services, tenants string) {
	w.version += 3
	w.platform.WriteObject("config", "main", fmt.Sprintf(
		`{"version":%d,"routes":[%s],"services":[%s],"tenants":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":20000}}`,
		w.version, routes, services, tenants))
	w.record.add("config %d", w.version)
}

// server is one backend server. Its handler gets each request whose head and body were read.
type server struct {
	id, service, zone, address string
	capacity                   int
	handle                     func(c *serverConn, r *http.Request, body []byte) (keep bool)
	w                          *world
	stop                       chan struct{}

	mu       sync.Mutex
	version  string
	born     int64
	seq      int
	down     bool
	ln       net.Listener
	conns    map[net.Conn]bool
	serveRaw func(id string, c net.Conn)
}

// serverConn is a connection to a backend server.
type serverConn struct {
	net.Conn
	r *bufio.Reader
	s *server
	// late is what the server sends before its next answer.
	late string
}

// addServer starts a backend server and its status reports, every 1.2 s.
func (w *world) addServer(id, service, zone, version string, capacity int, handle func(c *serverConn, r *http.Request, body []byte) bool) (*server, error) {
	ln, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, version: version, capacity: capacity, born: time.Now().UnixMilli(), ln: ln, handle: handle, w: w,
		address: ln.Addr().String(), conns: map[net.Conn]bool{}, stop: make(chan struct{}),
	}
	w.servers = append(w.servers, s)
	go s.accept(ln)
	s.report()
	go func() {
		ticker := time.NewTicker(1200 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.report()
			case <-s.stop:
				return
			}
		}
	}()
	return s, nil
}

// report writes the server's entry, unless the server is down.
func (s *server) report() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.seq++
	s.w.platform.WriteObject("servers", s.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":%q,"capacity":%d,"state":"available","coldRemainingMs":0,"seq":%d,"born":%d}`,
		s.service, s.address, s.zone, s.version, s.capacity, s.seq, s.born))
}

// softwareVersion returns the version of the software that runs.
func (s *server) softwareVersion() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// restart ends the server with its connections and starts it again under its id and address, with a version of its
// software. It listens and then writes its entry.
func (s *server) restart(down time.Duration, version string) error {
	s.mu.Lock()
	s.down = true
	ln := s.ln
	s.mu.Unlock()
	_ = ln.Close()
	s.closeConns()
	s.w.record.add("%s is down", s.id)
	time.Sleep(down)
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.ln, s.born, s.version, s.seq, s.down = ln, time.Now().UnixMilli(), version, 0, false
	s.mu.Unlock()
	go s.accept(ln)
	s.report()
	s.w.record.add("%s is back with version %s and has written its entry", s.id, version)
	return nil
}

func (s *server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	if s.serveRaw != nil {
		s.serveRaw(s.id, c)
		return
	}
	sc := &serverConn{Conn: c, r: bufio.NewReader(c), s: s}
	for {
		r, err := http.ReadRequest(sc.r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if want := r.Header.Get("X-Toucanroute-Expected-Instance"); want != "" && want != s.id {
			sc.answer(http.StatusMisdirectedRequest, r, "X-Toucanroute-Not-Executed: elsewhere\r\n", nil)
			continue
		}
		if !s.handle(sc, r, body) {
			return
		}
	}
}

// answer writes an answer with a length.
func (c *serverConn) answer(status int, r *http.Request, headers string, body []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nX-Toucanroute-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), r.Header.Get("X-Toucanroute-Attempt-Id"), headers, len(body))
	b.Write(body)
	_, _ = c.Write(b.Bytes())
}

// close ends the server: its listener and connections.
func (s *server) close() {
	close(s.stop)
	s.mu.Lock()
	_ = s.ln.Close()
	s.mu.Unlock()
	s.closeConns()
}

func (s *server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

var errShort = errors.New("the answer is incomplete")

// answer is what a caller got.
type answer struct {
	status    int
	header    http.Header
	body      string
	err       error
	began     time.Time
	firstByte time.Time
	ended     time.Time
}

// call sends one request on a new connection and reads the answer.
func call(address, method, host, path, id, headers string, body []byte, timeout time.Duration) (a answer) {
	a.began = time.Now()
	defer func() { a.ended = time.Now() }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeout))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Toucanroute-Attempt-Id: %s\r\nX-Toucanroute-Deadline-Ms: %d\r\n%s", method, path, host, id, timeout.Milliseconds(), headers)
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := c.Write(b.Bytes()); err != nil {
		a.err = err
		return a
	}
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.firstByte = time.Now()
	a.status, a.header = res.StatusCode, res.Header
	data, err := io.ReadAll(res.Body)
	a.body = string(data)
	if err != nil {
		a.err = errors.Join(errShort, err)
	}
	return a
}
