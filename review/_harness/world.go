// Command harness holds the stand-ins and the clients of the review's scripts. Each case starts target/toucanrouted as a
// separate process, on loopback addresses, and checks one rule from what clients, servers and the platform see.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/toucanroute/toucanroute/platform/platformtest"
	"github.com/toucanroute/toucanroute/standin/port"
	"github.com/toucanroute/toucanroute/wire"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// Bounds and limits of the site doceluz-pedidos.
const (
	leaseMs      = 3000
	usageWindowS = 5
	usageDelayS  = 10
	graceS       = 8
	heartbeatMs  = 1200
	bodyBytes    = 4 << 20
	memoryMb     = 134
	drainTime    = 2 * time.Second
	contactTime  = 3 * time.Second
	apiKey       = "n2ctnfzs989anu6wsjnb"
	tenant       = "hule930"
	routeHost    = "ficu95.example"
)

// errCantRun is the panic value of a case that couldn't run.
type errCantRun struct{ text string }

func cantRun(format string, args ...any) { panic(errCantRun{fmt.Sprintf(format, args...)}) }

// world holds the parts of one case.
type world struct {
	dir     string
	trouble bool
	started time.Time
	store   *platformtest.Platform
	ports   *port.Block
	next    int
	version int

	mu      sync.Mutex
	record  *os.File
	daemons []*daemon
	runners []*runner
}

// newWorld starts the platform. The file record.txt of the case's folder gets what happens.
func newWorld(folder string, trouble bool) *world {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		cantRun("record.txt: %v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cantRun("temporary folder: %v", err)
	}
	ports, err := port.Reserve()
	if err != nil {
		cantRun("ports: %v", err)
	}
	w := &world{dir: dir, trouble: trouble, started: time.Now(), ports: ports, record: record, store: platformtest.New()}
	w.note("trouble=%t", trouble)
	return w
}

// note writes a line to record.txt.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case started.
func (w *world) close() {
	w.mu.Lock()
	daemons, runners := w.daemons, w.runners
	w.mu.Unlock()
	for _, d := range daemons {
		d.kill()
	}
	for _, r := range runners {
		r.close()
	}
	w.store.Close()
	w.ports.Release()
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

func (w *world) address() string {
	a := w.ports.Address(w.next)
	w.next++
	return a
}

// route describes a route of the configuration.
type route struct {
	prefix, kind, service string
	attempts, timeoutMs   int
	resumable             bool
}

// configure writes a configuration to the store as the operator does.
func (w *world) configure(routes ...route) {
	w.version += 3
	list, services := []map[string]any{}, map[string]bool{}
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r%d", i), "host": routeHost, "pathPrefix": r.prefix, "type": r.kind, "service": r.service,
			"timeoutMs": r.timeoutMs, "maxAttempts": r.attempts, "targetLatencyMs": 500, "targetGapMs": 1000, "streamResumption": r.resumable, "priority": 1,
		})
		services[r.service] = true
	}
	pools := []map[string]any{}
	for name := range services {
		pools = append(pools, map[string]any{"name": name, "healthCheckPath": "/healthz", "maxConnections": 370})
	}
	spec, _ := json.Marshal(map[string]any{
		"version": w.version, "routes": list, "services": pools,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	})
	w.store.WriteObject("config", "main", string(spec))
	w.note("operator wrote configuration %d", w.version)
}

// daemon is a toucanrouted as a separate process.
type daemon struct {
	w                             *world
	name                          string
	callers, readiness, operators string
	cmd                           *exec.Cmd
	exited                        chan struct{}
}

