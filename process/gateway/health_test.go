package gateway

import (
	"errors"
	"net"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/version/hostroute"
)

// A health check gives up a server that sends a head without end, instead of reading it until its timeout.
func TestHealthCheckBoundsHead(t *testing.T) {
	for name, head := range map[string]string{
		"one line":   "HTTP/1.1 200 OK\r\nA: ",
		"many lines": "HTTP/1.1 200 OK\r\n",
		"no line":    "",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				rest := strings.Repeat("x", 1<<16)
				if name == "many lines" {
					rest = strings.Repeat("A: b\r\n", 10000)
				}
				for _, err = conn.Write([]byte(head)); err == nil; {
					_, err = conn.Write([]byte(rest))
				}
			}()
			g := newFuzzGateway(t)
			table, err := hostroute.NewTable(hostroute.Config{Version: 1, Pools: []hostroute.Pool{{Name: "p", HealthPath: "/healthz"}}})
			assert.NilError(t, err)
			g.table.Store(table)
			_, err = g.askServer("p", l.Addr().String())
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
		})
	}
}
