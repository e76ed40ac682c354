package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/toucanroute/toucanroute/platform/platformtest"
	"github.com/toucanroute/toucanroute/standin/port"
	"github.com/toucanroute/toucanroute/version/settings"
	"github.com/toucanroute/toucanroute/wire"
)

// daemonEnv is set for processes in which the test binary runs the daemon with the command line's arguments.
const daemonEnv = "TOUCANROUTED_TEST_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonEnv) != "" {
		os.Exit(run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

const streamConfig = `{"version":3,"routes":[{"name":"r","host":"shop.example","pathPrefix":"/s/","type":"streaming","timeoutMs":5000,"targetLatencyMs":400,"targetGapMs":300,"service":"pool","maxAttempts":1}],
	"services":[{"name":"pool","healthCheckPath":"/healthz"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// startStreamServer starts a backend server whose streams have events until release is closed and a last one then.
func startStreamServer(t *testing.T, release <-chan struct{}) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("X-Toucanroute-Attempt-Id", r.Header.Get("X-Toucanroute-Attempt-Id"))
		h.Set("X-Toucanroute-Response-Signature", "sig")
		h.Set("Content-Type", "text/event-stream")
		for i, isLast := 1, false; !isLast; i++ {
			select {
			case <-release:
				isLast = true
			case <-time.After(20 * time.Millisecond):
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: last=%t\n\n", i, isLast)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// startDaemon starts a forwarding daemon in front of one backend server and waits until it is ready. It returns its
// process and the address for callers.
func startDaemon(t *testing.T, server string) (*exec.Cmd, string) {
	t.Helper()
	platform := platformtest.New()
	t.Cleanup(platform.Close)
	platform.WriteObject("config", "main", streamConfig)
	platform.WriteObject("servers", "i-1", fmt.Sprintf(`{"service":"pool","address":%q,"zone":"recife-a","version":"v1","capacity":4,"state":"available","seq":1,"born":1000}`, server))
	ports, err := port.Reserve()
	assert.NilError(t, err)
	t.Cleanup(ports.Release)
	cfg := settings.Settings{
		Instance: "edge-a-1", DataCentre: "recife-a",
		Listen:   wire.SettingsListen{Callers: ports.Address(0), Peers: ports.Address(1), Operators: ports.Address(2), Readiness: ports.Address(3)},
		Platform: wire.SettingsPlatform{Objects: platform.Address(), Ordering: platform.Address(), Usage: platform.Address()},
		Forwarding: &wire.SettingsForwarding{
			DataCentres: []string{"recife-a"}, LeaseMs: 3000, UsageWindowS: 5, UsageDelayS: 8, ShutdownS: 8, RetryRatio: 0.2, RetryWindowS: 10, HeartbeatMs: 200, MemoryMb: 134,
		},
	}
	data, err := json.Marshal(cfg)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	cmd := exec.Command(os.Args[0], "--settings", path)
	cmd.Env = append(os.Environ(), daemonEnv+"=1")
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + cfg.Listen.Readiness + "/readyz")
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	return cmd, cfg.Listen.Callers
}

// A hangup that arrives while the daemon is stopping cuts no stream: the reload of settings had already been given up,
// and with it the handling of the signal, whose default ends the process.
func TestHangupWhileStoppingCutsNoStream(t *testing.T) {
	release := make(chan struct{})
	cmd, callers := startDaemon(t, startStreamServer(t, release))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+callers+"/s/", strings.NewReader("b"))
	assert.NilError(t, err)
	req.Host = "shop.example"
	req.Header.Set("X-Toucanroute-Attempt-Id", "a1")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)

	for range 3 {
		assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	}
	time.Sleep(100 * time.Millisecond)
	close(release)
	last := ""
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			last = data
		}
	}
	assert.NilError(t, lines.Err())
	assert.Equal(t, last, "last=true")
	assert.NilError(t, cmd.Wait(), "the daemon must end by itself")
}