// startDaemon starts an instance with settings as deploy/settings.tmpl fills them in, and waits until it is ready.
func (w *world) startDaemon(name, zone string, zones []string) *daemon {
	d := &daemon{w: w, name: name, callers: w.address(), readiness: w.address()}
	peers := w.address()
	d.operators = w.address()
	regions := wire.SettingsForwardingRegions{}
	for _, z := range zones {
		regions[z] = "nordeste"
	}
	settings := wire.Settings{
		Instance: name, DataCentre: zone,
		Listen:   wire.SettingsListen{Callers: d.callers, Readiness: d.readiness, Peers: peers, Operators: d.operators, PrivateNetwork: true},
		Platform: wire.SettingsPlatform{Objects: w.store.Address(), Ordering: w.store.Address(), Usage: w.store.Address()},
		Forwarding: &wire.SettingsForwarding{
			DataCentres: zones, Regions: regions, LeaseMs: leaseMs, UsageWindowS: usageWindowS, UsageDelayS: usageDelayS, ShutdownS: graceS,
			RetryRatio: 0.2, RetryWindowS: 10, RetryExtra: 58, HeartbeatMs: heartbeatMs, MemoryMb: memoryMb,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		cantRun("settings: %v", err)
	}
	path := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		cantRun("settings: %v", err)
	}
	d.start()
	return d
}

// start starts the process with the command of deploy/system.toml.
func (d *daemon) start() {
	out, err := os.OpenFile(filepath.Join(d.w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cantRun("log: %v", err)
	}
	cmd := exec.Command("target/toucanrouted")
	cmd.Env = append(os.Environ(), "TOUCANROUTE_SETTINGS="+filepath.Join(d.w.dir, d.name+".json"))
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		cantRun("toucanrouted: %v", err)
	}
	d.cmd, d.exited = cmd, make(chan struct{})
	d.w.mu.Lock()
	d.w.daemons = append(d.w.daemons, d)
	d.w.mu.Unlock()
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(d.exited)
	d.w.note("started %s, callers at %s", d.name, d.callers)
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + d.readiness + "/readyz")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
	}
	cantRun("%s isn't ready", d.name)
}

func (d *daemon) kill() {
	_ = d.cmd.Process.Signal(syscall.SIGCONT)
	_ = d.cmd.Process.Kill()
	<-d.exited
}

// memoryMb returns the resident memory of the process in MB.
func (d *daemon) memoryMb() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n := 0
			_, _ = fmt.Sscan(rest, &n)
			return n / 1024
		}
	}
	return 0
}

// runner is a backend server: a sound one, except for what serve does.
type runner struct {
	w                 *world
	id, service, zone string
	ln                net.Listener
	server            *http.Server
}

// startRunner starts a backend server that registers itself in the store. Its entry doesn't change afterwards: heartbeats
// change nothing but seq.
func (w *world) startRunner(id, service, zone string, serve http.HandlerFunc) *runner {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cantRun("runner: %v", err)
	}
	r := &runner{w: w, id: id, service: service, zone: zone, ln: ln}
	r.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		rw.Header().Set("X-Toucanroute-Attempt-Id", req.Header.Get("X-Toucanroute-Attempt-Id"))
		if req.URL.Path == "/healthz" {
			rw.Header().Set("X-Toucanroute-Instance-Id", id)
			return
		}
		if req.Header.Get("X-Toucanroute-Expected-Instance") != id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		serve(rw, req)
	})}
	go func() { _ = r.server.Serve(ln) }()
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	r.register()
	w.note("runner %s of %s at %s", id, service, ln.Addr())
	return r
}

// register writes the runner's entry.
func (r *runner) register() {
	spec, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.ln.Addr().String(), "zone": r.zone, "version": "v1", "capacity": 64, "state": "available", "coldRemainingMs": 0,
		"seq": 1, "born": time.Now().UnixMilli(),
	})
	r.w.store.WriteObject("servers", r.id, string(spec))
}

// close ends the runner like a crash.
// close ends the runner.
func (r *runner) close() { _ = r.server.Close() }

// mac returns the signature of a response body for an attempt id.
func mac(id, body string) string {
	h := uint64(14695981039346656037)
	for _, b := range []byte(id + "\n" + body) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return fmt.Sprintf("%016x", h)
}
